package sched

import (
	"cmp"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// wastePermille is the share of the generated tokens that preemption may waste.
	wastePermille = 20
	// maxWaste bounds the waste allowance that is saved up, in tokens: about a minute's
	// allowance of a dozen servers, so that a burst of preemptions stays within the share at a peak too.
	maxWaste = 8192
	// minRun is the number of tokens that an attempt produces before it may be preempted, so
	// that a request that resumes makes progress between two preemptions.
	minRun = 256
)

// relieve preempts a long attempt if that lets the request meet its target at a bounded cost.
//
// The cost is the number of tokens whose KV cache the resumed attempt must compute
// again. The request must still have time left, or the work would be lost for nothing.
func (s State) relieve(w *QueuedRequest, now hoist.Millis, effects []Effect) (State, []Effect, bool) {
	if s.deadline(w) <= now || w.ask.Alone() {
		return s, effects, false
	}
	v := s.victim(w)
	if v == nil || waste(v) > s.budget {
		return s, effects, false
	}
	s.checkPreempt(v, w)
	s.budget -= waste(v)
	s.freeing++
	s.jobs = s.jobs.With(v.withPreempted())
	return s, append(effects, value.Preempt{}.WithAttempt(v.attempt())), true
}

// waste returns the cost of a preemption in thousandths of a token.
func waste(j *job) int64 { return (int64(j.attained()) + int64(j.ask.PromptTokens())) * 1000 }

// victim returns the newest long attempt of the lowest tier that may yield its slot to the request, or nil.
func (s State) victim(w *QueuedRequest) *job {
	if !s.longBelow(w.class.Rank) {
		return nil
	}
	var found *job
	for j := range s.jobs.All() {
		if !s.yields(j, w) || (found != nil && !lower(j, found)) {
			continue
		}
		found = j
	}
	return found
}

// longBelow reports whether long attempts run in the tier or below it.
func (s State) longBelow(rank int32) bool {
	for _, l := range s.ledgers {
		if l.long > 0 && l.class.Rank >= rank {
			return true
		}
	}
	return false
}

// yields reports whether the attempt may be preempted for the request: long work of a lower
// tier, and long work of the same tier above the server's long cap. An attempt that must not be repeated never yields.
func (s State) yields(j *job, w *QueuedRequest) bool {
	if !j.long || j.preempted || j.tokens < minRun || !j.ask.Repeatable() || j.rank < w.class.Rank {
		return false
	}
	i := s.seatOf(j.server)
	if i < 0 || i >= s.table.Servers().Len() || !s.open(i) || avoids(w.ask, j.server) {
		return false
	}
	limit := s.pool.LongCap()
	return j.rank > w.class.Rank || (limit > 0 && s.seats[i].long > limit)
}

// lower reports whether a is preempted before b: the lower tier first, then the newer attempt.
func lower(a, b *job) bool {
	return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(b.started, a.started), cmp.Compare(b.order, a.order)) < 0
}
