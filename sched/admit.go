package sched

import (
	"math"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/place"
	"chicoryhoist.example/hoist/value"
)

const (
	// minRetry is the shortest retry-after; an earlier retry would meet the same queue.
	minRetry hoist.Millis = 50
	// maxRetry is the longest retry-after; no estimate of the backlog holds for longer.
	maxRetry = 60 * hoist.Second
	// minDrain is the share of the slots that become free which a low tier counts on, even
	// while higher tiers ask for all of them, because their demand varies within seconds.
	minDrain = 0.02
)

// admit refuses a request that has just joined the queue and cannot be served in time.
func (s State) admit(w *QueuedRequest, now hoist.Millis, effects []Effect) (State, []Effect) {
	if _, ok := s.waits.Get(w.attempt()); !ok || !managed(s.policy) || now < s.quiet {
		return s, effects
	}
	if w.ask.Hedge() {
		return s.refuse(w, value.RefusalReasonLate, s.retry(w, now), effects)
	}
	if w.retried() || w.class.FirstTokenMs() == 0 {
		return s, effects
	}
	slack := s.deadline(w) - now
	if s.estimate(w, now) <= slack || s.promised(w) {
		return s, effects
	}
	if next, effects, ok := s.relieve(w, now, effects); ok {
		return next, effects
	}
	if w.class.Batch() {
		return s, effects
	}
	return s.refuse(w, value.RefusalReasonLate, clamp(s.estimate(w, now)-max(0, slack)), effects)
}

// promised reports whether the floor of the class covers the request and those before it.
func (s State) promised(w *QueuedRequest) bool {
	i, ok := s.classes[w.ask.Class()]
	if !ok {
		return false
	}
	l := s.ledgers[i]
	return l.balance(s.total) >= int64(l.waiting()-1)*l.cost()
}

// estimate returns the expected time until the request gets a slot.
func (s State) estimate(w *QueuedRequest, now hoist.Millis) hoist.Millis {
	return s.drain(max(0, s.ahead(w)-s.freeing)+1, w.class.Rank, now)
}

// retry returns the time after which a new request of the same class is likely to be served in time.
func (s State) retry(w *QueuedRequest, now hoist.Millis) hoist.Millis {
	return clamp(s.estimate(w, now))
}

// clamp returns the time within the bounds of a retry-after.
func clamp(t hoist.Millis) hoist.Millis { return min(max(t, minRetry), maxRetry) }

// drain returns the time in which so many requests of the tier get a slot, given the demand of the tiers above it.
func (s State) drain(n int, rank int32, now hoist.Millis) hoist.Millis {
	rate := s.pace.with(s.jobs.Len(), 0, now).rate(s.occupied())
	left := rate
	for _, l := range s.ledgers {
		if l.class.Rank < rank {
			left -= l.rate(now)
		}
	}
	left = max(left, rate*minDrain)
	if left <= 0 {
		return maxRetry
	}
	return hoist.Millis(min(math.Round(float64(n)/left), float64(maxRetry)))
}

// occupied returns the slots that become free in time: those of the shard's own attempts and, where engines
// report more work, those that others use. A request waits only while at least one slot is taken.
func (s State) occupied() int {
	slots := 0
	for x := range s.table.Servers().All() {
		if x.Status() == place.StatusReady {
			slots += int(x.Slots())
		}
	}
	return max(1, s.jobs.Len(), slots-int(s.table.FreeSlots()))
}

// ahead returns the number of requests that go before the request.
func (s State) ahead(w *QueuedRequest) int {
	n := 0
	for _, l := range s.ledgers {
		for k, x := range l.lanes {
			switch {
			case x.Len() == 0 || l.class.Rank > w.class.Rank:
			case l.class.Rank < w.class.Rank:
				n += x.Len()
			default:
				head := x.First()
				n += x.CountUntil(w.due() - (head.due() - head.since))
				if laneKind(k) == w.kind() && l.class.Name() == w.class.Name() {
					n--
				}
			}
		}
	}
	return max(0, n)
}

// shed refuses the newest request of the lowest tier while the queue is too long.
//
// Requests that have not run go before those that may have, because a refusal of the
// latter cuts an answer that the caller already reads, or leaves its outcome unknown.
func (s State) shed(now hoist.Millis, effects []Effect) (State, []Effect) {
	for s.waits.Len() > s.queueLimit() {
		w := s.newest()
		s.checkShed(w)
		s, effects = s.refuse(w, value.RefusalReasonShed, s.retry(w, now), effects)
	}
	return s, effects
}

// newest returns the newest request of the lowest tier that waits.
func (s State) newest() *QueuedRequest {
	var found *QueuedRequest
	for i := len(s.ledgers) - 1; i >= 0; i-- {
		l := s.ledgers[i]
		if found != nil && l.class.Rank < s.ledgers[i+1].class.Rank {
			break
		}
		for _, x := range l.lanes {
			if x.Len() > 0 && (found == nil || newer(x.Last(), found)) {
				found = x.Last()
			}
		}
	}
	return found
}

// newer reports whether v is shed before w in the same tier.
func newer(v, w *QueuedRequest) bool {
	if v.retried() != w.retried() {
		return !v.retried()
	}
	return w.older(v)
}

// expire refuses the requests whose deadline has come.
func (s State) expire(now hoist.Millis, effects []Effect) (State, []Effect) {
	for i := range s.ledgers {
		for k := range s.ledgers[i].lanes {
			for s.ledgers[i].lanes[k].Len() > 0 {
				w := s.ledgers[i].lanes[k].First()
				if s.deadline(w) > now {
					break
				}
				reason := value.RefusalReasonLate
				if now >= w.since+maxWait(w.class) {
					reason = value.RefusalReasonTimeout
				}
				s, effects = s.refuse(w, reason, s.retry(w, now), effects)
			}
		}
	}
	return s, effects
}
