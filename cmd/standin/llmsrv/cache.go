package llmsrv

import (
	"chicoryhoist.example/hoist/value"
)

const (
	// cacheEntries is the number of prefix blocks that fit into the memory of an engine.
	cacheEntries = 512
	// eventEntries is the number of cache events that stay available; older ones leave a gap.
	eventEntries = 256
	// gapEvery drops one of so many events, because engines publish events with gaps.
	gapEvery = 17
)

// Cache is the immutable prefix cache of an engine with its recent events.
type Cache struct {
	held   value.List[uint64]
	events value.List[value.CacheEvent]
	seq    uint64
}

// HitBlocks returns the number of the leading prefixes that the cache holds.
func (c Cache) HitBlocks(prefixes []uint64) int {
	for n, p := range prefixes {
		if c.find(p) < 0 {
			return n
		}
	}
	return len(prefixes)
}

// Store adds the prefixes and evicts the oldest entries beyond the capacity.
func (c Cache) Store(prefixes []uint64) Cache {
	for _, p := range prefixes {
		if i := c.find(p); i >= 0 {
			c.held = c.held.Without(i).Append(p)
			continue
		}
		c.held = c.held.Append(p)
		c = c.note("stored", p)
		if c.held.Len() > cacheEntries {
			c = c.note("evicted", c.held.At(0))
			c.held = c.held.Without(0)
		}
	}
	return c
}

// Events returns the events after the sequence number and the number to ask for next.
func (c Cache) Events(after uint64) (value.List[value.CacheEvent], uint64) {
	var l value.List[value.CacheEvent]
	for e := range c.events.All() {
		if e.Seq() > after && e.Seq()%gapEvery != 0 {
			l = l.Append(e)
		}
	}
	return l, c.seq
}

// note records an event.
func (c Cache) note(kind string, hash uint64) Cache {
	c.seq++
	c.events = c.events.Append(value.CacheEvent{}.WithSeq(c.seq).WithKind(kind).WithHash(hash))
	if c.events.Len() > eventEntries {
		c.events = c.events.Without(0)
	}
	return c
}

// find returns the index of the prefix, or -1.
func (c Cache) find(p uint64) int {
	for i := range c.held.Len() {
		if c.held.At(i) == p {
			return i
		}
	}
	return -1
}
