package assign

import (
	"math"
	"math/bits"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// returnDivisor divides the time that a refused caller has left: callers wait at most a third of it.
	returnDivisor = 3
	// returnSpread is the part of the longest delay over which callers that are refused at the same moment are spread, and
	// minReturnPart the part that is the shortest delay.
	returnSpread  = 16
	minReturnPart = 4
	// returnGrace is the time after its return time for which a refused caller keeps its place.
	returnGrace = 500 * hoist.Millis(1)
	// promisedDivisor divides the time left to the longest time that counts as taken by callers who are about to return: they
	// may not come, and engines would be idle meanwhile.
	promisedDivisor = 4
	// maxPromises bounds the callers that keep their places.
	maxPromises = 128
	// shareTimeDivisor divides the time left: where the first event is expected later than that, a workspace far above its
	// share is refused.
	shareTimeDivisor = 4
	// allowanceInterval is the time in which at least one request of each kind passes, whatever is expected of it, and at
	// least one of each workspace above its share. A wrong estimate is corrected only by requests that run.
	allowanceInterval = hoist.Second
	// maxAllowances bounds the kinds and workspaces that use their allowance at once.
	maxAllowances = 64
	// rankHold is the time for which a refusal by share holds back lower ranks.
	rankHold = 200 * hoist.Millis(1)
)

// RefusalInputs are what an early refusal was based on.
type RefusalInputs struct {
	// Expected is the time to the first event at the best server, and Left the time to the deadline of the request.
	Expected, Left hoist.Millis
	// Rate is the learned rate of the shard, in prompt tokens per millisecond.
	Rate float64
	// Taken and Slots are the running requests and the slots of the servers of the shard. Waiting is the number of requests
	// that wait here or, by recent reports, at the servers.
	Taken, Slots, Waiting int
	// Excess is the multiple of its share that the workspace has sent lately.
	Excess float64
	// Rank and Workspace are those of the request.
	Rank      int32
	Workspace string
}

// promise is the return time of a refused request, which keeps its place in the order of the first requests of callers.
type promise struct {
	id, fingerprint uint64
	rank            int32
	tokens          float64
	// asked is the time of the first request, due the return time before it is spread, and at the return time.
	asked, due, at hoist.Millis
	reason         Reason
	inputs         RefusalInputs
}

// allowanceKey identifies the requests that share an allowance: those of a rank and a size, or those of a rank and a
// workspace above its share.
type allowanceKey struct {
	rank      int32
	size      int
	workspace string
}

// allowance is the time at which a request passed by allowance.
type allowance struct {
	key allowanceKey
	at  hoist.Millis
}

// refusals is an immutable record of the early refusals of a state. The zero value is empty.
type refusals struct {
	usages     usages
	promises   value.List[promise]
	allowances value.List[allowance]
	// heldRank is the rank that was last refused by share, at heldAt.
	heldRank int32
	heldAt   hoist.Millis
}

// refuseEarly returns the refusal of a new request that no server can begin in time, or that has to give way to others, as
// one effect. Requests that have been at a server are not refused early, because their refusal might not be one of a request
// that has not run.
func (s State) refuseEarly(w value.Work, now hoist.Millis) (State, []Effect) {
	if !s.rules.Engines || !s.rules.Owner || w.Parts().Len() == 0 || w.Retry() || w.Avoid().Len() > 0 {
		return s, nil
	}
	for p := range s.refusals.promises.All() {
		// The instance asks again if the answer was lost.
		if p.id == w.Id() {
			return s, []Effect{p.effect(w, now)}
		}
	}
	s.refusals.usages = s.refusals.usages.with(w, now)
	asked, s := s.takePlace(w, now)
	in, uncached, known := s.refusalInputs(w, asked, now)
	if !known || 2*in.Taken < in.Slots && in.Waiting == 0 {
		return s, nil
	}
	reason, refused := s.refusalReason(w, in, now)
	if !refused {
		return s, nil
	}
	if s, refused = s.withoutAllowance(w, reason, now); !refused {
		return s, nil
	}
	if reason == OverShare {
		s.refusals = s.refusals.withHeld(w.Rank(), now)
	}
	p := s.promised(w, in, uncached, now)
	p.asked, p.reason, p.inputs = asked, reason, in
	if s.refusals.promises.Len() < maxPromises {
		s.refusals.promises = s.refusals.promises.Append(p)
	}
	return s, []Effect{p.effect(w, now)}
}

// holds reports whether the rank has to give way to a higher one.
func (r refusals) holds(rank int32, now hoist.Millis) bool {
	return r.heldAt > 0 && now-r.heldAt < rankHold && rank > r.heldRank
}

// withHeld returns a copy in which a request of the rank was refused by share.
func (r refusals) withHeld(rank int32, now hoist.Millis) refusals {
	if !r.holds(rank, now) {
		r.heldRank, r.heldAt = rank, now
	}
	return r
}

// effect returns the refusal of the request.
func (p promise) effect(w value.Work, now hoist.Millis) Effect {
	return Refuse{ID: w.Id(), Origin: w.Origin(), After: max(p.at-now, 1), Reason: p.reason, Inputs: p.inputs}
}

// takePlace returns the time at which the caller of the request first asked, and a copy without the promise to it and
// without those whose callers have not come back.
func (s State) takePlace(w value.Work, now hoist.Millis) (hoist.Millis, State) {
	asked, dropped := hoist.Millis(w.ArrivedMs()), 0
	for i := range s.refusals.promises.Len() {
		switch p := s.refusals.promises.At(i); {
		case p.isTo(w):
			asked = min(asked, p.asked)
			dropped++
		case p.at+returnGrace <= now:
			dropped++
		}
	}
	// Most requests drop no promise, and copying the list takes longer than looking through it.
	if dropped == 0 {
		return asked, s
	}
	kept := make([]promise, 0, s.refusals.promises.Len()-dropped)
	for p := range s.refusals.promises.All() {
		if !p.isTo(w) && p.at+returnGrace > now {
			kept = append(kept, p)
		}
	}
	s.refusals.promises = value.ListOf(kept...)
	return asked, s
}

// isTo reports whether the promise was given to the caller of the request.
func (p promise) isTo(w value.Work) bool {
	return w.Fingerprint() != 0 && p.fingerprint == w.Fingerprint()
}

// refusalInputs returns what a refusal of the request would be based on, and the uncached tokens at the best server. It
// returns false if no server is known that may run the request.
func (s State) refusalInputs(w value.Work, asked, now hoist.Millis) (in RefusalInputs, uncached int32, known bool) {
	in = RefusalInputs{Left: hoist.Millis(w.EndMs()) - now, Waiting: s.waiting.Len(), Rank: w.Rank(), Workspace: w.Workspace()}
	usable, regions := 0, w.Regions()
	for i := range s.servers.Len() {
		x := s.servers.At(i)
		// A request that is refused early avoids no server.
		if !x.serves(regions) {
			continue
		}
		usable++
		in.Taken += x.runs.Len()
		in.Slots += int(x.entry.Slots())
		in.Waiting += x.waitingRequests(now)
	}
	// Requests that fit are not refused, so the search of the best server is left out.
	if 2*in.Taken < in.Slots && in.Waiting == 0 {
		return in, 0, true
	}
	in.Rate = s.promptRate()
	best := math.Inf(1)
	for pass := range 2 {
		for x := range s.servers.All() {
			if (x.backoffUntil > now) != (pass == 1) || !availableBefore(x, w, hoist.Millis(w.EndMs())) {
				continue
			}
			n, _ := s.uncached(w, x, now)
			if t := s.timeToFirst(x, w, n, in.Rate, now); t < best {
				best, uncached, known = t, n, true
			}
		}
		if known {
			break
		}
	}
	if !known {
		return in, 0, false
	}
	promised := s.promisedTokens(w.Rank(), asked) / (in.Rate * float64(usable))
	best += min(promised, float64(max(in.Left, 0))/promisedDivisor)
	in.Expected = hoist.Millis(min(best, float64(hoist.Minute)))
	in.Excess = s.refusals.usages.excess(w, now)
	return in, uncached, true
}

// waitingRequests returns the number of requests that wait at the server: by its last report if that is recent, or those
// beyond its slots.
func (s server) waitingRequests(now hoist.Millis) int {
	beyond := 0
	if s.entry.Slots() > 0 {
		beyond = max(s.runs.Len()-int(s.entry.Slots()), 0)
	}
	if s.loadAt > 0 && now-s.loadAt <= loadReportTTL {
		return max(beyond, int(s.load.Waiting()))
	}
	return beyond
}

// timeToFirst returns the expected time to the first event of the request at the server, in milliseconds.
func (s State) timeToFirst(x server, w value.Work, uncached int32, rate float64, now hoist.Millis) float64 {
	f := x.model.factor(rate)
	t := f * s.delay(w.Rank()) * x.slowness(now) * (x.tokensAhead(w.Rank()) + float64(uncached)) / rate
	if excess := x.runs.Len() + 1 - int(x.entry.Slots()); excess > 0 && x.entry.Slots() > 0 {
		t += f * float64(excess) * slotWaitMs
	}
	return t + float64(max(x.pausedUntil(w.Origin())-now, 0))
}

// promisedTokens returns the prompt tokens of refused callers that asked before the time and whose requests a request of the
// rank does not overtake.
func (s State) promisedTokens(rank int32, asked hoist.Millis) float64 {
	var n float64
	for p := range s.refusals.promises.All() {
		if p.rank <= rank && p.asked < asked {
			n += p.tokens
		}
	}
	return n
}

// refusalReason returns why the request has to be refused; it returns false if it has not.
//
// A higher rank counts less of the same load, so a request is never without time where one of a lower rank with the same
// prompt and deadline has enough. Where a workspace of a higher rank is refused by share, lower ranks have to wait too.
func (s State) refusalReason(w value.Work, in RefusalInputs, now hoist.Millis) (Reason, bool) {
	switch {
	case in.Expected > in.Left:
		return NoTime, true
	case in.Excess > shareExcess && in.Expected > in.Left/shareTimeDivisor:
		return OverShare, true
	case s.refusals.holds(w.Rank(), now):
		return HigherRank, true
	default:
		return 0, false
	}
}

// withoutAllowance returns false and a copy that has spent the allowance if the request passes by it.
func (s State) withoutAllowance(w value.Work, r Reason, now hoist.Millis) (State, bool) {
	key := allowanceKey{rank: w.Rank(), size: bits.Len64(uint64(promptTokens(w)))}
	if r == OverShare {
		key = allowanceKey{rank: w.Rank(), workspace: w.Workspace()}
	}
	var kept []allowance
	for a := range s.refusals.allowances.All() {
		if now-a.at >= allowanceInterval {
			continue
		}
		if a.key == key {
			return s, true
		}
		kept = append(kept, a)
	}
	if len(kept) >= maxAllowances {
		return s, true
	}
	s.refusals.allowances = value.ListOf(append(kept, allowance{key, now})...)
	return s, false
}

// promised returns the return time of the request: when the servers are expected to have worked off what is ahead of it and
// of the callers refused before, at most the time that a caller waits. Callers return in the order in which they were
// refused, apart from a spread by the hash of the request ID.
func (s State) promised(w value.Work, in RefusalInputs, uncached int32, now hoist.Millis) promise {
	limit := max(in.Left, 0) / returnDivisor
	own := float64(uncached) / in.Rate
	due := now + max(in.Expected-hoist.Millis(own), limit/minReturnPart)
	for p := range s.refusals.promises.All() {
		if p.rank == w.Rank() {
			due = max(due, p.due+hoist.Millis(own/float64(max(s.servers.Len(), 1))))
		}
	}
	due = min(due, now+limit)
	spread := hoist.Millis(PartHash(w.Id()) >> 32 % uint64(limit/returnSpread+1))
	return promise{id: w.Id(), fingerprint: w.Fingerprint(), rank: w.Rank(), tokens: float64(uncached), due: due, at: max(due-spread, now+1)}
}
