package assign

import (
	"math"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// choose returns the index of the server that serves the request best now and what the choice rests on;
// the index is -1 when the request must wait.
func (s State) choose(w value.Work, now hoist.Millis) (int, Estimate) {
	best, basis, lowest := -1, Estimate{}, math.Inf(1)
	for shunned := range 2 {
		for i := range s.servers.Len() {
			x := s.servers.At(i)
			if x.entry.Leaving() || avoided(w, x.entry.Id()) || (x.shunned > now) != (shunned == 1) {
				continue
			}
			if !admits(x, w) {
				continue
			}
			fresh, waste := s.uncached(w, x, now)
			if c := cost(x, w, fresh, waste, now); c < lowest {
				best, basis, lowest = i, Estimate{UncachedTokens: fresh, PendingTokens: x.unread(), Running: x.runs.Len()}, c
			}
		}
		if best >= 0 {
			break
		}
	}
	return best, basis
}

// avoided reports whether the request must not go to the server again.
func avoided(w value.Work, id string) bool {
	for a := range w.Avoid().All() {
		if a == id {
			return true
		}
	}
	return false
}

// uncached returns the prompt tokens that the server must compute, and the part of them that counts as computed in vain.
func (s State) uncached(w value.Work, x server, now hoist.Millis) (fresh, waste int32) {
	cached := true
	last := w.Parts().Len() - 1
	for i := range w.Parts().Len() {
		p := w.Parts().At(i)
		if i == last {
			return fresh + p.Tokens(), waste
		}
		h := s.parts.presence(p.Id(), x.entry.Id(), now)
		if cached = cached && h.here; cached {
			continue
		}
		fresh += p.Tokens()
		if h.wasted(now) {
			waste += p.Tokens()
		}
	}
	return fresh, waste
}

// cost returns what it costs to run the request at the server, in milliseconds.
func cost(x server, w value.Work, fresh, waste int32, now hoist.Millis) float64 {
	c := float64(x.runs.Len())
	slow := x.slowness(now)
	if w.Parts().Len() == 0 {
		c = plainCost * (c + 1) / float64(max(x.entry.Slots(), 1)) * slow
	} else {
		c = slow*((x.ahead(w.Rank())+recentWeight*x.recent(now)+float64(fresh))/readRate+c*runCost) + wasteWeight*float64(waste)/readRate
		c += pauseWeight * float64(x.urgent(w.Rank())) * float64(fresh) / readRate
	}
	if over := x.runs.Len() + 1 - int(x.entry.Slots()); over > 0 && x.entry.Slots() > 0 {
		c += float64(over) * slotCost
	}
	if x.entry.Datacentre() != w.Datacentre() {
		c += remoteCost
	}
	return c + float64(x.entry.ColdMs()>>coldShift)
}
