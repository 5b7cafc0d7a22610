package place

import (
	"math/bits"

	"chicoryhoist.example/hoist/value"
)

const (
	// prefixSets and prefixWays limit the index to 4,096 prefixes per shard, about 100 KB.
	prefixSets = 512
	prefixWays = 8
	// refreshAfterChanges is the number of index changes after which the use of an entry is recorded again. Most
	// prompts share prefixes, so recording each use would copy the index each time.
	refreshAfterChanges = 32
	// prefixBits is the number of servers that the index can tell apart; a shard has at most 32.
	prefixBits = 64
)

// prefixEntry records which servers probably hold the KV cache of a prefix.
type prefixEntry struct {
	hash    uint64
	servers uint64
	lastUse uint32
}

// prefixIndex is an immutable set-associative index from prefix hashes to servers.
//
// Its size is bounded, so it drops the least recently used prefixes. An entry is a hint: a wrong one costs
// only the time to process the prompt.
type prefixIndex struct {
	sets    *[prefixSets]*[prefixWays]prefixEntry
	changes uint32
}

// serversOf returns the servers that probably hold the prefix, one bit for each.
func (p prefixIndex) serversOf(hash uint64) uint64 {
	if p.sets == nil {
		return 0
	}
	set := p.sets[hash%prefixSets]
	if set == nil {
		return 0
	}
	for i := range set {
		if set[i].hash == hash {
			return set[i].servers
		}
	}
	return 0
}

// withStored returns the index after the server with the bit has cached the prefixes.
func (p prefixIndex) withStored(bit uint8, hashes ...uint64) prefixIndex {
	if bit >= prefixBits || len(hashes) == 0 {
		return p
	}
	next := p
	for _, h := range hashes {
		if p.recentlyStored(bit, h) {
			continue
		}
		if next.sets == p.sets {
			next = p.writableCopy()
		}
		set := next.writableSet(h)
		i := entryIndex(set, h)
		if set[i].hash != h {
			set[i] = prefixEntry{hash: h}
		}
		set[i].servers |= 1 << bit
		set[i].lastUse = next.changes
	}
	return next
}

// recentlyStored reports whether the entry shows the server with the bit and was used so recently that it need not be
// refreshed.
func (p prefixIndex) recentlyStored(bit uint8, hash uint64) bool {
	if p.sets == nil || p.sets[hash%prefixSets] == nil {
		return false
	}
	for _, h := range p.sets[hash%prefixSets] {
		if h.hash == hash {
			return h.servers&(1<<bit) != 0 && p.changes-h.lastUse < refreshAfterChanges
		}
	}
	return false
}

// withEvicted returns the index after the server with the bit has evicted the prefix.
func (p prefixIndex) withEvicted(bit uint8, hash uint64) prefixIndex {
	if p.serversOf(hash)&(1<<bit) == 0 {
		return p
	}
	p = p.writableCopy()
	set := p.writableSet(hash)
	set[entryIndex(set, hash)].servers &^= 1 << bit
	return p
}

// withoutServers returns the index without the servers of the mask.
func (p prefixIndex) withoutServers(mask uint64) prefixIndex {
	if p.sets == nil || mask == 0 {
		return p
	}
	p = p.writableCopy()
	for i, set := range p.sets {
		if set == nil {
			continue
		}
		updated := *set
		for j := range updated {
			updated[j].servers &^= mask
		}
		p.sets[i] = &updated
	}
	return p
}

// writableCopy returns a copy whose table of sets may be modified.
func (p prefixIndex) writableCopy() prefixIndex {
	sets := &[prefixSets]*[prefixWays]prefixEntry{}
	if p.sets != nil {
		*sets = *p.sets
	}
	return prefixIndex{sets: sets, changes: p.changes + 1}
}

// writableSet replaces the set of the hash by a copy and returns it; the index must be a writable copy.
func (p prefixIndex) writableSet(hash uint64) *[prefixWays]prefixEntry {
	set := &[prefixWays]prefixEntry{}
	if old := p.sets[hash%prefixSets]; old != nil {
		*set = *old
	}
	p.sets[hash%prefixSets] = set
	return set
}

// entryIndex returns the index of the hash's entry in the set, or of the least recently used entry.
func entryIndex(set *[prefixWays]prefixEntry, hash uint64) int {
	oldest := 0
	for i := range set {
		if set[i].hash == hash {
			return i
		}
		if set[i].lastUse < set[oldest].lastUse {
			oldest = i
		}
	}
	return oldest
}

// cachedTokens returns the prompt tokens of the request that the server with the bit has probably cached.
func (p prefixIndex) cachedTokens(bit uint8, a *value.Ask) int32 {
	hashes := a.Prefixes()
	for i := hashes.Len() - 1; i >= 0; i-- {
		if p.serversOf(hashes.At(i))&(1<<bit) != 0 {
			return a.PromptTokens() / int32(hashes.Len()) * int32(i+1)
		}
	}
	return 0
}

// writeDepths writes for each server bit how many leading prefixes the server holds. The hashes run from the shortest
// prefix to the longest.
func (p prefixIndex) writeDepths(hashes []uint64, depth *[prefixBits]int16) {
	seen := uint64(0)
	for i := len(hashes) - 1; i >= 0; i-- {
		added := p.serversOf(hashes[i]) &^ seen
		seen |= added
		for ; added != 0; added &= added - 1 {
			depth[bits.TrailingZeros64(added)] = int16(i + 1)
		}
	}
}
