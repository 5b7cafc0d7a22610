package feed

import (
	"maps"
	"math"
	"slices"

	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/value"
)

const (
	// firstEra is the era of a store that has never returned from a copy.
	firstEra = 1
	// operatorRewriteTime is the time after the return of the store within which the operator writes again what it has lost.
	operatorRewriteTime = 2 * hoist.Second
	// evacuationKeepTime is the time for which an evacuation stays in force that an older copy of the store lacks.
	evacuationKeepTime = 10 * hoist.Second
	// removedServerHoldTime is the time for which a removed server is not used although an older copy of the store contains it.
	// The entry of a server that has ended expires well before.
	removedServerHoldTime = 30 * hoist.Second
)

// heldRecord is a record that is not in force until a later one of its key arrives or the time has come.
type heldRecord struct {
	record value.FeedRecord
	until  hoist.Millis
}

// hold holds a record in the copied maps for the duration, and notes its key as removed.
func (s State) hold(r value.FeedRecord, duration, now hoist.Millis) {
	var born int64
	if b, ok := r.Body().(value.BackendServer); ok {
		born = b.Born()
	}
	delete(s.entries, r.Key())
	delete(s.evacuations, r.Key())
	s.recordRemoval(r.Key(), removal{born: born})
	s.held[r.Key()] = heldRecord{r.WithHeldMs(0), now + duration}
}

// keptUntil returns the time until which an evacuation is kept that the store lacks, or zero.
func keptUntil(r value.FeedRecord, now hoist.Millis) hoist.Millis {
	if r.KeptMs() == 0 {
		return 0
	}
	return now + hoist.Millis(r.KeptMs())
}

// mergeSame merges into the copied maps what another instance knows of the same change of a key: that the server is leaving
// or has been removed.
func (s State) mergeSame(r value.FeedRecord, now hoist.Millis) {
	e, known := s.entries[r.Key()]
	b, ok := r.Body().(value.BackendServer)
	switch {
	case r.HeldMs() > 0 && known && ok && e.server.Born() <= b.Born():
		s.hold(r, hoist.Millis(r.HeldMs()), now)
	case known && ok && e.server.Born() == b.Born() && b.Leaving():
		e.server = e.server.WithLeaving(true)
		s.entries[r.Key()] = e
	}
}

// withEra returns a copy with the first list of a new era.
//
// The store has come back from a copy that may be older than what is known, and the operator and the servers write again what
// it has lost. Until they do, the list is merged with what is known:
//   - A route table is replaced by one of a higher version only.
//   - A server that is leaving stays so, and a removed one stays unused, until a new process of it starts or it writes again.
//   - A server that the list lacks, or of which it has an earlier process, is treated as lapsed in an outage.
//   - An evacuation stands for evacuationKeepTime, and the end of one for operatorRewriteTime.
func (s State) withEra(r Response, now hoist.Millis) State {
	if !r.Relayed {
		r.ReachableSince = now
	}
	s = s.withUnprovenKeys(r, s.isRewritten(r.Changes), now)
	lost := s.firstLost(r.Changes, now)
	s = s.confirmed(r, now).withCopiedMaps()
	s.position, s.eraSince = r.Position(), now
	listed := listedKeys(r.Changes)
	for _, k := range slices.Sorted(maps.Keys(s.entries)) {
		if !listed[k] {
			s.lapse(k, s.position, now)
		}
	}
	for k, e := range s.evacuations {
		e.keptUntil = now + evacuationKeepTime
		s.evacuations[k] = e
	}
	s.held = map[string]heldRecord{}
	for _, x := range r.Records {
		if x.Era() == r.Era && x.Revision() >= lost {
			s = s.withRecord(x, now) // The copy is older, so the record was written in the new era.
		} else {
			s = s.withRecordOfEra(x, now)
		}
	}
	return s
}

// firstLost returns a revision that the copy of the store is known not to contain: the smallest one of the known changes that
// the list shows as lost. If there is none, it returns the greatest number.
//
// The copy may be that of an era before the known one if that began lately, so nothing follows from its revisions then.
func (s State) firstLost(c Changes, now hoist.Millis) int64 {
	lost := int64(math.MaxInt64)
	if s.eraSince > 0 && now-s.eraSince < removedServerHoldTime {
		return lost
	}
	for _, r := range c.Records {
		if r.Era() != c.Era {
			continue // Another instance knows it from an earlier era.
		}
		known := s.evacuations[r.Key()].position
		if e, ok := s.entries[r.Key()]; ok && e.lapsedAt == 0 {
			known = e.position
		}
		if isTable(r) {
			known = positionOf(s.tableRecord)
		}
		if known.Era == s.position.Era && r.Revision() < known.Revision {
			lost = min(lost, known.Revision)
		}
		if gone := s.removed[r.Key()]; gone.written && gone.position.Era == s.position.Era && r.Revision() <= gone.position.Revision {
			lost = min(lost, gone.position.Revision)
		}
	}
	return lost
}

// isRewritten reports whether the list contains a configuration that was written since the known one. The same version at
// another revision was written again.
func (s State) isRewritten(c Changes) bool {
	for _, r := range c.Records {
		if t, ok := r.Body().(value.RouteTable); ok {
			return t.Version() > s.version() || t.Version() == s.version() && r.Revision() != s.tableRecord.Revision()
		}
	}
	return false
}

// lapse marks an entry in the copied maps as lapsed at the return of the store, or removes it if it is leaving or the store
// returned too long ago.
func (s State) lapse(key string, p Position, now hoist.Millis) {
	e := s.entries[key]
	e.position, e.lapsedAt = p, 0
	s.entries[key] = e
	s.removeEntry(key, removal{position: p}, now)
}

// withRecordOfEra applies a record of the first list of an era to the copied maps.
func (s State) withRecordOfEra(r value.FeedRecord, now hoist.Millis) State {
	e, known := s.entries[r.Key()]
	gone, removed := s.removed[r.Key()]
	switch b := r.Body().(type) {
	case value.BackendServer:
		switch {
		case removed && b.Born() <= gone.born:
			s.hold(r, removedServerHoldTime, now)
			return s
		case known && b.Born() < e.server.Born():
			s.lapse(r.Key(), positionOf(r), now)
			return s
		case known && b.Born() == e.server.Born() && e.server.Leaving():
			r = r.WithBody(b.WithLeaving(true))
		}
	case value.Evacuation:
		if removed && r.KeptMs() == 0 {
			s.hold(r, operatorRewriteTime, now)
		}
		if removed {
			return s
		}
	case value.RouteTable, value.FeedGone, value.FeedUnreadable, value.FeedOther:
	}
	return s.withRecord(r, now)
}

// withUnprovenKeys returns a copy before the first list of an era, or of an instance that has no content yet. That of the store
// proves keys at once only if it cannot lack the newest configuration, that of another instance only if that one has a proof.
func (s State) withUnprovenKeys(r Response, complete bool, now hoist.Millis) State {
	if r.Relayed {
		complete = r.KeysLag == 0
	}
	if !complete {
		s.keysUnprovenUntil = now + operatorRewriteTime
	}
	return s
}

// withKeysConfirmed returns a copy after a response, which also proves that no API key has been withdrawn unless the store may
// lack the newest configuration.
func (s State) withKeysConfirmed(r Response, now hoist.Millis) State {
	if r.Relayed {
		s.keysConfirmedAt = max(s.keysConfirmedAt, r.RequestedAt-r.KeysLag)
		return s
	}
	if r.Era == s.position.Era && s.isRewritten(r.Changes) {
		s.keysUnprovenUntil = 0
	}
	if now >= s.keysUnprovenUntil {
		s.keysConfirmedAt = max(s.keysConfirmedAt, r.RequestedAt)
	}
	return s
}

// withExpired returns a copy without the lapsed entries and the kept evacuations whose time is over, in which the held records
// whose time has come are in force.
func (s State) withExpired(now hoist.Millis) State {
	copied := false
	change := func() {
		if !copied {
			s, copied = s.withCopiedMaps(), true
		}
	}
	for k, e := range s.entries {
		if e.lapsedAt > 0 && now-e.lapsedAt >= lapseGraceTime && !s.unreachable {
			change()
			delete(s.entries, k)
			s.recordRemoval(k, removal{position: s.position, born: e.server.Born()})
		}
	}
	for k, h := range s.held {
		if now >= h.until {
			change()
			delete(s.held, k)
			delete(s.removed, k)
			s = s.withRecord(h.record, now)
		}
	}
	for k, e := range s.evacuations {
		if e.keptUntil > 0 && now >= e.keptUntil {
			change()
			s.withoutEvacuation(k, removal{position: s.position})
		}
	}
	return s
}

// logEra logs the change of the era with what became of the known content.
func (f *Follower) logEra(old, next State) {
	if old.position == (Position{}) || old.position.Era == next.position.Era {
		return
	}
	lapsed, dropped := 0, 0
	for k := range old.entries {
		if e, ok := next.entries[k]; !ok {
			dropped++
		} else if e.lapsedAt > 0 {
			lapsed++
		}
	}
	f.Log.Write(event.StoreEraChanged, logrus.Fields{
		"era": next.position.Era, "revision": next.position.Revision, "old_era": old.position.Era, "old_revision": old.position.Revision,
		"version": next.version(), "servers": len(next.entries), "lapsed": lapsed, "dropped": dropped, "held": len(next.held),
	})
}
