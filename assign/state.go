package assign

import (
	"cmp"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// State is the immutable state of one service in one process.
type State struct {
	datacentre string
	rules      Rules
	servers    value.List[server]
	// waiting holds the requests without a server, the highest rank first and the oldest first inside a rank.
	waiting value.List[value.Work]
}

// New returns the state of a service without servers; datacentre is that of the process.
func New(datacentre string, r Rules) State { return State{datacentre: datacentre, rules: r} }

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

// Decide returns the state after the event and what is to be done.
func (s State) Decide(e Event, now hoist.Millis) (State, []Effect) {
	switch e := e.(type) {
	case Asked:
		s = s.withWaiting(e.Work)
	case Withdrawn:
		s = s.withoutWaiting(e.ID)
	case Began:
		s = s.changed(e.ID, func(x server) server {
			x = x.withBegan(e.ID)
			if e.Loaded {
				x = x.withLoad(e.Load, now)
			}
			return x
		})
	case Ended:
		s = s.changed(e.ID, func(x server) server { return x.withoutRun(e.ID).after(e.Result, now) })
	case Listed:
		s = s.listed(e.Servers)
	case Ticked:
	}
	return s.settle(now)
}

// Wake returns the time at which the state wants to be asked again; false when no request waits.
func (s State) Wake(now hoist.Millis) (hoist.Millis, bool) {
	if s.waiting.Len() == 0 {
		return 0, false
	}
	wake := now + waitPoll
	for w := range s.waiting.All() {
		wake = min(wake, max(s.rules.patience(w), now+1))
	}
	return wake, true
}

// withWaiting returns a copy with the request in its place of the queue.
func (s State) withWaiting(w value.Work) State {
	at, _ := slices.BinarySearchFunc(slices.Collect(s.waiting.All()), w, before)
	s.waiting = s.waiting.Insert(at, w)
	return s
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
		if x := s.servers.At(i); x.holds(id) {
			s.servers = s.servers.With(i, change(x))
			return s
		}
	}
	return s
}

// after returns a copy that has learnt from the result of a request.
func (s server) after(r Result, now hoist.Millis) server {
	switch r {
	case Done:
		return s.withSuccess()
	case Full:
		return s.withFailure(now, fullShun)
	case Failing:
		return s.withFailure(now, failShun)
	case Moved, Unreachable:
		return s.withFailure(now, deadShun)
	default:
		return s
	}
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

// settle places waiting requests and refuses those whose time is over.
func (s State) settle(now hoist.Millis) (State, []Effect) {
	var effects []Effect
	for i := 0; i < s.waiting.Len(); {
		w := s.waiting.At(i)
		at, basis := s.choose(w, now)
		switch {
		case at >= 0:
			x := s.servers.At(at).withRun(run{work: w, fresh: basis.Fresh})
			s.servers = s.servers.With(at, x)
			effects = append(effects, Grant{w.Id(), x.entry, basis})
		case now >= s.rules.patience(w):
			effects = append(effects, Refuse{w.Id(), s.rules.comeback(w, now), s.reason()})
		default:
			i++
			continue
		}
		s.waiting = s.waiting.Without(i)
	}
	return s, effects
}

// reason returns why a request finds no server.
func (s State) reason() Reason {
	for x := range s.servers.All() {
		if !x.entry.Leaving() {
			return Overload
		}
	}
	return NoServer
}
