// Package order plans the orders to the engines of one shard: models, adapters, versions and role.
//
// The desired state follows from the snapshot alone, so weights are loaded before there is demand
// for them. At most one order to a server is outstanding, and the server's state is read before
// the next one. A new owner waits until no order of an earlier owner can still arrive (one order delay),
// and orders that undo each other are sent at least as far apart. This applies to fenced pools too: fencing
// rejects orders of older snapshots, but it does not limit how many servers are out of service.
package order

import (
	"math"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// State is the immutable planning state of one shard.
type State struct {
	desired    desiredState
	share      Share
	servers    value.List[server]
	configured bool
	owner      bool
	quietUntil hoist.Millis
	ownedSince hoist.Millis
	credit     credit
}

// Converged reports whether every server has been read in the desired state.
func (s State) Converged() bool {
	for x := range s.servers.All() {
		if _, more := s.desired.next(x.observed); more || x.phase != phaseIdle {
			return false
		}
	}
	return s.configured
}

// OutOfService returns the names of the servers that are out of service because of an order.
func (s State) OutOfService() []string {
	var names []string
	for x := range s.servers.All() {
		if x.outOfService() {
			names = append(names, x.name)
		}
	}
	return names
}

// Decide returns the state after the event and the effects that it causes.
func (s State) Decide(event Event, now hoist.Millis) (State, []Effect) {
	switch e := event.(type) {
	case Configured:
		s = s.configure(e, now)
	case BecameOwner:
		s = s.acquire(now)
	case OwnershipLost:
		s.owner = false
		return s, nil
	case Observed:
		s = s.withServer(e.Server, func(x server) server { return x.withReadState(e.State, s.desired.orderDelay, now) })
	case Unreachable:
		s = s.withServer(e.Server, func(x server) server {
			x.readPending = false
			return x
		})
	case Sent:
		s = s.withServer(e.Server, func(x server) server { return x.withSentAt(e.ID, now) })
	case Answered:
		s = s.withServer(e.Server, func(x server) server { return x.withResponse(e.ID, e.Answer) })
	case Ticked:
	}
	return s.plan(now)
}

// configure sets the desired state and the list of servers; leaving servers get no orders.
func (s State) configure(e Configured, now hoist.Millis) State {
	old := s.desired
	s.desired, s.share, s.configured = desiredStateOf(e.View, e.Pool), e.Share, true
	s.quietUntil = max(s.quietUntil, s.ownedSince+s.desired.orderDelay)
	var servers []server
	for i := range e.Instances.All() {
		if i.Leaving() {
			continue
		}
		x := server{name: i.Name(), nextRead: now}
		for known := range s.servers.All() {
			if known.name == i.Name() {
				x = known
			}
		}
		if x.phase == phaseFenced && s.desired.fence != old.fence {
			x.phase = phaseUnread
		}
		servers = append(servers, x)
	}
	s.servers = value.ListOf(servers...)
	return s
}

// acquire starts the ownership: earlier reads are void, and orders of an earlier owner may still arrive for one order delay.
func (s State) acquire(now hoist.Millis) State {
	s.owner, s.ownedSince, s.credit = true, now, credit{}
	s.quietUntil = now + s.desired.orderDelay
	for i := range s.servers.Len() {
		x := s.servers.At(i)
		x.readPending, x.nextRead, x.failures, x.retryAt = false, now, 0, 0
		if x.phase != phaseSent {
			x.phase = phaseUnread
		}
		s.servers = s.servers.With(i, x)
	}
	return s
}

// withServer returns the state with the named server updated.
func (s State) withServer(name string, f func(server) server) State {
	for i := range s.servers.Len() {
		if x := s.servers.At(i); x.name == name {
			s.servers = s.servers.With(i, f(x))
		}
	}
	return s
}

// plan returns the reads and orders to send now, and a Wait until the next ones.
func (s State) plan(now hoist.Millis) (State, []Effect) {
	if !s.owner || !s.configured {
		return s, nil
	}
	s.credit = s.credit.updated(s.mibPerSecond(), s.desired.heaviestMib(), now)
	p := planner{State: s, now: now, nextWake: math.MaxInt64, outagesLeft: s.outageBudget()}
	for i := range s.servers.Len() {
		p.planServer(i)
	}
	if !p.loading {
		p.credit = credit{}
	}
	if p.nextWake < math.MaxInt64 {
		p.effects = append(p.effects, Wait{p.nextWake})
	}
	return p.State, p.effects
}

// mibPerSecond returns the shard's share of the weight store's rate; zero means that the store's rate is unlimited or the share is zero.
func (s State) mibPerSecond() float64 { return s.desired.storeMibPerSecond * s.share.fraction }

// outageBudget returns how many more servers may be taken out of service.
//
// A server that has not been read since orders of an earlier owner could last arrive counts as out of service, because it may be.
func (s State) outageBudget() int {
	budget := max(1, s.servers.Len()*s.desired.ejectPermille/1000)
	for x := range s.servers.All() {
		if x.outOfService() || x.lastReadAt < s.quietUntil {
			budget--
		}
	}
	return budget
}

// planner is the working state of one call of plan.
type planner struct {
	State
	now         hoist.Millis
	nextWake    hoist.Millis
	outagesLeft int
	loading     bool
	effects     []Effect
}

// wakeAt schedules the next plan no later than at the time.
func (p *planner) wakeAt(t hoist.Millis) { p.nextWake = min(p.nextWake, max(t, p.now+1)) }

// planServer plans the next read or order of one server.
func (p *planner) planServer(i int) {
	x := p.servers.At(i)
	interval := readInterval
	if x.phase == phaseIdle && x.observed.Pending() == "" {
		interval = verifyInterval
		if n, more := p.desired.next(x.observed); more {
			p.sendOrder(i, n)
			return
		}
	}
	if x.phase == phaseSent && p.now < x.lastOrder.sentAt+p.desired.orderDelay {
		p.wakeAt(x.lastOrder.sentAt + p.desired.orderDelay)
		return
	}
	if x.phase == phaseFenced {
		interval = verifyInterval
	}
	p.readServer(i, interval)
}

// readServer reads the server's state if the interval since the last read has passed.
func (p *planner) readServer(i int, interval hoist.Millis) {
	x := p.servers.At(i)
	if x.nextRead <= p.now {
		x.nextRead, x.readPending = p.now+interval, true
		p.effects = append(p.effects, Read{x.name})
		p.servers = p.servers.With(i, x)
	}
	p.wakeAt(x.nextRead)
}

// refreshRead reads the server's state now unless a read is pending, because the last one is too old for an order.
func (p *planner) refreshRead(i int) {
	x := p.servers.At(i)
	if !x.readPending {
		x.nextRead = p.now
		p.servers = p.servers.With(i, x)
	}
	p.readServer(i, readInterval)
}

// sendOrder sends the step to the server, or schedules a later attempt if a limit does not allow it now.
func (p *planner) sendOrder(i int, n step) {
	x := p.servers.At(i)
	rate := p.mibPerSecond()
	limited := n.mib > 0 && p.desired.storeMibPerSecond > 0
	if limited {
		p.loading = true
		p.credit = p.credit.started(p.share, n.mib, p.now)
	}
	if p.desired.fenced && x.observed.Fence() > p.desired.fence {
		// Another router has a newer snapshot in force.
		p.readServer(i, verifyInterval)
		return
	}
	if at := max(p.quietUntil, x.earliestSend(n.order, p.desired.orderDelay)); at > p.now {
		p.wakeAt(at)
		return
	}
	if n.takesOut && p.outagesLeft <= 0 {
		// Another server must first be read as back in service; that read is an event that plans again.
		p.readServer(i, verifyInterval)
		return
	}
	if limited && rate <= 0 {
		return
	}
	if limited && p.credit.mib < n.mib {
		p.wakeAt(p.credit.coversAt(n.mib, rate))
		return
	}
	if x.lastReadAt < max(p.quietUntil, p.now-maxReadAge) {
		p.refreshRead(i)
		return
	}
	if limited {
		p.credit.mib -= n.mib
	}
	if n.takesOut {
		p.outagesLeft--
	}
	p.servers = p.servers.With(i, x.withOrder(n, p.desired.orderDelay, p.now))
	p.effects = append(p.effects, Send{x.name, n.order, p.now + p.desired.orderDelay})
	p.wakeAt(p.now + p.desired.orderDelay)
}
