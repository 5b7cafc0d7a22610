// Package spread divides requests among the shards of a service by what is known of their load.
//
// The knowledge is old and incomplete: the owner of a shard states its load only in its answers. The decisions are pure
// functions of immutable values; the caller passes the time and the random numbers.
package spread

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Shard is a shard that may get a request.
type Shard struct {
	Name string
	// Servers is the number of its servers that get new requests.
	Servers int
}

// Rank returns the indices of the two shards with the greatest weighted rendezvous scores for the key, or -1 where there
// are fewer shards with servers. A shard is first for a share of the keys in proportion to its servers; if their number
// changes, only keys from or to this shard move.
func Rank(shards []Shard, key uint64) (first, second int) {
	first, second = -1, -1
	var highest, next float64
	for i, x := range shards {
		if x.Servers <= 0 {
			continue
		}
		switch s := score(x, key); {
		case first < 0 || s > highest:
			second, next = first, highest
			first, highest = i, s
		case second < 0 || s > next:
			second, next = i, s
		}
	}
	return first, second
}

// mantissaBits is the number of random bits that a float64 between 0 and 1 holds.
const mantissaBits = 53

// score returns the rendezvous score of the shard for the key. The negative logarithm of a uniform number is exponentially
// distributed; divided by the weight, the least one belongs to each shard in proportion to its weight.
func score(x Shard, key uint64) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], xxhash.Sum64String(x.Name))
	binary.LittleEndian.PutUint64(b[8:], key)
	uniform := (float64(xxhash.Sum64(b[:])>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -float64(x.Servers) / math.Log(uniform)
}
