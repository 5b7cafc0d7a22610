package assign

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// run is one request at a server.
type run struct {
	work value.Work
	// fresh is the number of prompt tokens that the server is expected to compute.
	fresh int32
	began bool
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
}

// withRun returns a copy that runs one more request.
func (s server) withRun(r run) server {
	s.runs = s.runs.Append(r)
	return s
}

// withoutRun returns a copy without the request.
func (s server) withoutRun(id uint64) server {
	for i := range s.runs.Len() {
		if s.runs.At(i).work.Id() == id {
			s.runs = s.runs.Without(i)
			return s
		}
	}
	return s
}

// withBegan returns a copy whose request has begun to answer.
func (s server) withBegan(id uint64) server {
	for i := range s.runs.Len() {
		if r := s.runs.At(i); r.work.Id() == id {
			r.began = true
			s.runs = s.runs.With(i, r)
			return s
		}
	}
	return s
}

// withLoad returns a copy with a report.
func (s server) withLoad(l value.ServerLoad, now hoist.Millis) server {
	s.load, s.reported = l, now
	return s
}

// withFailure returns a copy that is shunned for longer with each failure in a row.
func (s server) withFailure(now, least hoist.Millis) server {
	s.failures++
	s.shunned = now + min(least<<min(s.failures-1, maxShunDoublings), shunMost)
	return s
}

// withSuccess returns a copy that is no longer shunned.
func (s server) withSuccess() server {
	s.failures, s.shunned = 0, 0
	return s
}

// holds reports whether the request runs at the server.
func (s server) holds(id uint64) bool {
	for r := range s.runs.All() {
		if r.work.Id() == id {
			return true
		}
	}
	return false
}

// unread returns the prompt tokens that are still to be computed for requests of this process.
func (s server) unread() int64 {
	var n int64
	for r := range s.runs.All() {
		if !r.began {
			n += int64(r.fresh)
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
