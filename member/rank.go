package member

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chicoryhoist.example/hoist/value"
)

// weight returns the rendezvous weight of a router for a key, given the hashes of their names.
func weight(router, key uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], router)
	binary.LittleEndian.PutUint64(b[8:], key)
	return xxhash.Sum64(b[:])
}

// candidate is a router with the hash of its name.
type candidate struct {
	hash   uint64
	member value.Member
}

// candidates returns the members with the hashes of their names.
func candidates(members []value.Member) []candidate {
	cs := make([]candidate, len(members))
	for i, m := range members {
		cs[i] = candidate{xxhash.Sum64String(m.Name()), m}
	}
	return cs
}

// heaviest returns the candidate with the greatest weight for the key, or false when there are no candidates.
func heaviest(cs []candidate, key string) (value.Member, bool) {
	h := xxhash.Sum64String(key)
	best := -1
	var maxWeight uint64
	for i, c := range cs {
		w := weight(c.hash, h)
		if best < 0 || w > maxWeight || (w == maxWeight && c.member.Name() < cs[best].member.Name()) {
			best, maxWeight = i, w
		}
	}
	if best < 0 {
		return value.Member{}, false
	}
	return cs[best].member, true
}

// capacityDivisor sets the lowest capacity relative to the greatest one. An instance below it gets no work for the fleet,
// because the traffic to a shard owner or store reader would fill a thin link.
const capacityDivisor = 2

// Capable returns the members that are not leaving and whose capacity suffices to work for the others.
func Capable(members []value.Member) []value.Member {
	var maxCapacity int64
	for _, m := range members {
		if !m.Leaving() {
			maxCapacity = max(maxCapacity, m.Capacity())
		}
	}
	var capable []value.Member
	for _, m := range members {
		if !m.Leaving() && m.Capacity()*capacityDivisor >= maxCapacity {
			capable = append(capable, m)
		}
	}
	return capable
}

// Choose returns the capable member with the greatest rendezvous weight for the key, or false when there is none.
func Choose(members []value.Member, key string) (value.Member, bool) {
	return heaviest(candidates(Capable(members)), key)
}

// Rank returns the names ordered by their rendezvous weight for the key, the greatest first.
func Rank(names []string, key string) []string {
	h := xxhash.Sum64String(key)
	weights := make(map[string]uint64, len(names))
	for _, n := range names {
		weights[n] = weight(xxhash.Sum64String(n), h)
	}
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return ranked
}
