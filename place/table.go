// Package place keeps the server table of one shard and chooses a server for each attempt.
//
// A server that is much slower than its peers in the shard goes on probation: it gets one request at a
// time and returns after a few good samples. A server that crashed is down until a backoff has passed or a
// load report arrives that was measured after the crash; then a request probes it. After a backoff the request must be
// repeatable; a load report counts as a good sample, which allows an unrepeatable one.
// Load reports are late, so they only ever lower the free slots below the table's own count.
package place

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// Table is the immutable server table of one shard.
type Table struct {
	servers  value.List[Server]
	names    map[string]int
	attempts attemptIndex
	rules    Rules
	clock    hoist.Millis

	prefill prefillModel
	// norms holds the median of each metric over the ready servers.
	norms     [metricCount]float64
	lastSweep hoist.Millis

	prefixes prefixIndex
	// loadedOn maps a model or adapter to the servers that have loaded it, one bit for each server.
	loadedOn map[string]uint64
	// reportedMask holds the servers whose loaded models are known from the engine.
	reportedMask uint64
}

// Servers returns the servers in the order of the instance list.
func (t Table) Servers() value.List[Server] { return t.servers }

// Server returns the named server.
func (t Table) Server(name string) (Server, bool) {
	i := t.serverIndex(name)
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
	slots := int32(0)
	for s := range t.servers.All() {
		slots += s.FreeSlots()
	}
	return slots
}

// Start records an attempt on the named server; a repeated record of the same attempt replaces the first.
func (t Table) Start(server string, r RunningAttempt) Table {
	i := t.serverIndex(server)
	if i < 0 {
		return t
	}
	t = t.advancedTo(r.started).remove(r.ask.Attempt())
	s := t.servers.At(i)
	if s.record.status == StatusDown && t.clock >= s.record.probeAt {
		s = s.withTransition(StatusProbation, ReasonRecovering, t.clock)
	}
	if r.isolated {
		s = s.with(func(r *record) { r.reservedUntil = 0 })
	}
	r.cachedTokens = t.prefixes.cachedTokens(s.record.maskBit, r.ask)
	s = s.WithRunning(s.record.running.Append(r))
	if s.record.status == StatusProbation {
		s = s.with(func(r *record) { r.probeAt = t.clock + reprobeDelay })
	}
	t.attempts = t.attempts.with(r.ask.Attempt(), i)
	t.prefixes = t.prefixes.withStored(s.record.maskBit, collect(r.ask.Prefixes())...)
	return t.withServer(i, s).sweep()
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

// RemoveGateway removes the attempts of a lost gateway process, whose streams ended with it.
func (t Table) RemoveGateway(incarnation uint64, now hoist.Millis) Table {
	t = t.advancedTo(now)
	for s := range t.servers.All() {
		for r := range s.record.running.All() {
			if a := r.ask.Attempt(); a.Incarnation() == incarnation {
				t = t.remove(a)
			}
		}
	}
	return t.sweep()
}

// MarkLeaving records that a peer has announced that the server is leaving.
func (t Table) MarkLeaving(server string, now hoist.Millis) Table {
	i := t.serverIndex(server)
	if i < 0 {
		return t
	}
	t = t.advancedTo(now)
	return t.withServer(i, t.servers.At(i).markedLeaving(sourceAnnounced, ReasonPeerAnnounced, t.clock))
}

// advancedTo returns the table with its clock moved forward; the clock never goes back.
func (t Table) advancedTo(now hoist.Millis) Table {
	t.clock = max(t.clock, now)
	return t
}

// withServer returns the table with one server replaced.
func (t Table) withServer(i int, s Server) Table {
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
	return t.withServer(i, s.WithRunning(s.record.running.Without(j)))
}

// locate returns the index of the attempt's server and of the attempt on it, or -1.
func (t Table) locate(a value.Attempt) (server, attempt int) {
	i := t.attempts.find(a)
	if i < 0 {
		return -1, -1
	}
	return i, t.servers.At(i).find(a)
}

// serverIndex returns the index of the named server, or -1.
func (t Table) serverIndex(name string) int {
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
