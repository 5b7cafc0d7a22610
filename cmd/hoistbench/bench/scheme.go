package bench

import (
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/sched"
	"chicoryhoist.example/hoist/value"
)

// scheme is a way to choose the server of a request: the router's policy or a baseline that it is compared with.
//
//sumtype:decl
type scheme interface{ isScheme() }

// policy is the scheme of the router: the shard owner decides about all requests.
type policy struct {
	state sched.State
	// nextTick is the time of the earliest tick that is already scheduled.
	nextTick hoist.Millis
}

// fifo is the first baseline: each router sends a request at once to the server with the fewest requests of this router.
type fifo struct {
	// running counts requests by router and server.
	running [][]int
}

// shares is the second baseline: independent routers queue requests by tier, each with a fixed share of every server's slots.
type shares struct {
	// running counts requests by router and server.
	running [][]int
	// waiting holds the queued requests of each router, ordered by rank and then by arrival.
	waiting [][]*request
}

func (*policy) isScheme() {}
func (*fifo) isScheme()   {}
func (*shares) isScheme() {}

// newScheme returns the scheme named "fifo" or "shares", and the policy for any other name.
func newScheme(name string, s Scenario) scheme {
	counts := make([][]int, s.Site.Routers)
	for i := range counts {
		counts[i] = make([]int, s.Site.Servers)
	}
	switch name {
	case "fifo":
		return &fifo{counts}
	case "shares":
		return &shares{counts, make([][]*request, s.Site.Routers)}
	default:
		return &policy{state: sched.New("shard")}
	}
}

// indexOfMin returns the index of the first smallest count.
func indexOfMin(counts []int) int { return slices.Index(counts, slices.Min(counts)) }

// place passes a request to a baseline scheme.
func (w *world) place(r *request) {
	switch s := w.scheme.(type) {
	case *policy:
	case *fifo:
		w.assign(r, indexOfMin(s.running[r.router]), 0)
		s.running[r.router][r.server]++
	case *shares:
		queue := s.waiting[r.router]
		position := len(queue)
		for position > 0 && queue[position-1].class.Rank > r.class.Rank {
			position--
		}
		s.waiting[r.router] = slices.Insert(queue, position, r)
		w.startWaiting(s, r.router)
	}
}

// startWaiting starts queued requests of a router while its share of some server has a free slot.
func (w *world) startWaiting(s *shares, router int) {
	for len(s.waiting[router]) > 0 {
		bestServer, mostFree := -1, 0
		for i, running := range s.running[router] {
			// The remainder of the division goes to different routers, so that the shares of all routers add up to the server's slots.
			serverSlots := (slotsPerServer + (router+i)%w.scenario.Site.Routers) / w.scenario.Site.Routers
			if serverSlots-running > mostFree {
				bestServer, mostFree = i, serverSlots-running
			}
		}
		if bestServer < 0 {
			return
		}
		r := s.waiting[router][0]
		s.waiting[router] = s.waiting[router][1:]
		s.running[router][bestServer]++
		w.assign(r, bestServer, r.class.Rank)
	}
}

// release frees the slot of an ended request in a baseline scheme.
func (w *world) release(r *request) {
	switch s := w.scheme.(type) {
	case *policy:
	case *fifo:
		s.running[r.router][r.server]--
	case *shares:
		s.running[r.router][r.server]--
		w.startWaiting(s, r.router)
	}
}

// decide passes an event to the shard owner, sends the resulting messages and schedules its next tick.
func (w *world) decide(e sched.Event) {
	p, ok := w.scheme.(*policy)
	if !ok {
		return
	}
	now := w.queue.Now().Millis()
	state, effects := p.state.Decide(e, now)
	p.state = state
	for _, x := range effects {
		if a, ok := attemptOf(x); ok {
			r := w.requests[a.Request()-1]
			w.queue.After(w.scenario.Site.OneWayLatency(shardOwner, r.router), dispatcherMessage{r, x})
		}
	}
	if wakeAt, ok := state.Wake(); ok && (p.nextTick <= now || wakeAt < p.nextTick) {
		p.nextTick = max(wakeAt, now+1)
		w.queue.After(timeUntil(w.queue.Now(), p.nextTick), ownerTick{})
	}
}

// attemptOf returns the attempt that a dispatcher's message concerns, or false if it concerns none.
func attemptOf(body value.DispatcherMessageBody) (value.Attempt, bool) {
	switch b := body.(type) {
	case value.Grant:
		return b.Attempt(), true
	case value.Refusal:
		return b.Attempt(), true
	case value.Preempt:
		return b.Attempt(), true
	case value.Query:
		return value.Attempt{}, false
	}
	return value.Attempt{}, false
}
