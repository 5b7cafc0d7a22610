package spread

import "chicoryhoist.example/hoist"

const (
	// settleTime is the time in which a difference of load is to disappear. If all instances know the same loads, they
	// together move the share difference/settleTime of the requests, and not all at once. In the models of the tests, 250 and
	// 500 ms leave the fewest requests late, and 2,000 ms leave a shard of slow servers overloaded.
	settleTime = 500 * hoist.Millis(1)
	// maxMoved bounds the share of the requests of a shard that leave it, also if its load or that of the other is
	// reported falsely.
	maxMoved = 0.5
)

// Request is what the choice of a shard depends on, apart from the shards.
type Request struct {
	// Key is a hash of the prompt part whose servers should run the request.
	Key uint64
	// RereadMs is the cost of reading the shared prompt parts of the request again at a server of another shard.
	RereadMs float64
	// Draw is a random number from 0 to 1, exclusive.
	Draw float64
}

// Choice is the shard chosen for a request, and what the choice was based on.
type Choice struct {
	// Index is the index of the shard, or -1 if no shard has a server.
	Index int
	// Moved is set if the request leaves the first shard of its key.
	Moved bool
	// ExcessMs is the expected waiting time at the first shard beyond that at the second.
	ExcessMs float64
	// Age is the age of the older report of the two; it is valid if Reported is set.
	Age      hoist.Millis
	Reported bool
}

// Choose returns the shard of the request: the first one of its key, or the second one if the first is known to have so
// much more to do that it pays to read the shared prompt parts there again. There is only one second shard for each key,
// so that the parts are cached in two shards at most.
func (l Loads) Choose(shards []Shard, q Request, now hoist.Millis) Choice {
	first, second := Rank(shards, q.Key)
	if second < 0 {
		return Choice{Index: first}
	}
	known := l.Estimate(shards, now)
	a, b := known[first], known[second]
	c := Choice{Index: first, ExcessMs: a.PendingMs - b.PendingMs, Age: max(a.Age, b.Age), Reported: a.Reported && b.Reported}
	if q.Draw < moveShare(c.ExcessMs-q.RereadMs) {
		c.Index, c.Moved = second, true
	}
	return c
}

// moveShare returns the share of the requests that leave a shard whose load exceeds that of another by more than the cost
// of leaving it.
func moveShare(gainMs float64) float64 { return max(0, min(gainMs/float64(settleTime), maxMoved)) }
