package sched

import (
	"math"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/place"
	"chicoryhoist.example/hoist/value"
)

const (
	// minRetryAfter is the shortest retry after; an earlier retry would meet the same queue.
	minRetryAfter hoist.Millis = 50
	// maxRetryAfter is the longest retry after; no estimate of the backlog holds for longer.
	maxRetryAfter = 60 * hoist.Second
	// minDrainShare is the share of the released slots that a low tier can count on even while higher
	// tiers request all of them, because their demand varies within seconds.
	minDrainShare = 0.02
)

// admit rejects a request that has just been queued and cannot be served in time.
func (s State) admit(r *QueuedRequest, now hoist.Millis, effects []Effect) (State, []Effect) {
	if _, ok := s.queued.Get(r.attempt()); !ok || !managed(s.policy) || now < s.grantsPausedUntil {
		return s, effects
	}
	if r.ask.Hedge() {
		return s.reject(r, value.RefusalReasonLate, s.retryAfter(r, now), effects)
	}
	if r.retried() || r.class.FirstTokenMs() == 0 {
		return s, effects
	}
	slack := s.deadline(r) - now
	if s.expectedWait(r, now) <= slack || s.coveredByFloor(r) {
		return s, effects
	}
	if next, effects, ok := s.preemptFor(r, now, effects); ok {
		return next, effects
	}
	if r.class.Batch() {
		return s, effects
	}
	return s.reject(r, value.RefusalReasonLate, clampRetryAfter(s.expectedWait(r, now)-max(0, slack)), effects)
}

// coveredByFloor reports whether the deficit of the class covers the request and those queued before it.
func (s State) coveredByFloor(r *QueuedRequest) bool {
	i, ok := s.classIndex[r.ask.Class()]
	if !ok {
		return false
	}
	cs := s.classStates[i]
	return cs.deficitAt(s.totalTokens) >= int64(cs.queuedCount()-1)*cs.grantCost()
}

// expectedWait returns the expected time until the request gets a slot.
func (s State) expectedWait(r *QueuedRequest, now hoist.Millis) hoist.Millis {
	return s.drainTime(max(0, s.countAhead(r)-s.pendingPreemptions)+1, r.class.Rank, now)
}

// retryAfter returns the time after which a new request of the same class can probably be served in time.
func (s State) retryAfter(r *QueuedRequest, now hoist.Millis) hoist.Millis {
	return clampRetryAfter(s.expectedWait(r, now))
}

// clampRetryAfter limits a retry after to its bounds.
func clampRetryAfter(t hoist.Millis) hoist.Millis { return min(max(t, minRetryAfter), maxRetryAfter) }

// drainTime returns the time in which the given number of requests of the tier get a slot, given the demand of the
// tiers above it.
func (s State) drainTime(requests int, rank int32, now hoist.Millis) hoist.Millis {
	rate := s.slotRate.observe(s.running.Len(), 0, now).rate(s.occupiedSlots())
	available := rate
	for _, cs := range s.classStates {
		if cs.class.Rank < rank {
			available -= cs.rate(now)
		}
	}
	available = max(available, rate*minDrainShare)
	if available <= 0 {
		return maxRetryAfter
	}
	return hoist.Millis(min(math.Round(float64(requests)/available), float64(maxRetryAfter)))
}

// occupiedSlots returns the slots that become free over time: those of the shard's own attempts and, where engines
// report more work, those of other users. It is at least 1, because a request waits only while a slot is in use.
func (s State) occupiedSlots() int {
	slots := 0
	for x := range s.table.Servers().All() {
		if x.Status() == place.StatusReady {
			slots += int(x.Slots())
		}
	}
	return max(1, s.running.Len(), slots-int(s.table.FreeSlots()))
}

// countAhead returns the number of requests that are served before the request.
func (s State) countAhead(r *QueuedRequest) int {
	n := 0
	for _, cs := range s.classStates {
		for k, q := range cs.queues {
			switch {
			case q.Len() == 0 || cs.class.Rank > r.class.Rank:
			case cs.class.Rank < r.class.Rank:
				n += q.Len()
			default:
				oldest := q.First()
				n += q.CountUntil(r.targetTime() - (oldest.targetTime() - oldest.since))
				if queueKind(k) == r.queue() && cs.class.Name() == r.class.Name() {
					n--
				}
			}
		}
	}
	return max(0, n)
}

// shed rejects the newest requests of the lowest tier until the queue is within its limit.
//
// Requests that have not run are shed before those that may have run, because rejecting the latter
// interrupts a response that the caller already reads, or leaves its outcome unknown.
func (s State) shed(now hoist.Millis, effects []Effect) (State, []Effect) {
	for s.queued.Len() > s.queueLimit() {
		r := s.shedCandidate()
		s.checkShed(r)
		s, effects = s.reject(r, value.RefusalReasonShed, s.retryAfter(r, now), effects)
	}
	return s, effects
}

// shedCandidate returns the newest request of the lowest tier that is queued.
func (s State) shedCandidate() *QueuedRequest {
	var found *QueuedRequest
	for i := len(s.classStates) - 1; i >= 0; i-- {
		cs := s.classStates[i]
		if found != nil && cs.class.Rank < s.classStates[i+1].class.Rank {
			break
		}
		for _, q := range cs.queues {
			if q.Len() > 0 && (found == nil || shedBefore(q.Last(), found)) {
				found = q.Last()
			}
		}
	}
	return found
}

// shedBefore reports whether a is shed before b in the same tier.
func shedBefore(a, b *QueuedRequest) bool {
	if a.retried() != b.retried() {
		return !a.retried()
	}
	return b.queuedBefore(a)
}

// expire rejects the requests whose deadline has been reached.
func (s State) expire(now hoist.Millis, effects []Effect) (State, []Effect) {
	for i := range s.classStates {
		for k := range s.classStates[i].queues {
			for s.classStates[i].queues[k].Len() > 0 {
				r := s.classStates[i].queues[k].First()
				if s.deadline(r) > now {
					break
				}
				reason := value.RefusalReasonLate
				if now >= r.since+maxWait(r.class) {
					reason = value.RefusalReasonTimeout
				}
				s, effects = s.reject(r, reason, s.retryAfter(r, now), effects)
			}
		}
	}
	return s, effects
}
