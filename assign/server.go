package assign

import (
	"math"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// run is one request that was granted to a server.
type run struct {
	work value.Work
	// uncached is the number of prompt tokens that the server is expected to compute.
	uncached  int32
	responded bool
	// expectedTokens is the number of prompt tokens that the server was expected to compute before the first event, scaled by
	// its slowness. It is zero if this state has not placed the request or learns no model.
	expectedTokens float64
	// placedAt is the time at which this state granted the request or learnt of it.
	placedAt hoist.Millis
	// grantedBy is the other instance that granted the request, or empty.
	grantedBy string
}

// server is an immutable view of one backend server.
type server struct {
	entry value.BackendServer
	runs  value.List[run]
	// backoffUntil is the time until which a failing server gets requests only if no other server can take them.
	backoffUntil hoist.Millis
	failures     int
	// load is the last load report and loadAt its time; a report older than loadReportTTL is ignored.
	load   value.ServerLoad
	loadAt hoist.Millis
	// sustainedSlowness is the lesser slowness of the last two load reports, or 1 if there were not two within
	// slownessWindow. A single slow report is usually noise on the machine of the server.
	sustainedSlowness float64
	// assignedTokens is an exponentially decaying sum of the prompt tokens assigned to the server, as of assignedAt.
	assignedTokens float64
	assignedAt     hoist.Millis
	// leaving is set if a response of the server said so.
	leaving bool
	// cold is how long the server counts as cold, grants are the last grants to it.
	cold   coldState
	grants grantLog
	// pauses are the instances from which the server wants no requests for a time.
	pauses value.List[pause]
	// model is what this state has learned of the speed of the server.
	model model
	// errorRate is the share of the last results that are errors.
	errorRate float64
}

// pause is the time until which a server wants no requests from an instance.
type pause struct {
	origin string
	until  hoist.Millis
}

// withRun returns a copy with one more request.
func (s server) withRun(r run) server {
	s.runs = s.runs.Append(r)
	s.assignedTokens, s.assignedAt = s.decayedTokens(r.placedAt)+float64(r.uncached), r.placedAt
	return s
}

// decayedTokens returns the decayed sum of the prompt tokens assigned to the server.
func (s server) decayedTokens(now hoist.Millis) float64 {
	return s.assignedTokens * math.Exp(-float64(now-s.assignedAt)/float64(assignedDecayTime))
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

// withResponse returns a copy in which the response to the request has begun.
func (s server) withResponse(id uint64) server {
	if i := s.find(id); i >= 0 {
		r := s.runs.At(i)
		r.responded = true
		s.runs = s.runs.With(i, r)
	}
	return s
}

// withLoad returns a copy with a new load report.
func (s server) withLoad(l value.ServerLoad, now hoist.Millis) server {
	s.sustainedSlowness = 1
	if s.loadAt > 0 && now-s.loadAt < slownessWindow {
		s.sustainedSlowness = min(slownessOf(s.load), slownessOf(l))
	}
	s.load, s.loadAt = l, now
	return s
}

// withLeaving returns a copy that is leaving, whatever its entry says.
func (s server) withLeaving() server {
	s.leaving = true
	s.entry = s.entry.WithLeaving(true)
	return s
}

// withPause returns a copy that wants no requests from the instance until the time. Pauses that have ended are removed.
func (s server) withPause(origin string, until, now hoist.Millis) server {
	pauses := []pause{{origin, max(until, s.pausedUntil(origin))}}
	for p := range s.pauses.All() {
		if p.origin != origin && p.until > now {
			pauses = append(pauses, p)
		}
	}
	s.pauses = value.ListOf(pauses...)
	return s
}

// pausedUntil returns the time until which the server wants no requests from the instance, or zero.
func (s server) pausedUntil(origin string) hoist.Millis {
	for p := range s.pauses.All() {
		if p.origin == origin {
			return p.until
		}
	}
	return 0
}

// withFailure returns a copy with one more consecutive failure. From the threshold on, the server is backed off, with
// a backoff that doubles with each failure.
func (s server) withFailure(now, initial hoist.Millis, threshold int) server {
	s.failures++
	if n := s.failures - threshold; n >= 0 {
		s.backoffUntil = now + min(initial<<min(n, maxBackoffDoublings), maxBackoff)
	}
	return s
}

// withSuccess returns a copy without failures and backoff.
func (s server) withSuccess() server {
	s.failures, s.backoffUntil = 0, 0
	return s
}

// withResult returns a copy whose failure count and backoff reflect the result of a request.
func (s server) withResult(r Result, now hoist.Millis) server {
	switch r {
	case ResultOK:
		return s.withSuccess()
	case ResultQueueFull:
		return s.withFailure(now, queueFullBackoff, 1)
	case ResultError:
		return s.withFailure(now, errorBackoff, errorThreshold)
	case ResultWrongServer, ResultUnreachable:
		return s.withFailure(now, unreachableBackoff, 1)
	default:
		return s
	}
}

// withReportedRuns returns a copy that keeps only those requests of the origin that it reported. A request granted
// less than grantRoundTrip ago stays, because the origin may not have received the grant when it sent the report.
func (s server) withReportedRuns(origin string, reported map[uint64]bool, now hoist.Millis) server {
	var runs []run
	for r := range s.runs.All() {
		if r.work.Origin() != origin || reported[r.work.Id()] || now-r.placedAt < grantRoundTrip {
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
		if r := s.runs.At(i); r.grantedBy == by {
			r.grantedBy = ""
			s.runs = s.runs.With(i, r)
		}
	}
	return s
}

// pendingTokens returns the number of prompt tokens that the server has yet to compute.
func (s server) pendingTokens() int64 {
	var n int64
	for r := range s.runs.All() {
		if !r.responded {
			n += int64(r.uncached)
		}
	}
	return n
}

// tokensAhead returns the number of prompt tokens that the server computes before a new request of the rank. Engines
// let higher ranks overtake requests that they have not begun, so the tokens of lower ranks count only with
// lowerRankWeight.
func (s server) tokensAhead(rank int32) float64 {
	var n float64
	for r := range s.runs.All() {
		switch {
		case r.responded:
		case r.work.Rank() > rank:
			n += lowerRankWeight * float64(r.uncached)
		default:
			n += float64(r.uncached)
		}
	}
	return n
}

// higherRanked returns the number of requests at the server that have a higher rank than the given one.
func (s server) higherRanked(rank int32) int {
	n := 0
	for r := range s.runs.All() {
		if r.work.Rank() < rank {
			n++
		}
	}
	return n
}

// slowness returns the factor by which the server is slower than usual: as last reported, or the sustained slowness once
// that report is outdated, which decays so that a server which has recovered gets requests again.
func (s server) slowness(now hoist.Millis) float64 {
	age := now - s.loadAt
	switch {
	case s.loadAt == 0:
		return 1
	case age <= loadReportTTL:
		return slownessOf(s.load)
	default:
		return 1 + (s.sustainedSlowness-1)*math.Exp(-float64(age)/float64(slownessDecayTime))
	}
}

// slownessOf returns the slowness in a load report, or 1 if it states none.
func slownessOf(l value.ServerLoad) float64 {
	if l.Slowness() <= 0 {
		return 1
	}
	return float64(l.Slowness()) / 100
}
