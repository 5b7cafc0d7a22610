package assign

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// Load returns the load of the shard as its owner knows it.
func (s State) Load(now hoist.Millis) value.ShardLoad {
	var servers int32
	var pending float64
	rate := s.promptRate()
	for x := range s.servers.All() {
		if !x.serves(value.List[string]{}) {
			continue
		}
		servers++
		pending += x.model.factor(rate) * x.slowness(now) * float64(x.pendingTokens()) / rate
	}
	return value.ShardLoad{}.WithServers(servers).WithPendingMs(pending / float64(max(servers, 1))).WithWaiting(int32(s.waiting.Len()))
}

// ReadingMs returns the time in which an engine computes prompt tokens, in milliseconds.
func ReadingMs(tokens int32) float64 { return float64(max(tokens, 0)) / prefillTokensPerMs }

// RereadingMs returns the cost of computing prompt tokens that another server has cached, in milliseconds, as the choice of a
// server weighs it.
func RereadingMs(tokens int32) float64 { return recomputeWeight * ReadingMs(tokens) }
