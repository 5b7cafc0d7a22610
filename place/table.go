// Package place keeps the server table of one shard and chooses a server for each attempt.
//
// A server that is much slower than its shard peers goes on probation: it takes a trickle of
// work and returns after a few good samples. A server that crashed is down for a time, or until a
// load report arrives that was measured after the crash; then one repeatable request probes it.
// Load reports are late, so they only ever lower the free slots below what the table counts itself.
package place

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// Table is the immutable server table of one shard.
type Table struct {
	servers  value.List[Server]
	names    map[string]int
	attempts attempts
	rules    Rules
	clock    hoist.Millis

	prefill prefill
	norms   [measures]float64
	swept   hoist.Millis

	prefixes  prefixes
	carriers  map[string]uint64
	described uint64
}

// Servers returns the servers in the order of the instance list.
func (t Table) Servers() value.List[Server] { return t.servers }

// Server returns the named server.
func (t Table) Server(name string) (Server, bool) {
	i := t.index(name)
	if i < 0 {
		return Server{}, false
	}
	return t.servers.At(i), true
}

// Rules returns the configured limits.
func (t Table) Rules() Rules { return t.rules }

// WithRules returns a copy with the configured limits replaced.
func (t Table) WithRules(r Rules) Table {
	t.rules = r
	return t
}

// FreeSlots returns the free slots of all servers.
func (t Table) FreeSlots() int32 {
	n := int32(0)
	for s := range t.servers.All() {
		n += s.FreeSlots()
	}
	return n
}

// Start records an attempt on the named server; a repeated record of the same attempt replaces the first.
func (t Table) Start(server string, r RunningAttempt) Table {
	i := t.index(server)
	if i < 0 {
		return t
	}
	t = t.at(r.started).remove(r.ask.Attempt())
	s := t.servers.At(i)
	if s.record.status == StatusDown && t.clock >= s.record.due {
		s = s.entered(StatusProbation, ReasonRecovering, t.clock)
	}
	if r.alone {
		s = s.with(func(r *record) { r.reserved = 0 })
	}
	r.cached = t.prefixes.cached(s.record.bit, r.ask)
	s = s.WithRunning(s.record.running.Append(r))
	if s.record.status == StatusProbation {
		s = s.with(func(r *record) { r.due = t.clock + trialDelay })
	}
	t.attempts = t.attempts.with(r.ask.Attempt(), i)
	t.prefixes = t.prefixes.stored(s.record.bit, collect(r.ask.Prefixes())...)
	return t.put(i, s).sweep()
}

// Find returns the attempt's record and the name of its server.
func (t Table) Find(a value.Attempt) (RunningAttempt, string, bool) {
	i, j := t.locate(a)
	if i < 0 {
		return RunningAttempt{}, "", false
	}
	s := t.servers.At(i)
	return s.record.running.At(j), s.Name(), true
}

// RemoveGateway removes the attempts of a gateway process that is gone; their streams broke with it.
func (t Table) RemoveGateway(incarnation uint64, now hoist.Millis) Table {
	t = t.at(now)
	for s := range t.servers.All() {
		for r := range s.record.running.All() {
			if a := r.ask.Attempt(); a.Incarnation() == incarnation {
				t = t.remove(a)
			}
		}
	}
	return t.sweep()
}

// MarkLeaving records that a peer has announced the departure of the server.
func (t Table) MarkLeaving(server string, now hoist.Millis) Table {
	i := t.index(server)
	if i < 0 {
		return t
	}
	t = t.at(now)
	return t.put(i, t.servers.At(i).leaving(sourceDeparted, ReasonPeerAnnounced, t.clock))
}

// at returns the table with its clock moved forward; the clock never goes back.
func (t Table) at(now hoist.Millis) Table {
	t.clock = max(t.clock, now)
	return t
}

// put returns the table with one server replaced.
func (t Table) put(i int, s Server) Table {
	t.servers = t.servers.With(i, s)
	return t
}

// remove returns the table without the attempt.
func (t Table) remove(a value.Attempt) Table {
	i, j := t.locate(a)
	if i < 0 {
		return t
	}
	t.attempts = t.attempts.without(a)
	s := t.servers.At(i)
	return t.put(i, s.WithRunning(s.record.running.Without(j)))
}

// locate returns the index of the attempt's server and of the attempt on it, or -1.
func (t Table) locate(a value.Attempt) (server, attempt int) {
	i := t.attempts.find(a)
	if i < 0 {
		return -1, -1
	}
	return i, t.servers.At(i).find(a)
}

// index returns the index of the named server, or -1.
func (t Table) index(name string) int {
	if i, ok := t.names[name]; ok {
		return i
	}
	return -1
}

// collect returns the items of the list as a slice.
func collect[T any](l value.List[T]) []T {
	items := make([]T, 0, l.Len())
	for x := range l.All() {
		items = append(items, x)
	}
	return items
}
