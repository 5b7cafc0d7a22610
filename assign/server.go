package assign

import (
	"math"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// run is one request at a server.
type run struct {
	work value.Work
	// fresh is the number of prompt tokens that the server is expected to compute.
	fresh int32
	began bool
	// placed is the time of the grant.
	placed hoist.Millis
	// by is the other instance that has granted the request, or empty.
	by string
}

// server is the immutable view of one backend server.
type server struct {
	entry value.BackendServer
	runs  value.List[run]
	// shunned is the time until which a failing server takes work only when no other server can.
	shunned  hoist.Millis
	failures int
	// load is the last report and reported its time; a report older than reportLife counts for nothing.
	load     value.ServerLoad
	reported hoist.Millis
	// given counts the prompt tokens that the server was given, as of the last one; earlier ones count less.
	given   float64
	givenAt hoist.Millis
}

// withRun returns a copy that runs one more request.
func (s server) withRun(r run) server {
	s.runs = s.runs.Append(r)
	s.given, s.givenAt = s.recent(r.placed)+float64(r.fresh), r.placed
	return s
}

// recent returns the prompt tokens that the server was given lately.
func (s server) recent(now hoist.Millis) float64 {
	return s.given * math.Exp(-float64(now-s.givenAt)/float64(recentTime))
}

// find returns the index of the request, or -1.
func (s server) find(id uint64) int {
	for i := range s.runs.Len() {
		if s.runs.At(i).work.Id() == id {
			return i
		}
	}
	return -1
}

// withoutRun returns a copy without the request.
func (s server) withoutRun(id uint64) server {
	if i := s.find(id); i >= 0 {
		s.runs = s.runs.Without(i)
	}
	return s
}

// withBegan returns a copy whose request has begun to answer.
func (s server) withBegan(id uint64) server {
	if i := s.find(id); i >= 0 {
		r := s.runs.At(i)
		r.began = true
		s.runs = s.runs.With(i, r)
	}
	return s
}

// withLoad returns a copy with a report.
func (s server) withLoad(l value.ServerLoad, now hoist.Millis) server {
	s.load, s.reported = l, now
	return s
}

// withFailure returns a copy that is shunned for longer with each failure in a row, once there are as many as the limit.
func (s server) withFailure(now, least hoist.Millis, limit int) server {
	s.failures++
	if n := s.failures - limit; n >= 0 {
		s.shunned = now + min(least<<min(n, maxShunDoublings), shunMost)
	}
	return s
}

// withSuccess returns a copy that is no longer shunned.
func (s server) withSuccess() server {
	s.failures, s.shunned = 0, 0
	return s
}

// after returns a copy that has learnt from the result of a request.
func (s server) after(r Result, now hoist.Millis) server {
	switch r {
	case ResultOK:
		return s.withSuccess()
	case ResultQueueFull:
		return s.withFailure(now, fullShun, 1)
	case ResultError:
		return s.withFailure(now, failShun, failLimit)
	case ResultWrongServer, ResultUnreachable:
		return s.withFailure(now, deadShun, 1)
	default:
		return s
	}
}

// withHeld returns a copy whose requests of the origin are those that it holds; a request that was granted a moment ago stays, since the origin may not know of it yet.
func (s server) withHeld(origin string, held map[uint64]bool, now hoist.Millis) server {
	var runs []run
	for r := range s.runs.All() {
		if r.work.Origin() != origin || held[r.work.Id()] || now-r.placed < grantTravel {
			runs = append(runs, r)
		}
	}
	if len(runs) < s.runs.Len() {
		s.runs = value.ListOf(runs...)
	}
	return s
}

// withoutGrants returns a copy in which no request counts as granted by the instance.
func (s server) withoutGrants(by string) server {
	for i := range s.runs.Len() {
		if r := s.runs.At(i); r.by == by {
			r.by = ""
			s.runs = s.runs.With(i, r)
		}
	}
	return s
}

// unread returns the prompt tokens that are still to be computed at the server.
func (s server) unread() int64 {
	var n int64
	for r := range s.runs.All() {
		if !r.began {
			n += int64(r.fresh)
		}
	}
	return n
}

// ahead returns the prompt tokens that the server computes before those of a new request of the rank; engines let
// higher ranks overtake what they have not begun, so lower ranks count in part.
func (s server) ahead(rank int32) float64 {
	var n float64
	for r := range s.runs.All() {
		switch {
		case r.began:
		case r.work.Rank() > rank:
			n += lowerWeight * float64(r.fresh)
		default:
			n += float64(r.fresh)
		}
	}
	return n
}

// urgent returns the number of streams at the server whose rank is higher than the given one.
func (s server) urgent(rank int32) int {
	n := 0
	for r := range s.runs.All() {
		if r.work.Rank() < rank {
			n++
		}
	}
	return n
}

// slowness returns the factor by which work takes longer than usual, as last reported.
func (s server) slowness(now hoist.Millis) float64 {
	if now-s.reported > reportLife || s.load.Slowness() <= 0 {
		return 1
	}
	return float64(s.load.Slowness()) / 100
}
