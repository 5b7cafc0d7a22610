package bench

import (
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/sched"
	"chicoryhoist.example/hoist/value"
)

// scheme is a way to choose the server of a request.
//
//sumtype:decl
type scheme interface{ isScheme() }

// policy is the router's own: one owner of the shard decides.
type policy struct {
	state sched.State
	// wake is the time of the tick that is already planned.
	wake hoist.Millis
}

// fifo is the first baseline: first in first out, pushed to the server with the fewest requests of this router.
type fifo struct {
	// inFlight counts requests by router and server.
	inFlight [][]int
}

// shares is the second baseline: tier queues in independent routers, each with its own share of slots.
type shares struct {
	inFlight [][]int
	// waiting holds the requests of each router in the order of rank and arrival.
	waiting [][]*request
}

func (*policy) isScheme() {}
func (*fifo) isScheme()   {}
func (*shares) isScheme() {}

// newScheme returns the scheme with the name "policy", "fifo" or "shares".
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

// least returns the index of the smallest count.
func least(counts []int) int { return slices.Index(counts, slices.Min(counts)) }

// ask hands a request to a baseline.
func (w *world) ask(r *request) {
	switch s := w.scheme.(type) {
	case *policy:
	case *fifo:
		w.assign(r, least(s.inFlight[r.router]), 0)
		s.inFlight[r.router][r.server]++
	case *shares:
		q := s.waiting[r.router]
		at := len(q)
		for at > 0 && q[at-1].class.Rank > r.class.Rank {
			at--
		}
		s.waiting[r.router] = slices.Insert(q, at, r)
		w.feed(s, r.router)
	}
}

// feed starts waiting requests of a router in its free slots.
func (w *world) feed(s *shares, router int) {
	for len(s.waiting[router]) > 0 {
		best, room := -1, 0
		for i, n := range s.inFlight[router] {
			// The share of a server's slots is spread so that all routers together have all of them.
			share := (slots + (router+i)%w.scene.Site.Routers) / w.scene.Site.Routers
			if share-n > room {
				best, room = i, share-n
			}
		}
		if best < 0 {
			return
		}
		r := s.waiting[router][0]
		s.waiting[router] = s.waiting[router][1:]
		s.inFlight[router][best]++
		w.assign(r, best, r.class.Rank)
	}
}

// release tells a baseline that a request has ended.
func (w *world) release(r *request) {
	switch s := w.scheme.(type) {
	case *policy:
	case *fifo:
		s.inFlight[r.router][r.server]--
	case *shares:
		s.inFlight[r.router][r.server]--
		w.feed(s, r.router)
	}
}

// decide passes an event to the shard's owner and sends the messages that it causes.
func (w *world) decide(e sched.Event) {
	p, ok := w.scheme.(*policy)
	if !ok {
		return
	}
	now := w.loop.Now().Millis()
	state, effects := p.state.Decide(e, now)
	p.state = state
	for _, x := range effects {
		if a, ok := attemptOf(x); ok {
			r := w.requests[a.Request()-1]
			w.loop.After(w.scene.Site.OneWayLatency(owner, r.router), told{r, x})
		}
	}
	if at, ok := state.Wake(); ok && (p.wake <= now || at < p.wake) {
		p.wake = max(at, now+1)
		w.loop.After(timeUntil(w.loop.Now(), p.wake), tick{})
	}
}

// attemptOf returns the attempt that a dispatcher's message is about.
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
