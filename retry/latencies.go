package retry

import (
	"maps"
	"slices"

	"chicoryhoist.example/hoist"
)

const (
	// window is the number of recent first tokens that a percentile is taken from: enough for the 95th, few enough to follow a change within seconds.
	window = 128
	// minWindow is the number of first tokens before a percentile means anything.
	minWindow = 20
	// pairMax bounds the measured pairs of class and pool; the one unused for longest is forgotten.
	pairMax = 256
)

// pair is what first-token times are measured for.
type pair struct{ class, pool string }

// recent holds the last first-token times of a pair.
type recent struct {
	times [window]int32
	count int64
	used  int64
}

// Latencies are the recent first-token times by class and pool; the zero value is empty.
type Latencies struct {
	pairs map[pair]*recent
	clock int64
}

// With returns the delays after one more first token.
func (d Latencies) With(class, pool string, elapsed hoist.Millis) Latencies {
	k := pair{class, pool}
	r := recent{}
	if old, ok := d.pairs[k]; ok {
		r = *old
	}
	d.clock++
	r.times[r.count%window] = int32(min(max(elapsed, 0), hoist.Minute))
	r.count++
	r.used = d.clock
	pairs := maps.Clone(d.pairs)
	if pairs == nil {
		pairs = map[pair]*recent{}
	}
	if _, ok := pairs[k]; !ok && len(pairs) >= pairMax {
		delete(pairs, oldest(pairs))
	}
	pairs[k] = &r
	d.pairs = pairs
	return d
}

// oldest returns the pair that was used least recently.
func oldest(pairs map[pair]*recent) pair {
	var worst pair
	at := int64(-1)
	for k, r := range pairs {
		if at < 0 || r.used < at {
			worst, at = k, r.used
		}
	}
	return worst
}

// Percentile returns the first-token time that the share of recent ones, in thousandths, does not exceed; false without enough of them.
func (d Latencies) Percentile(class, pool string, permille int32) (hoist.Millis, bool) {
	r, ok := d.pairs[pair{class, pool}]
	if !ok || r.count < minWindow {
		return 0, false
	}
	times := r.times
	n := int(min(r.count, window))
	slices.Sort(times[:n])
	rank := (n*int(permille) + 999) / 1000
	return hoist.Millis(times[min(max(rank, 1), n)-1]), true
}
