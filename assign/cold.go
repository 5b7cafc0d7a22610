package assign

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// coldLogInterval is the shortest time between two reports that the same server is taken as cold.
const coldLogInterval = hoist.Second

// maxUnlisted bounds the servers that are remembered after their entries were removed: those of a whole shard.
const maxUnlisted = 64

// ColdReason is why a server is taken as cold.
type ColdReason int

const (
	// ColdEntry means that the entry of the server says so.
	ColdEntry ColdReason = iota
	// ColdResponse means that a response of the server says so.
	ColdResponse
	// ColdNew means that the server was not known before.
	ColdNew
	// ColdRestarted means that the entry of the server has a newer start time.
	ColdRestarted
	// ColdDown means that the server has refused a connection, or has crashed.
	ColdDown
	// ColdEvacuated means that the data centre of the server is no longer evacuated.
	ColdEvacuated
)

// String returns the reason in lower case.
func (r ColdReason) String() string {
	switch r {
	case ColdEntry:
		return "entry"
	case ColdResponse:
		return "response"
	case ColdNew:
		return "new server"
	case ColdRestarted:
		return "restarted"
	case ColdDown:
		return "down"
	case ColdEvacuated:
		return "end of an evacuation"
	default:
		return "unknown"
	}
}

// coldState is the immutable record of how long a server counts as cold. The zero value is of a warm server.
type coldState struct {
	// since and until bound the time for which the server is cold.
	since, until hoist.Millis
	reason       ColdReason
	// measured is set if until depends only on the start of the server and on what it says of itself, so that a newer
	// statement replaces it. Other reasons are only extended by statements, which may be from before the event.
	measured bool
	// down is set from a refused connection at downAt until the next response of a request that was placed later.
	down   bool
	downAt hoist.Millis
	// loggedAt is the time at which the server was last reported as taken as cold.
	loggedAt hoist.Millis
}

// remaining returns the time for which the server stays cold, at least start while it is down, or zero if it is warm.
func (c coldState) remaining(start, now hoist.Millis) hoist.Millis {
	left := max(c.until-now, 0)
	if c.down {
		left = max(left, start)
	}
	return left
}

// begun returns a copy that has been cold since now for the reason if it is not cold yet.
func (c coldState) begun(r ColdReason, now hoist.Millis) coldState {
	if !c.down && c.until <= now {
		c.since, c.reason, c.measured = now, r, true
	}
	return c
}

// withStatement returns a copy that stays cold for the time that the server itself states.
func (c coldState) withStatement(left, now hoist.Millis, r ColdReason) coldState {
	if left <= 0 {
		return c
	}
	c = c.begun(r, now)
	if c.measured || now+left > c.until {
		c.until = now + left
	}
	return c
}

// withEvent returns a copy that stays cold for at least start because of an event that the server may not know of.
func (c coldState) withEvent(start, now hoist.Millis, r ColdReason) coldState {
	c = c.begun(r, now)
	c.until, c.measured = max(c.until, now+start), false
	return c
}

// withDown returns a copy of a server that has refused a connection or has crashed.
func (c coldState) withDown(start, now hoist.Millis) coldState {
	c = c.withEvent(start, now, ColdDown)
	c.down, c.downAt = true, now
	return c
}

// withResponse returns a copy after a response to a request that was placed at the given time.
func (c coldState) withResponse(placedAt, start, now hoist.Millis) coldState {
	if c.down && placedAt > c.downAt {
		c.down, c.until = false, max(c.until, now+start)
	}
	return c
}

// started returns the record of a server that has just started, unless its entry states a time.
func (c coldState) started(e value.BackendServer, start, now hoist.Millis, r ColdReason) coldState {
	left := start
	if e.ColdMs() > 0 {
		left = hoist.Millis(e.ColdMs())
	}
	return coldState{loggedAt: c.loggedAt}.withStatement(left, now, r)
}

// coldAfter returns the record of the listed server after its entry was read again; known is set if the state knew the
// server. The entries of a view are read again whenever one of them changes, so an unchanged one says nothing new.
func (s State) coldAfter(old server, known bool, e value.BackendServer, u ServersUpdated, now hoist.Millis) coldState {
	start, c := s.coldLimits.Start, old.cold
	stated := hoist.Millis(e.ColdMs())
	switch {
	case !known && (!s.learned || u.Kept[e.Id()]):
		return c.withStatement(stated, now, ColdEntry)
	case !known:
		return c.started(e, start, now, ColdNew)
	case e.Born() > old.entry.Born():
		c = c.started(e, start, now, ColdRestarted)
	case e.ColdMs() != old.entry.ColdMs():
		c = c.withStatement(stated, now, ColdEntry)
	}
	if old.entry.Evacuated() && !e.Evacuated() {
		c = c.withEvent(start, now, ColdEvacuated)
	}
	return c
}

// withUnlisted returns a copy that remembers how long the removed servers are cold and the grants to them, and forgets those
// that are listed again.
func (s State) withUnlisted(removed map[string]server, u ServersUpdated) State {
	if !s.coldLimits.Enforced || len(removed) == 0 && s.unlisted.Len() == 0 {
		return s
	}
	listed := map[string]bool{}
	for e := range u.Servers.All() {
		listed[e.Id()] = true
	}
	var kept []server
	for x := range s.unlisted.All() {
		if !listed[x.entry.Id()] {
			kept = append(kept, x)
		}
	}
	for x := range s.servers.All() {
		if _, ok := removed[x.entry.Id()]; ok {
			kept = append(kept, server{entry: x.entry, cold: x.cold, grants: x.grants})
		}
	}
	s.unlisted = value.ListOf(kept[max(len(kept)-maxUnlisted, 0):]...)
	return s
}

// relisted returns what is remembered of a server that is listed again with the same start time: its entry was removed while
// it ran, for example because it could not reach the store, and it is not new.
func (s State) relisted(e value.BackendServer) (server, bool) {
	for x := range s.unlisted.All() {
		if x.entry.Id() == e.Id() && x.entry.Born() == e.Born() && e.Born() > 0 {
			return x, true
		}
	}
	return server{}, false
}

// withColdReported returns a copy in which a response of the server has stated how long it stays cold.
func (s State) withColdReported(e ColdReported, now hoist.Millis) State {
	return s.withServer(e.Server, func(x server) server {
		x.cold = x.cold.withStatement(e.Left, now, ColdResponse)
		return x
	})
}

// withDown returns a copy in which the server has refused a connection or has crashed.
func (s State) withDown(id string, now hoist.Millis) State {
	return s.withServer(id, func(x server) server {
		x.cold = x.cold.withDown(s.coldLimits.Start, now)
		return x
	})
}

// withFirstResponse returns a copy after the response to the request has begun, which ends the time for which its server is
// down.
func (s server) withFirstResponse(id uint64, l ColdLimits, now hoist.Millis) server {
	if i := s.find(id); i >= 0 {
		s.cold = s.cold.withResponse(s.runs.At(i).placedAt, l.Start, now)
	}
	return s
}

// coldCost returns the cost of the remaining cold time of the server, in milliseconds. That of a server that is down counts
// down too: it would get no request that shows that it is back while others have room.
func (s State) coldCost(x server, now hoist.Millis) float64 {
	left := hoist.Millis(x.entry.ColdMs())
	if s.coldLimits.Enforced {
		left = max(x.cold.until-now, 0)
	}
	return float64(left >> coldStartShift)
}

// withTakenCold returns a copy after the servers that old did not take as cold are reported.
func (s State) withTakenCold(old State, now hoist.Millis) (State, []Effect) {
	if !s.coldLimits.Enforced {
		return s, nil
	}
	warm := map[string]bool{}
	for x := range old.servers.All() {
		warm[x.entry.Id()] = x.cold.remaining(old.coldLimits.Start, now) == 0
	}
	var effects []Effect
	for i := range s.servers.Len() {
		x := s.servers.At(i)
		left := x.cold.remaining(s.coldLimits.Start, now)
		wasWarm, known := warm[x.entry.Id()]
		if left == 0 || known && !wasWarm || x.cold.loggedAt > 0 && now-x.cold.loggedAt < coldLogInterval {
			continue
		}
		x.cold.loggedAt = now
		s.servers = s.servers.With(i, x)
		effects = append(effects, TakenCold{x.entry, x.cold.reason, left})
	}
	return s, effects
}

// ColdFor returns the time for which the server stays cold, or zero if it is warm, not listed, or not limited.
func (s State) ColdFor(id string, now hoist.Millis) hoist.Millis {
	for x := range s.servers.All() {
		if x.entry.Id() == id && s.coldLimits.Enforced {
			return x.cold.remaining(s.coldLimits.Start, now)
		}
	}
	return 0
}

// Cold returns the number of cold servers.
func (s State) Cold(now hoist.Millis) int {
	n := 0
	for x := range s.servers.All() {
		if s.coldLimits.Enforced && x.cold.remaining(s.coldLimits.Start, now) > 0 {
			n++
		}
	}
	return n
}

// LimitsCold reports whether the state limits the requests to cold servers.
func (s State) LimitsCold() bool { return s.coldLimits.Enforced }
