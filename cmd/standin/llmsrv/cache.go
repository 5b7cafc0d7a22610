package llmsrv

import (
	"chicoryhoist.example/hoist/value"
)

const (
	// maxCacheBlocks is the number of prefix blocks that fit into the memory of an engine.
	maxCacheBlocks = 512
	// maxCacheEvents is the number of cache events that stay available; readers miss older ones.
	maxCacheEvents = 256
	// eventGapInterval is the number of events of which one is never reported, because real engines publish events with gaps.
	eventGapInterval = 17
)

// Cache is the immutable prefix cache of an engine together with its recent events.
type Cache struct {
	prefixes value.List[uint64]
	events   value.List[value.CacheEvent]
	seq      uint64
}

// HitBlocks returns the number of leading prefixes that the cache contains.
func (c Cache) HitBlocks(prefixes []uint64) int {
	for n, p := range prefixes {
		if c.indexOf(p) < 0 {
			return n
		}
	}
	return len(prefixes)
}

// Store adds the prefixes and evicts the least recently stored entries beyond the capacity.
func (c Cache) Store(prefixes []uint64) Cache {
	for _, p := range prefixes {
		if i := c.indexOf(p); i >= 0 {
			c.prefixes = c.prefixes.Without(i).Append(p)
			continue
		}
		c.prefixes = c.prefixes.Append(p)
		c = c.record("stored", p)
		if c.prefixes.Len() > maxCacheBlocks {
			c = c.record("evicted", c.prefixes.At(0))
			c.prefixes = c.prefixes.Without(0)
		}
	}
	return c
}

// Events returns the events after the sequence number, and the sequence number to pass in the next call.
func (c Cache) Events(after uint64) (value.List[value.CacheEvent], uint64) {
	var l value.List[value.CacheEvent]
	for e := range c.events.All() {
		if e.Seq() > after && e.Seq()%eventGapInterval != 0 {
			l = l.Append(e)
		}
	}
	return l, c.seq
}

// record appends an event with the next sequence number.
func (c Cache) record(kind string, hash uint64) Cache {
	c.seq++
	c.events = c.events.Append(value.CacheEvent{}.WithSeq(c.seq).WithKind(kind).WithHash(hash))
	if c.events.Len() > maxCacheEvents {
		c.events = c.events.Without(0)
	}
	return c
}

// indexOf returns the index of the prefix, or -1.
func (c Cache) indexOf(p uint64) int {
	for i := range c.prefixes.Len() {
		if c.prefixes.At(i) == p {
			return i
		}
	}
	return -1
}
