package assign

import (
	"math"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// choose returns the index of the server with the lowest cost for the request and the estimate behind the choice. The
// index is -1 if the request has to wait. The second pass considers the servers that are backed off, so they are used
// only if no other server can take the request.
func (s State) choose(w value.Work, now hoist.Millis) (int, Estimate) {
	if s.local {
		return s.chooseLocal(w, now)
	}
	best, estimate, lowestCost := -1, Estimate{}, math.Inf(1)
	rate := s.promptRate()
	for pass := range 2 {
		for i := range s.servers.Len() {
			x := s.servers.At(i)
			if (x.backoffUntil > now) != (pass == 1) || !available(x, w, s.coldLimits, now) {
				continue
			}
			uncached, recomputed := s.uncached(w, x, now)
			if c := cost(x, w, uncached, recomputed, s.scale(x, w, rate), now) + s.coldCost(x, now); c < lowestCost {
				best, estimate, lowestCost = i, Estimate{UncachedTokens: uncached, PendingTokens: x.pendingTokens(), Running: x.runs.Len()}, c
			}
		}
		if best >= 0 {
			break
		}
	}
	return best, estimate
}

// uncached returns the number of prompt tokens that the server has to compute, and how many of them count as
// recomputed because another server holds them in its cache.
func (s State) uncached(w value.Work, x server, now hoist.Millis) (uncached, recomputed int32) {
	prefixCached := true
	last := w.Parts().Len() - 1
	for i := range w.Parts().Len() {
		p := w.Parts().At(i)
		if i == last {
			return uncached + p.Tokens(), recomputed
		}
		c := s.cache.status(p.Id(), x.entry.Id(), now)
		if prefixCached = prefixCached && c.cached; prefixCached {
			continue
		}
		uncached += p.Tokens()
		if c.recomputes(now) {
			recomputed += p.Tokens()
		}
	}
	return uncached, recomputed
}

// cost returns the estimated cost of running the request at the server, in milliseconds, without that of its cold time.
func cost(x server, w value.Work, uncached, recomputed int32, scale costScale, now hoist.Millis) float64 {
	c := float64(x.runs.Len())
	slowness := x.slowness(now)
	if w.Parts().Len() == 0 {
		c = plainCostMs * (c + 1) / float64(max(x.entry.Slots(), 1)) * slowness
	} else {
		c = scale.factor*slowness*((x.tokensAhead(w.Rank())+assignedWeight*x.decayedTokens(now)+float64(uncached))/scale.rate+c*runCostMs) + recomputeWeight*float64(recomputed)/scale.rate
		c += (slowness - 1) * slowStreamMs
		c += streamPauseWeight * float64(x.higherRanked(w.Rank())) * float64(uncached) / scale.rate
	}
	if excess := x.runs.Len() + 1 - int(x.entry.Slots()); excess > 0 && x.entry.Slots() > 0 {
		c += float64(excess) * slotWaitMs * scale.factor
	}
	if x.entry.Datacentre() != w.Datacentre() {
		c += scale.remote
	}
	return c
}
