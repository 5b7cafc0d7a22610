package assign

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// maxUnreported bounds the requests that an instance without an owner adds to a server between two of its reports. All
	// instances may add as many, so with more of them a server would be filled before one of them learns of it.
	maxUnreported = 2
	// maxUnanswered bounds the requests that wait for the first event of the server, also if it reports often: a server that
	// falsely reports to be idle gets no more.
	maxUnanswered = 3
	// reportedDecayTime is the time constant with which the work of other instances in a load report decays.
	reportedDecayTime = 1 * hoist.Second
)

// LocalPlacementChanged reports whether the state places only those requests of its own instance that reach no owner, for
// a service that is balanced by load. Such a state knows the requests of other instances only from the reports of servers.
type LocalPlacementChanged struct{ Local bool }

func (LocalPlacementChanged) isEvent() {}

// chooseLocal returns the better of two random servers by the expected end of the request, and the estimate behind the
// choice. The index is -1 if the request has to wait for a report. The choice among all servers would lead the instances,
// which know the same reports, to the same server.
func (s State) chooseLocal(w value.Work, now hoist.Millis) (int, Estimate) {
	rate := s.promptRate()
	for pass := range 2 {
		var candidates []int
		for i := range s.servers.Len() {
			x := s.servers.At(i)
			if (x.backoffUntil > now) == (pass == 1) && available(x, w, s.coldLimits, now) && x.hasLocalRoom() {
				candidates = append(candidates, i)
			}
		}
		if len(candidates) == 0 {
			continue
		}
		a, b := pair(len(candidates), w.Id())
		best, estimate, lowestCost := -1, Estimate{}, math.Inf(1)
		for _, i := range []int{candidates[a], candidates[b]} {
			x := s.servers.At(i)
			uncached, recomputed := s.uncached(w, x, now)
			if c := cost(x, w, uncached, recomputed, s.scale(x, w, rate), now) + s.coldCost(x, now) + x.othersMs(now); c < lowestCost {
				best, estimate, lowestCost = i, Estimate{UncachedTokens: uncached, PendingTokens: x.pendingTokens(), Running: x.runs.Len()}, c
			}
		}
		return best, estimate
	}
	return -1, Estimate{}
}

// pair returns two different indices below n, or twice the only one. The ID of the request takes the place of a random
// number, so that the decision depends on nothing but the state.
func pair(n int, id uint64) (int, int) {
	if n == 1 {
		return 0, 0
	}
	h := xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, id))
	a := int(h % uint64(n))
	return a, (a + 1 + int(h>>32%uint64(n-1))) % n
}

// hasLocalRoom reports whether this instance may place one more request at the server by itself. Requests count until the
// server has responded to them.
func (s server) hasLocalRoom() bool {
	unreported, unanswered := 0, 0
	for r := range s.runs.All() {
		if r.grantedBy != "" || r.responded {
			continue
		}
		unanswered++
		if r.placedAt >= s.loadAt {
			unreported++
		}
	}
	return unreported < maxUnreported && unanswered < maxUnanswered
}

// othersMs returns the time for which the server is expected to work for other instances, in milliseconds: for what it last
// reported beyond the requests of this instance.
func (s server) othersMs(now hoist.Millis) float64 {
	if s.loadAt == 0 {
		return 0
	}
	own := 0
	for r := range s.runs.All() {
		if r.placedAt < s.loadAt {
			own++
		}
	}
	others := max(int(s.load.Running())-own, 0)
	c := float64(others)*runCostMs + float64(max(s.load.Waiting(), 0))*slotWaitMs
	return c * s.slowness(now) * math.Exp(-float64(now-s.loadAt)/float64(reportedDecayTime))
}
