// Package order plans the orders to the engines of one shard: models, adapters, versions and role.
//
// The wanted state comes from the snapshot alone, so weights are loaded before there is demand
// for them. One order to a server is outstanding at a time, and its state is read back before
// the next. A new owner first waits until no order of an earlier owner can be under way, and orders
// that undo each other are kept that far apart. This holds for fenced pools too: the fence keeps
// older snapshots out, but it does not count the servers that are out of service.
package order

import (
	"math"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// State is the immutable planning state of one shard.
type State struct {
	desire  desire
	share   Share
	servers value.List[server]
	ready   bool
	owner   bool
	quiet   hoist.Millis
	since   hoist.Millis
	credit  credit
}

// Converged reports whether every server that answers has what the snapshot wants.
func (s State) Converged() bool {
	for x := range s.servers.All() {
		if _, more := s.desire.next(x.observed); more || x.phase != phaseIdle {
			return false
		}
	}
	return s.ready
}

// OutOfService returns the names of the servers that carry out an order which takes them out of service.
func (s State) OutOfService() []string {
	var names []string
	for x := range s.servers.All() {
		if x.outOfService() {
			names = append(names, x.name)
		}
	}
	return names
}

// Decide returns the state after the event and what must be done.
func (s State) Decide(event Event, now hoist.Millis) (State, []Effect) {
	switch e := event.(type) {
	case Configured:
		s = s.configure(e, now)
	case BecameOwner:
		s = s.take(now)
	case OwnershipLost:
		s.owner = false
		return s, nil
	case Observed:
		s = s.change(e.Server, func(x server) server { return x.read(e.State, s.desire.delay, now) })
	case Unreachable:
		s = s.change(e.Server, func(x server) server {
			x.asking = false
			return x
		})
	case Sent:
		s = s.change(e.Server, func(x server) server { return x.stamped(e.ID, now) })
	case Answered:
		s = s.change(e.Server, func(x server) server { return x.answered(e.ID, e.Answer) })
	case Ticked:
	}
	return s.plan(now)
}

// configure adopts the wanted state and the list of servers; leaving servers get no orders.
func (s State) configure(e Configured, now hoist.Millis) State {
	old := s.desire
	s.desire, s.share, s.ready = desireOf(e.View, e.Pool), e.Share, true
	s.quiet = max(s.quiet, s.since+s.desire.delay)
	var servers []server
	for i := range e.Instances.All() {
		if i.Leaving() {
			continue
		}
		x := server{name: i.Name(), reads: now}
		for known := range s.servers.All() {
			if known.name == i.Name() {
				x = known
			}
		}
		if x.phase == phaseFenced && s.desire.fence != old.fence {
			x.phase = phaseUnread
		}
		servers = append(servers, x)
	}
	s.servers = value.ListOf(servers...)
	return s
}

// take begins the ownership: nothing known before counts, and earlier orders may still arrive for one order delay.
func (s State) take(now hoist.Millis) State {
	s.owner, s.since, s.credit = true, now, credit{}
	s.quiet = now + s.desire.delay
	for i := range s.servers.Len() {
		x := s.servers.At(i)
		x.asking, x.reads, x.failures, x.after = false, now, 0, 0
		if x.phase != phaseSent {
			x.phase = phaseUnread
		}
		s.servers = s.servers.With(i, x)
	}
	return s
}

// change returns the state with the named server changed.
func (s State) change(name string, f func(server) server) State {
	for i := range s.servers.Len() {
		if x := s.servers.At(i); x.name == name {
			s.servers = s.servers.With(i, f(x))
		}
	}
	return s
}

// plan returns the reads and orders that are due, and the time of the next ones.
func (s State) plan(now hoist.Millis) (State, []Effect) {
	if !s.owner || !s.ready {
		return s, nil
	}
	s.credit = s.credit.grown(s.rate(), s.desire.heaviest(), now)
	p := planner{State: s, now: now, wake: math.MaxInt64, room: s.room()}
	for i := range s.servers.Len() {
		p.serve(i)
	}
	if !p.loading {
		p.credit = credit{}
	}
	if p.wake < math.MaxInt64 {
		p.effects = append(p.effects, Wait{p.wake})
	}
	return p.State, p.effects
}

// rate returns the shard's part of the weight store, in mebibytes per second; zero is no limit.
func (s State) rate() float64 { return s.desire.rate * s.share.part }

// room returns how many more servers may go out of service.
//
// A server that was not read since the orders of an earlier owner have ended counts as out, because it may be.
func (s State) room() int {
	room := max(1, s.servers.Len()*s.desire.eject/1000)
	for x := range s.servers.All() {
		if x.outOfService() || x.readAt < s.quiet {
			room--
		}
	}
	return room
}

// planner is the working state of one plan.
type planner struct {
	State
	now     hoist.Millis
	wake    hoist.Millis
	room    int
	loading bool
	effects []Effect
}

// at notes that a server has something to do at the time.
func (p *planner) at(t hoist.Millis) { p.wake = min(p.wake, max(t, p.now+1)) }

// serve decides what one server needs.
func (p *planner) serve(i int) {
	x := p.servers.At(i)
	interval := readInterval
	if x.phase == phaseIdle && x.observed.Pending() == "" {
		interval = verifyInterval
		if n, more := p.desire.next(x.observed); more {
			p.order(i, n)
			return
		}
	}
	if x.phase == phaseSent && p.now < x.last.at+p.desire.delay {
		p.at(x.last.at + p.desire.delay)
		return
	}
	if x.phase == phaseFenced {
		interval = verifyInterval
	}
	p.read(i, interval)
}

// read asks the server for its state when that is due.
func (p *planner) read(i int, interval hoist.Millis) {
	x := p.servers.At(i)
	if x.reads <= p.now {
		x.reads, x.asking = p.now+interval, true
		p.effects = append(p.effects, Read{x.name})
		p.servers = p.servers.With(i, x)
	}
	p.at(x.reads)
}

// refresh asks the server for its state now, because the last read-back is too old for an order.
func (p *planner) refresh(i int) {
	x := p.servers.At(i)
	if !x.asking {
		x.reads = p.now
		p.servers = p.servers.With(i, x)
	}
	p.read(i, readInterval)
}

// order sends the step to the server as soon as every rule allows it.
func (p *planner) order(i int, n step) {
	x := p.servers.At(i)
	rate := p.rate()
	limited := n.mib > 0 && p.desire.rate > 0
	if limited {
		p.loading = true
		p.credit = p.credit.begun(p.share, n.mib, p.now)
	}
	if p.desire.fenced && x.observed.Fence() > p.desire.fence {
		// A newer snapshot than this one is in force somewhere.
		p.read(i, verifyInterval)
		return
	}
	if at := max(p.quiet, x.free(n.order, p.desire.delay)); at > p.now {
		p.at(at)
		return
	}
	if n.out && p.room <= 0 {
		// The read-back of another server makes room and is an event of its own.
		p.read(i, verifyInterval)
		return
	}
	if limited && rate <= 0 {
		return
	}
	if limited && p.credit.mib < n.mib {
		p.at(p.credit.reached(n.mib, rate))
		return
	}
	if x.readAt < max(p.quiet, p.now-freshTime) {
		p.refresh(i)
		return
	}
	if limited {
		p.credit.mib -= n.mib
	}
	if n.out {
		p.room--
	}
	p.servers = p.servers.With(i, x.sent(n, p.desire.delay, p.now))
	p.effects = append(p.effects, Send{x.name, n.order, p.now + p.desire.delay})
	p.at(p.now + p.desire.delay)
}
