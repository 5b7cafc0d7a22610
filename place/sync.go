package place

import (
	"math/bits"

	"chicoryhoist.example/hoist/value"
)

// Sync returns the table for a new list of the shard's instances; known servers keep their state.
//
// A server that disappears from the list while it still runs attempts stays as leaving,
// because the list lags and the attempts must be able to end. A server that was listed as
// leaving or was absent and is listed as live again, or that has a new address, is a new process under
// the same name and starts without history. While the list shows a server as live throughout, a refusal
// by the server or an announcement by a peer takes precedence, because the list lags.
func (t Table) Sync(instances value.List[value.Instance], slots int32) Table {
	servers := make([]Server, 0, instances.Len())
	names := make(map[string]int, instances.Len())
	for i := range instances.All() {
		if _, duplicate := names[i.Name()]; duplicate {
			continue
		}
		names[i.Name()] = len(servers)
		servers = append(servers, t.afterListing(i, slots))
	}
	for s := range t.servers.All() {
		if _, ok := names[s.Name()]; !ok && s.record.running.Len() > 0 {
			names[s.Name()] = len(servers)
			servers = append(servers, s.markedLeaving(sourceAbsent, ReasonInstanceList, t.clock))
		}
	}
	return t.withServers(servers, names)
}

// afterListing returns the server's state after the instance list has shown the instance.
func (t Table) afterListing(i value.Instance, slots int32) Server {
	s, ok := t.Server(i.Name())
	if !ok {
		s = NewServer(i, slots).with(func(r *record) { r.statusSince = t.clock })
	}
	returned := s.record.leaveSources&(sourceListed|sourceAbsent) != 0 && !i.Leaving()
	addressChanged := i.Address() != s.record.instance.Address()
	if returned || addressChanged {
		s = s.restarted(slots, t.clock)
	}
	s = s.WithInstance(i).withSlots(slots)
	if i.Leaving() {
		s = s.markedLeaving(sourceListed, ReasonInstanceList, t.clock)
	}
	return s
}

// withServers returns the table with the servers replaced and its indexes rebuilt.
func (t Table) withServers(servers []Server, names map[string]int) Table {
	oldMask, keptMask := uint64(0), uint64(0)
	for s := range t.servers.All() {
		oldMask |= 1 << s.record.maskBit
	}
	for _, s := range servers {
		if old, ok := t.Server(s.Name()); ok && old.record.processStart == s.record.processStart {
			keptMask |= 1 << s.record.maskBit
		}
	}
	t = t.withoutCaches(oldMask &^ keptMask)
	usedMask := uint64(0)
	for _, s := range servers {
		usedMask |= 1 << s.record.maskBit
	}
	index := attemptIndex{}
	for i, s := range servers {
		if s.record.maskBit >= prefixBits && ^usedMask != 0 {
			bit := uint8(bits.TrailingZeros64(^usedMask))
			usedMask |= 1 << bit
			servers[i] = s.with(func(r *record) { r.maskBit = bit })
		}
		for r := range s.record.running.All() {
			index = index.with(r.ask.Attempt(), i)
		}
	}
	t.servers, t.names, t.attempts = value.ListOf(servers...), names, index
	return t
}

// withoutCaches returns the table without the cached prefixes and loaded models of the masked servers.
func (t Table) withoutCaches(mask uint64) Table {
	if mask == 0 {
		return t
	}
	t.prefixes = t.prefixes.withoutServers(mask)
	t.reportedMask &^= mask
	loadedOn := make(map[string]uint64, len(t.loadedOn))
	for name, servers := range t.loadedOn {
		if servers&^mask != 0 {
			loadedOn[name] = servers &^ mask
		}
	}
	t.loadedOn = loadedOn
	return t
}
