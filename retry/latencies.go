package retry

import (
	"maps"
	"slices"

	"chicoryhoist.example/hoist"
)

const (
	// windowSize is the number of recent first tokens that a percentile is computed from: enough for the 95th
	// percentile, few enough to follow a change within seconds.
	windowSize = 128
	// minSamples is the minimum number of first tokens for a meaningful percentile.
	minSamples = 20
	// maxPairs bounds the measured pairs of class and pool; beyond it the least recently used pair is removed.
	maxPairs = 256
)

// latencyKey is a pair of class and pool that first-token latencies are measured for.
type latencyKey struct{ class, pool string }

// samples holds the most recent first-token latencies of a pair in a ring buffer.
type samples struct {
	times   [windowSize]int32
	count   int64
	lastUse int64
}

// Latencies holds the recent first-token latencies by class and pool; the zero value is empty.
type Latencies struct {
	pairs map[latencyKey]*samples
	uses  int64
}

// With returns a copy with one more sample.
func (l Latencies) With(class, pool string, elapsed hoist.Millis) Latencies {
	k := latencyKey{class, pool}
	s := samples{}
	if old, ok := l.pairs[k]; ok {
		s = *old
	}
	l.uses++
	s.times[s.count%windowSize] = int32(min(max(elapsed, 0), hoist.Minute))
	s.count++
	s.lastUse = l.uses
	pairs := maps.Clone(l.pairs)
	if pairs == nil {
		pairs = map[latencyKey]*samples{}
	}
	if _, ok := pairs[k]; !ok && len(pairs) >= maxPairs {
		delete(pairs, leastRecentlyUsed(pairs))
	}
	pairs[k] = &s
	l.pairs = pairs
	return l
}

// leastRecentlyUsed returns the pair whose last sample is the oldest.
func leastRecentlyUsed(pairs map[latencyKey]*samples) latencyKey {
	var oldest latencyKey
	lastUse := int64(-1)
	for k, s := range pairs {
		if lastUse < 0 || s.lastUse < lastUse {
			oldest, lastUse = k, s.lastUse
		}
	}
	return oldest
}

// Percentile returns the percentile, in thousandths, of the recent first-token latencies, or false if there are too few samples.
func (l Latencies) Percentile(class, pool string, permille int32) (hoist.Millis, bool) {
	s, ok := l.pairs[latencyKey{class, pool}]
	if !ok || s.count < minSamples {
		return 0, false
	}
	times := s.times
	n := int(min(s.count, windowSize))
	slices.Sort(times[:n])
	rank := (n*int(permille) + 999) / 1000
	return hoist.Millis(times[min(max(rank, 1), n)-1]), true
}
