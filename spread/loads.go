package spread

import (
	"maps"
	"math"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// decayTime is the time constant with which the difference of a load from the mean decays with age. In the tests, 1 s
	// forgets the load of slow servers between the few answers that one of 200 instances gets, and 8 s leaves more late
	// than 4 s under a demand that swings with a period of 11 s.
	decayTime = 4 * hoist.Second
	// maxAge is the age after which a report is not used at all.
	maxAge = 10 * hoist.Second
	// maxPendingMs bounds what a report says, so that a false one cannot dominate the mean of all shards.
	maxPendingMs = 10_000
	// waitingMs is the time that a server needs for one request that waits at the owner.
	waitingMs = 60
	// maxPlacements bounds the own placements that are kept for a shard. Further ones are added to the last.
	maxPlacements = 16
)

// placement is work that this instance has sent to a shard.
type placement struct {
	at hoist.Millis
	// ms is the time that the work takes, divided by the servers of the shard.
	ms float64
}

// report is what is known of the load of one shard.
type report struct {
	// pendingMs is the time that a server of the shard needs, in the mean, for what it has yet to do.
	pendingMs float64
	servers   int32
	// at is a time at which or after which the owner stated the load.
	at hoist.Millis
	// placed holds the own placements after that time.
	placed value.List[placement]
}

// Loads is the immutable table of what one instance knows of the load of shards; its zero value is empty.
type Loads struct {
	reports map[string]report
}

// with returns a copy with the report of the shard.
func (l Loads) with(shard string, r report) Loads {
	next := maps.Clone(l.reports)
	if next == nil {
		next = map[string]report{}
	}
	next[shard] = r
	return Loads{next}
}

// WithReport returns a copy with a load that the owner of the shard has stated at the time or after it: the time at which
// the request was sent that it answers. A report that is not newer than the known one changes nothing, so that doubled
// reports and those out of order have no effect.
func (l Loads) WithReport(shard string, x value.ShardLoad, at hoist.Millis) Loads {
	old, known := l.reports[shard]
	if x.Servers() <= 0 || known && at <= old.at {
		return l
	}
	r := report{servers: x.Servers(), at: at}
	r.pendingMs = bounded(bounded(x.PendingMs()) + waitingMs*float64(max(x.Waiting(), 0))/float64(x.Servers()))
	for p := range old.placed.All() {
		if p.at > at {
			r.placed = r.placed.Append(p)
		}
	}
	return l.with(shard, r)
}

// bounded returns the load limited to what a report may say; a load that is no number counts as none.
func bounded(ms float64) float64 {
	if math.IsNaN(ms) {
		return 0
	}
	return max(0, min(ms, maxPendingMs))
}

// WithPlacement returns a copy that counts a request sent to the shard, which takes the time at one server. It changes
// nothing as long as nothing is known of the shard.
func (l Loads) WithPlacement(shard string, ms float64, now hoist.Millis) Loads {
	r, known := l.reports[shard]
	if !known {
		return l
	}
	p := placement{now, bounded(ms) / float64(r.servers)}
	if n := r.placed.Len(); n >= maxPlacements {
		p.ms += r.placed.At(n - 1).ms
		r.placed = r.placed.With(n-1, p)
	} else {
		r.placed = r.placed.Append(p)
	}
	return l.with(shard, r)
}

// Retained returns a copy with only the shards for which keep returns true.
func (l Loads) Retained(keep func(shard string) bool) Loads {
	next := maps.Clone(l.reports)
	maps.DeleteFunc(next, func(s string, _ report) bool { return !keep(s) })
	return Loads{next}
}

// Known is the load of one shard as far as it is known.
type Known struct {
	// PendingMs is the expected time that a server of the shard needs, in the mean, for what it has yet to do.
	PendingMs float64
	// Age is the age of the report, and Reported is unset if there is none.
	Age      hoist.Millis
	Reported bool
}

// Estimate returns what is known of the load of each shard: as reported, with the own placements since then, and closer to
// the mean of all the older the report is. A shard without a report counts as the mean.
func (l Loads) Estimate(shards []Shard, now hoist.Millis) []Known {
	known := make([]Known, len(shards))
	var sum, weight float64
	for i, x := range shards {
		r, ok := l.reports[x.Name]
		if !ok || now-r.at > maxAge {
			continue
		}
		k := Known{PendingMs: r.pendingMs, Age: max(now-r.at, 0), Reported: true}
		for p := range r.placed.All() {
			k.PendingMs += p.ms
		}
		known[i] = k
		sum += k.PendingMs * float64(x.Servers)
		weight += float64(x.Servers)
	}
	if weight == 0 {
		return known
	}
	mean := sum / weight
	for i, k := range known {
		if !k.Reported {
			known[i].PendingMs = mean
			continue
		}
		known[i].PendingMs = mean + (k.PendingMs-mean)*math.Exp(-float64(k.Age)/float64(decayTime))
	}
	return known
}

// Imbalance returns the ratio of the largest known load of a shard to the mean, or 1 if none of them is loaded.
func (l Loads) Imbalance(shards []Shard, now hoist.Millis) float64 {
	var largest, sum, weight float64
	for i, k := range l.Estimate(shards, now) {
		largest = max(largest, k.PendingMs)
		sum += k.PendingMs * float64(shards[i].Servers)
		weight += float64(shards[i].Servers)
	}
	if sum <= 0 {
		return 1
	}
	return largest * weight / sum
}
