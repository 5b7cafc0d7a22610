package sched

import (
	"cmp"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// wastePermille is the share of the generated tokens that preemption may waste, in thousandths.
	wastePermille = 20
	// maxWasteTokens bounds the accumulated waste budget to about one minute's budget of a dozen
	// servers, so that a burst of preemptions keeps to the share at a peak too.
	maxWasteTokens = 8192
	// minPreemptTokens is the number of tokens that an attempt produces before it may be preempted, so
	// that a resumed request makes progress between two preemptions.
	minPreemptTokens = 256
)

// preemptFor preempts a long attempt if the request can then meet its target at a bounded cost.
//
// The cost is the number of tokens whose KV cache the resumed attempt must compute
// again. The request must still have time left; otherwise the work would be wasted.
func (s State) preemptFor(r *QueuedRequest, now hoist.Millis, effects []Effect) (State, []Effect, bool) {
	if s.deadline(r) <= now || r.ask.Alone() {
		return s, effects, false
	}
	victim := s.victim(r)
	if victim == nil || preemptionCost(victim) > s.wasteBudget {
		return s, effects, false
	}
	s.checkPreempt(victim, r)
	s.wasteBudget -= preemptionCost(victim)
	s.pendingPreemptions++
	s.running = s.running.With(victim.withPreempted())
	return s, append(effects, value.Preempt{}.WithAttempt(victim.attempt())), true
}

// preemptionCost returns the cost of a preemption in thousandths of a token.
func preemptionCost(ra *runningAttempt) int64 {
	return (int64(ra.attainedTokens()) + int64(ra.ask.PromptTokens())) * 1000
}

// victim returns the newest long attempt of the lowest tier that may be preempted for the request, or nil.
func (s State) victim(r *QueuedRequest) *runningAttempt {
	if !s.hasLongAtOrBelow(r.class.Rank) {
		return nil
	}
	var found *runningAttempt
	for ra := range s.running.All() {
		if !s.preemptible(ra, r) || (found != nil && !preemptedBefore(ra, found)) {
			continue
		}
		found = ra
	}
	return found
}

// hasLongAtOrBelow reports whether long attempts run in the tier or in a lower one.
func (s State) hasLongAtOrBelow(rank int32) bool {
	for _, cs := range s.classStates {
		if cs.runningLong > 0 && cs.class.Rank >= rank {
			return true
		}
	}
	return false
}

// preemptible reports whether the attempt may be preempted for the request. Candidates are long attempts of a lower
// tier, and of the same tier on a server above its long cap. An attempt that must not be repeated is never preempted.
func (s State) preemptible(ra *runningAttempt, r *QueuedRequest) bool {
	if !ra.long || ra.preempted || ra.tokens < minPreemptTokens || !ra.ask.Repeatable() || ra.rank < r.class.Rank {
		return false
	}
	i := s.countsIndex(ra.server)
	if i < 0 || i >= s.table.Servers().Len() || !s.acceptsWork(i) || avoids(r.ask, ra.server) {
		return false
	}
	limit := s.pool.LongCap()
	return ra.rank > r.class.Rank || (limit > 0 && s.counts[i].long > limit)
}

// preemptedBefore reports whether a is preempted before b: the lower tier first, then the newer attempt.
func preemptedBefore(a, b *runningAttempt) bool {
	return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(b.started, a.started), cmp.Compare(b.sequence, a.sequence)) < 0
}
