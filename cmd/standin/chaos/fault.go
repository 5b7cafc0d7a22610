package chaos

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"chicoryhoist.example/hoist/cmd/standin/kvsrv"
	"chicoryhoist.example/hoist/cmd/standin/origin"
	"chicoryhoist.example/hoist/cmd/standin/proxy"
)

// disturb injects faults until ctx ends, then repairs everything.
//
// Faults of processes and servers and those of connections come in two series, so that each seed keeps its series when
// the other one grows.
func (r *run) disturb(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { r.series(ctx, r.random(0), r.fault) })
	group.Go(func() { r.series(ctx, r.random(linkPart), r.linkFault) })
	group.Wait()
	r.store.SetMode(kvsrv.Serving)
	for id := range r.servers {
		r.servers[id].Fail(origin.None, 0)
		r.enter(id, "ready")
	}
}

// linkPart is the part of the random numbers that the faults of connections use; callers use those from 1.
const linkPart = 1 << 20

// series injects faults of one kind until ctx ends, and returns after the last repair.
func (r *run) series(ctx context.Context, g *rand.Rand, fault func(*rand.Rand) func()) {
	var repairs sync.WaitGroup
	for ctx.Err() == nil {
		r.Faults.Add(1)
		if repair := fault(g); repair != nil {
			// A repair may come late, so that faults overlap.
			after := time.Duration(200+g.IntN(2500)) * time.Millisecond
			repairs.Add(1)
			time.AfterFunc(after, func() {
				defer repairs.Done()
				repair()
			})
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(150+g.IntN(900)) * time.Millisecond):
		}
	}
	repairs.Wait()
}

// backendFaults are the faults of servers.
var backendFaults = []origin.Fault{origin.Refuse, origin.Reset, origin.Truncate, origin.Hang, origin.Unsealed, origin.Error}

// serverNames are the servers that faults hit; one of each service is spared, so that requests can be served.
var serverNames = []string{"llm-1", "llm-2", "app-1", "app-2"}

// spared reports whether faults leave the server alone.
func spared(server string) bool { return !slices.Contains(serverNames, server) }

// linkFaults are the faults of connections.
var linkFaults = []proxy.Fault{
	proxy.Delay{By: 50 * time.Millisecond}, proxy.Delay{By: 400 * time.Millisecond}, proxy.HoldAll{}, proxy.HoldRequests{}, proxy.HoldResponses{}, proxy.Reset{},
}

// linkFault disturbs one link and returns its repair.
func (r *run) linkFault(g *rand.Rand) func() {
	l := r.links[g.IntN(len(r.links))]
	l.SetFault(linkFaults[g.IntN(len(linkFaults))])
	return func() { l.SetFault(proxy.PassThrough{}) }
}

// fault injects one fault and returns its repair, or nil.
func (r *run) fault(g *rand.Rand) func() {
	p := r.routers[g.IntN(len(r.routers))]
	server := serverNames[g.IntN(len(serverNames))]
	switch g.IntN(8) {
	case 0:
		return r.stop(p, syscall.SIGKILL)
	case 1:
		return r.stop(p, syscall.SIGTERM)
	case 2:
		p.pauses.Add(1)
		p.paused.Add(1)
		p.signal(syscall.SIGSTOP)
		return func() {
			p.paused.Add(-1)
			p.signal(syscall.SIGCONT)
		}
	case 3:
		r.store.SetMode([]kvsrv.Mode{kvsrv.Refusing, kvsrv.Unresponsive}[g.IntN(2)])
		return func() { r.store.SetMode(kvsrv.Serving) }
	case 4:
		r.store.Compact()
		if p.running() {
			p.signal(syscall.SIGHUP)
		}
		return nil
	case 5:
		r.enter(server, "draining")
		return func() { r.enter(server, "ready") }
	case 6:
		r.revoke()
		return nil
	default:
		r.servers[server].Fail(backendFaults[g.IntN(len(backendFaults))], 1+g.IntN(5))
		return nil
	}
}

// revoke withdraws a key once; with even seeds the store is silent from just before until the bound is over, so that no
// router can learn of it.
func (r *run) revoke() {
	if r.revoked.Load() > 0 {
		return
	}
	if r.Seed%2 == 0 {
		r.store.SetMode(kvsrv.Unresponsive)
		time.AfterFunc(revoke+calm, func() { r.store.SetMode(kvsrv.Serving) })
	}
	r.revoked.Store(time.Now().UnixMilli())
	r.publish(`"k1"`)
}

// stop ends a process that is not already ending, and returns its restart.
func (r *run) stop(p *process, s syscall.Signal) func() {
	if !p.down.CompareAndSwap(false, true) {
		return nil
	}
	p.signalled = time.Now()
	// A paused process begins to drain when it goes on, and does not know how long the signal has waited.
	pauses, paused := p.pauses.Load(), p.paused.Load() > 0
	p.signal(s)
	return func() { r.restart(p, pauses, paused) }
}

// restart waits for the end of a process, kills it after the grace time, and starts it again; a process that was paused
// at the signal or in between may take longer.
func (r *run) restart(p *process, pauses int64, paused bool) {
	p.signal(syscall.SIGCONT)
	kill := time.AfterFunc(grace-time.Since(p.signalled), func() { p.signal(syscall.SIGKILL) })
	_ = p.cmd.Wait() // The exit code says nothing here.
	if !kill.Stop() && !paused && p.pauses.Load() == pauses {
		r.violate("process of %s did not end within its grace time", p.url)
	}
	if err := p.start(r.Router); err != nil {
		r.violate("%v", err)
	}
	p.down.Store(false)
}
