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

// injectFaults injects faults until ctx ends, and then repairs everything.
//
// Faults of processes and servers, faults of connections and returns of the store from older copies are three series with
// separate random streams, so that a seed keeps one series when faults are added to another.
func (r *run) injectFaults(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { r.injectSeries(ctx, r.randomStream(0), r.injectFault) })
	group.Go(func() { r.injectSeries(ctx, r.randomStream(proxyFaultStream), r.injectProxyFault) })
	group.Go(func() { r.injectRestores(ctx) })
	group.Wait()
	r.rewrite()
	r.store.SetMode(kvsrv.Serving)
	for id := range r.servers {
		r.servers[id].Fail(origin.None, 0)
		r.putServer(id, "ready")
	}
}

// proxyFaultStream is the random stream of connection faults; callers use the streams from 1, other faults stream 0.
const proxyFaultStream = 1 << 20

// injectSeries injects the faults of one series until ctx ends, and returns after the last repair.
func (r *run) injectSeries(ctx context.Context, g *rand.Rand, fault func(*rand.Rand) func()) {
	var repairs sync.WaitGroup
	for ctx.Err() == nil {
		r.Faults.Add(1)
		if repair := fault(g); repair != nil {
			// The repair delay can exceed the time to the next fault, so that faults overlap.
			repairDelay := time.Duration(200+g.IntN(2500)) * time.Millisecond
			repairs.Add(1)
			time.AfterFunc(repairDelay, func() {
				defer repairs.Done()
				repair()
			})
		}
		sleep(ctx, time.Duration(150+g.IntN(900))*time.Millisecond)
	}
	repairs.Wait()
}

// backendFaults are the faults of backend servers.
var backendFaults = []origin.Fault{origin.Refuse, origin.Reset, origin.Truncate, origin.Hang, origin.Unsealed, origin.Error}

// faultyServers are the servers that get faults; one server of each service gets none, so that requests can be served.
var faultyServers = []string{"llm-1", "llm-2", "app-1", "app-2"}

// faultFree reports whether the server gets no faults.
func faultFree(server string) bool { return !slices.Contains(faultyServers, server) }

// proxyFaults are the faults of connections.
var proxyFaults = []proxy.Fault{
	proxy.Delay{By: 50 * time.Millisecond}, proxy.Delay{By: 400 * time.Millisecond}, proxy.HoldAll{}, proxy.HoldRequests{}, proxy.HoldResponses{}, proxy.Reset{},
}

// injectProxyFault sets a fault on one proxy and returns its repair.
func (r *run) injectProxyFault(g *rand.Rand) func() {
	p := r.proxies[g.IntN(len(r.proxies))]
	p.SetFault(proxyFaults[g.IntN(len(proxyFaults))])
	return func() { p.SetFault(proxy.PassThrough{}) }
}

// injectFault injects one fault of a process, the store or a server, and returns its repair, or nil if it needs none.
func (r *run) injectFault(g *rand.Rand) func() {
	p := r.routers[g.IntN(len(r.routers))]
	server := faultyServers[g.IntN(len(faultyServers))]
	switch g.IntN(8) {
	case 0:
		return r.stopProcess(p, syscall.SIGKILL)
	case 1:
		return r.stopProcess(p, syscall.SIGTERM)
	case 2:
		p.pauseCount.Add(1)
		p.activePauses.Add(1)
		p.signal(syscall.SIGSTOP)
		return func() {
			p.activePauses.Add(-1)
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
		r.putServer(server, "draining")
		return func() { r.putServer(server, "ready") }
	case 6:
		r.revokeKey()
		return nil
	default:
		r.servers[server].Fail(backendFaults[g.IntN(len(backendFaults))], 1+g.IntN(5))
		return nil
	}
}

// revokeKey revokes a key, once per run. With even seeds the store becomes unresponsive just before the revocation and
// serves again after the revocation's bound, so that no router learns of it from the store. The repair of a store fault
// and the end of injectFaults can make the store serve earlier.
func (r *run) revokeKey() {
	if r.revokedAt.Load() > 0 {
		return
	}
	if r.Seed%2 == 0 {
		r.store.SetMode(kvsrv.Unresponsive)
		time.AfterFunc(revocationBound+verificationTime, func() { r.store.SetMode(kvsrv.Serving) })
	}
	r.revokedAt.Store(time.Now().UnixMilli())
	r.publishRoutes(`"k1"`)
}

// stopProcess sends a signal that ends the process, and returns its restart, or nil if the process is already stopping.
func (r *run) stopProcess(p *process, s syscall.Signal) func() {
	if !p.stopping.CompareAndSwap(false, true) {
		return nil
	}
	p.signalledAt = time.Now()
	// A paused process starts to drain when it resumes, and can't know how long the signal was pending.
	pausesAtSignal, pausedAtSignal := p.pauseCount.Load(), p.activePauses.Load() > 0
	p.signal(s)
	return func() { r.restartProcess(p, pausesAtSignal, pausedAtSignal) }
}

// restartProcess waits for a process to end, kills it after the grace time, and starts it again. A process that was paused
// at the signal or since may exceed the grace time.
func (r *run) restartProcess(p *process, pausesAtSignal int64, pausedAtSignal bool) {
	p.signal(syscall.SIGCONT)
	killTimer := time.AfterFunc(shutdownGrace-time.Since(p.signalledAt), func() { p.signal(syscall.SIGKILL) })
	_ = p.cmd.Wait() // The exit code isn't checked.
	if !killTimer.Stop() && !pausedAtSignal && p.pauseCount.Load() == pausesAtSignal {
		r.addViolation("router process behind %s did not exit within its grace time", p.url)
	}
	r.restarts.Add(1)
	if err := p.start(r.Router); err != nil {
		r.addViolation("%v", err)
	}
	p.stopping.Store(false)
}
