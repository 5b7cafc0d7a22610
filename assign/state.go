package assign

import (
	"cmp"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// State is the immutable state of one shard: its servers, what runs there, and the requests that wait.
type State struct {
	servers value.List[server]
	// waiting holds the requests without a server, the highest rank first and the oldest first inside a rank.
	waiting value.List[value.Work]
	parts   parts
}

// New returns the state of a shard without servers.
func New() State { return State{parts: newParts()} }

// Waiting returns the number of requests that wait.
func (s State) Waiting() int { return s.waiting.Len() }

// Running returns the number of requests at servers.
func (s State) Running() int {
	n := 0
	for x := range s.servers.All() {
		n += x.runs.Len()
	}
	return n
}

// Listed reports whether the shard has servers.
func (s State) Listed() bool { return s.servers.Len() > 0 }

// Runs reports whether the request runs at a server.
func (s State) Runs(id uint64) bool {
	for x := range s.servers.All() {
		if x.find(id) >= 0 {
			return true
		}
	}
	return false
}

// Server returns the listed server with the id.
func (s State) Server(id string) (value.BackendServer, bool) {
	for x := range s.servers.All() {
		if x.entry.Id() == id {
			return x.entry, true
		}
	}
	return value.BackendServer{}, false
}

// Holding returns the requests of the origin at servers, as the owner needs to know them: those that it has granted by
// their ids, the others whole, with times relative to now.
func (s State) Holding(origin, owner string, now hoist.Millis) (granted value.List[uint64], runs value.List[value.PlaceRun]) {
	var ids []uint64
	var others []value.PlaceRun
	for x := range s.servers.All() {
		for r := range x.runs.All() {
			switch {
			case r.work.Origin() != origin:
			case r.by == owner:
				ids = append(ids, r.work.Id())
			default:
				others = append(others, value.PlaceRun{}.WithWork(WithRelativeTimes(r.work, now)).WithServer(x.entry.Id()).WithFresh(r.fresh).WithBegan(r.began))
			}
		}
	}
	return value.ListOf(ids...), value.ListOf(others...)
}

// WithRelativeTimes returns the request with times relative to now, as they travel between instances.
func WithRelativeTimes(w value.Work, now hoist.Millis) value.Work {
	return w.WithArrivedMs(w.ArrivedMs() - int64(now)).WithEndMs(w.EndMs() - int64(now))
}

// WithAbsoluteTimes returns a request whose times were relative to now.
func WithAbsoluteTimes(w value.Work, now hoist.Millis) value.Work {
	return w.WithArrivedMs(w.ArrivedMs() + int64(now)).WithEndMs(w.EndMs() + int64(now))
}

// Decide returns the state after the event and what is to be done.
func (s State) Decide(e Event, now hoist.Millis) (State, []Effect) {
	var effects []Effect
	switch e := e.(type) {
	case Submitted:
		s, effects = s.asked(e.Work)
	case Cancelled:
		s = s.withoutWaiting(e.ID)
	case Responded:
		s = s.changed(e.ID, func(x server) server {
			x = x.withBegan(e.ID)
			if e.Loaded {
				x = x.withLoad(e.Load, now)
			}
			return x
		})
	case Finished:
		s = s.changed(e.ID, func(x server) server { return x.withoutRun(e.ID).after(e.Result, now) })
	case ServersUpdated:
		s = s.listed(e.Servers)
	case Placed:
		s = s.placed(e.Run, e.By, now)
	case RunsReported:
		s = s.held(e, now)
	case InstanceLost:
		s = s.without(e.Origin)
	case Ticked:
	}
	s, more := s.settle(now)
	effects = append(effects, more...)
	if e, ok := e.(Submitted); ok && s.waits(e.Work.Id()) {
		effects = append(effects, Queued{e.Work.Id(), e.Work.Origin()})
	}
	return s, effects
}

// waits reports whether the request is in the queue.
func (s State) waits(id uint64) bool {
	for w := range s.waiting.All() {
		if w.Id() == id {
			return true
		}
	}
	return false
}

// Wake returns the time at which the state wants to be asked again; false when no request waits.
func (s State) Wake(now hoist.Millis) (hoist.Millis, bool) {
	if s.waiting.Len() == 0 {
		return 0, false
	}
	return now + waitPoll, true
}

// asked puts a request into the queue; one that is known already is answered again.
func (s State) asked(w value.Work) (State, []Effect) {
	for x := range s.servers.All() {
		if i := x.find(w.Id()); i >= 0 {
			return s, []Effect{Grant{w.Id(), w.Origin(), x.entry, Estimate{UncachedTokens: x.runs.At(i).fresh}}}
		}
	}
	s = s.withoutWaiting(w.Id())
	at, _ := slices.BinarySearchFunc(slices.Collect(s.waiting.All()), w, before)
	s.waiting = s.waiting.Insert(at, w)
	return s, nil
}

// before orders requests by rank, then by arrival.
func before(a, b value.Work) int {
	return cmp.Or(cmp.Compare(a.Rank(), b.Rank()), cmp.Compare(a.ArrivedMs(), b.ArrivedMs()), cmp.Compare(a.Id(), b.Id()))
}

// withoutWaiting returns a copy without the request.
func (s State) withoutWaiting(id uint64) State {
	for i := range s.waiting.Len() {
		if s.waiting.At(i).Id() == id {
			s.waiting = s.waiting.Without(i)
			return s
		}
	}
	return s
}

// changed returns a copy in which the server that runs the request is replaced.
func (s State) changed(id uint64, change func(server) server) State {
	for i := range s.servers.Len() {
		if x := s.servers.At(i); x.find(id) >= 0 {
			s.servers = s.servers.With(i, change(x))
			return s
		}
	}
	return s
}

// listed returns a copy with the servers of the list; what is known of a server stays while it is the same start.
func (s State) listed(l value.List[value.BackendServer]) State {
	known := map[string]server{}
	for x := range s.servers.All() {
		known[x.entry.Id()] = x
	}
	var servers []server
	for e := range l.All() {
		x, ok := known[e.Id()]
		if !ok || x.entry.Born() != e.Born() || x.entry.Address() != e.Address() {
			x = server{}
		}
		x.entry = e
		servers = append(servers, x)
	}
	s.servers = value.ListOf(servers...)
	return s
}

// placed returns a copy in which the request runs at its server.
func (s State) placed(p value.PlaceRun, by string, now hoist.Millis) State {
	s = s.withoutWaiting(p.Work().Id())
	for i := range s.servers.Len() {
		x := s.servers.At(i)
		if x.entry.Id() == p.Server() && x.find(p.Work().Id()) < 0 {
			return s.withPlaced(i, run{work: p.Work(), fresh: p.Fresh(), began: p.Began(), placed: now, by: by}, now)
		}
	}
	return s
}

// withPlaced returns a copy in which the server at the index runs one more request and holds its parts.
func (s State) withPlaced(at int, r run, now hoist.Millis) State {
	x := s.servers.At(at)
	s.servers = s.servers.With(at, x.withRun(r))
	for i := range r.work.Parts().Len() - 1 {
		s.parts = s.parts.with(r.work.Parts().At(i).Id(), x.entry.Id(), now)
	}
	return s
}

// held returns a copy whose requests of an instance are those that it lists.
func (s State) held(e RunsReported, now hoist.Millis) State {
	ids := map[uint64]bool{}
	for id := range e.Granted.All() {
		ids[id] = true
	}
	for r := range e.Runs.All() {
		ids[r.Work().Id()] = true
	}
	for i := range s.servers.Len() {
		s.servers = s.servers.With(i, s.servers.At(i).withHeld(e.Origin, ids, now))
	}
	for r := range e.Runs.All() {
		s = s.placed(r.WithWork(WithAbsoluteTimes(r.Work(), now)), "", now)
	}
	return s
}

// without returns a copy without the requests of an instance; its grants count as unknown to whoever takes its place.
func (s State) without(origin string) State {
	for i := range s.servers.Len() {
		s.servers = s.servers.With(i, s.servers.At(i).withHeld(origin, nil, hoist.Millis(1)<<62).withoutGrants(origin))
	}
	var waiting []value.Work
	for w := range s.waiting.All() {
		if w.Origin() != origin {
			waiting = append(waiting, w)
		}
	}
	s.waiting = value.ListOf(waiting...)
	return s
}

// settle places waiting requests and refuses those whose time is over.
func (s State) settle(now hoist.Millis) (State, []Effect) {
	var effects []Effect
	for i := 0; i < s.waiting.Len(); {
		w := s.waiting.At(i)
		at, basis := s.choose(w, now)
		switch {
		case at >= 0:
			effects = append(effects, Grant{w.Id(), w.Origin(), s.servers.At(at).entry, basis})
			s = s.withPlaced(at, run{work: w, fresh: basis.UncachedTokens, placed: now}, now)
		case now >= patience(w) || !s.usable(w):
			effects = append(effects, Refuse{w.Id(), w.Origin(), RetryAfter(hoist.Millis(w.EndMs()), now), s.reason(w)})
		default:
			i++
			continue
		}
		s.waiting = s.waiting.Without(i)
	}
	return s, effects
}

// usable reports whether a server may ever take the request.
func (s State) usable(w value.Work) bool {
	for x := range s.servers.All() {
		if !x.entry.Leaving() && !avoided(w, x.entry.Id()) {
			return true
		}
	}
	return false
}

// reason returns why a request finds no server.
func (s State) reason(w value.Work) Reason {
	if s.usable(w) {
		return Overload
	}
	return NoServer
}
