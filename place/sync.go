package place

import (
	"math/bits"

	"chicoryhoist.example/hoist/value"
)

// Sync returns the table for a new list of the shard's instances; known servers keep their state.
//
// A server that disappears from the list while it still runs attempts stays as leaving,
// because the list lags and its running work must be able to end. A server that was shown as
// leaving or absent and is shown live again, or that has a new address, is a new process under
// an old name and starts neutral. While the list shows a server live without a break, a refusal
// or an announced departure keeps precedence, because the list lags.
func (t Table) Sync(instances value.List[value.Instance], slots int32) Table {
	servers := make([]Server, 0, instances.Len())
	names := make(map[string]int, instances.Len())
	for i := range instances.All() {
		if _, twice := names[i.Name()]; twice {
			continue
		}
		names[i.Name()] = len(servers)
		servers = append(servers, t.listed(i, slots))
	}
	for s := range t.servers.All() {
		if _, ok := names[s.Name()]; !ok && s.record.running.Len() > 0 {
			names[s.Name()] = len(servers)
			servers = append(servers, s.leaving(sourceAbsent, ReasonInstanceList, t.clock))
		}
	}
	return t.adopt(servers, names)
}

// listed returns the server's state after the instance list has shown the instance.
func (t Table) listed(i value.Instance, slots int32) Server {
	s, ok := t.Server(i.Name())
	if !ok {
		s = NewServer(i, slots).with(func(r *record) { r.since = t.clock })
	}
	returned := s.record.left&(sourceListed|sourceAbsent) != 0 && !i.Leaving()
	moved := i.Address() != s.record.instance.Address()
	if returned || moved {
		s = s.reset(slots, t.clock)
	}
	s = s.WithInstance(i).withSlots(slots)
	if i.Leaving() {
		s = s.leaving(sourceListed, ReasonInstanceList, t.clock)
	}
	return s
}

// adopt returns the table with the servers replaced and its indexes rebuilt.
func (t Table) adopt(servers []Server, names map[string]int) Table {
	before, kept := uint64(0), uint64(0)
	for s := range t.servers.All() {
		before |= 1 << s.record.bit
	}
	for _, s := range servers {
		if old, ok := t.Server(s.Name()); ok && old.record.floor == s.record.floor {
			kept |= 1 << s.record.bit
		}
	}
	t = t.forget(before &^ kept)
	used := uint64(0)
	for _, s := range servers {
		used |= 1 << s.record.bit
	}
	index := attempts{}
	for i, s := range servers {
		if s.record.bit >= prefixBits && ^used != 0 {
			b := uint8(bits.TrailingZeros64(^used))
			used |= 1 << b
			servers[i] = s.with(func(r *record) { r.bit = b })
		}
		for r := range s.record.running.All() {
			index = index.with(r.ask.Attempt(), i)
		}
	}
	t.servers, t.names, t.attempts = value.ListOf(servers...), names, index
	return t
}

// forget returns the table without what it knows about the caches and weights of the masked servers.
func (t Table) forget(mask uint64) Table {
	if mask == 0 {
		return t
	}
	t.prefixes = t.prefixes.forget(mask)
	t.described &^= mask
	carriers := make(map[string]uint64, len(t.carriers))
	for name, servers := range t.carriers {
		if servers&^mask != 0 {
			carriers[name] = servers &^ mask
		}
	}
	t.carriers = carriers
	return t
}
