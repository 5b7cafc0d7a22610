package assign

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// choose returns the index of the server that serves the request best now and what the choice rests on;
// the index is -1 when the request must wait.
func (s State) choose(w value.Work, now hoist.Millis) (int, Basis) {
	best, basis := -1, Basis{Cost: math.Inf(1)}
	for shunned := range 2 {
		for i := range s.servers.Len() {
			x := s.servers.At(i)
			if x.entry.Leaving() || avoided(w, x.entry.Id()) || (x.shunned > now) != (shunned == 1) {
				continue
			}
			if !s.rules.admits(x, w, now) {
				continue
			}
			n := s.uncached(w, x)
			if c := s.cost(x, w, n, now); c < basis.Cost {
				best, basis = i, Basis{Fresh: n, Unread: x.unread(), Running: x.runs.Len(), Cost: c}
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

// uncached returns the prompt tokens that the server must compute: all but the shared parts that are at home there.
func (s State) uncached(w value.Work, x server) int32 {
	var total, shared int32
	for p := range w.Parts().All() {
		total += p.Tokens()
	}
	last := w.Parts().Len() - 1
	if last < 1 {
		return total
	}
	for i := range last {
		shared += w.Parts().At(i).Tokens()
	}
	if s.home(w.Parts().At(last-1).Id()) == x.entry.Id() {
		return total - shared
	}
	return total
}

// home returns the server that every instance prefers for a prompt part, by rendezvous hashing.
func (s State) home(part uint64) string {
	var best string
	var highest uint64
	for x := range s.servers.All() {
		if x.entry.Leaving() {
			continue
		}
		if h := weigh(part, x.entry.Id()); best == "" || h > highest {
			best, highest = x.entry.Id(), h
		}
	}
	return best
}

// weigh returns the weight of a server for a part.
func weigh(part uint64, id string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(part)
	_, _ = d.WriteString(id) // Never fails.
	return d.Sum64()
}

// cost returns what it costs to run the request at the server, in milliseconds.
func (s State) cost(x server, w value.Work, fresh int32, now hoist.Millis) float64 {
	c := float64(x.runs.Len())
	slots := float64(max(x.entry.Slots(), 1))
	slow := x.slowness(now)
	if w.Parts().Len() == 0 {
		c = plainCost * (c + 1) / slots * slow
	} else {
		c = slow*(float64(x.unread())/readRate+c*runCost) + freshWeight*float64(fresh)/readRate
	}
	if x.entry.Datacentre() != s.datacentre {
		c += remoteCost
	}
	return c + float64(x.entry.ColdMs()>>coldShift)
}
