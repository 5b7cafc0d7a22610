package feed

import (
	"maps"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/route"
	"chicoryhoist.example/hoist/value"
)

// View is an immutable snapshot of the store as known to one process.
type View struct {
	// Table is the route table in force, or nil before the first one.
	Table *route.Table
	// Servers are the backend servers that may be used, ordered by id.
	Servers value.List[value.BackendServer]
	// Evacuated are the evacuated data centres, sorted.
	Evacuated value.List[string]
	// ConfirmedAt is the time as of which the content is known to be current: when the request was sent whose response
	// contains it.
	ConfirmedAt hoist.Millis
	// KeysConfirmedAt is the time as of which no API key is known to have been withdrawn since. It is earlier than ConfirmedAt
	// while the store may lack the newest configuration.
	KeysConfirmedAt hoist.Millis

	// regions are those of the data centres, homeRegion is the region of all of them if there are none.
	regions    map[string]string
	homeRegion string
}

// Age returns the time since ConfirmedAt.
func (v *View) Age(now hoist.Millis) hoist.Millis { return now - v.ConfirmedAt }

// KeysAge returns the time since KeysConfirmedAt.
func (v *View) KeysAge(now hoist.Millis) hoist.Millis { return now - v.KeysConfirmedAt }

// entry is a backend server in the store.
type entry struct {
	server   value.BackendServer
	position Position
	// lapsedAt is set when the entry disappeared while the store was unreachable, to the time of the store's return; it is
	// otherwise zero.
	lapsedAt hoist.Millis
}

// State is the immutable state of one follower.
type State struct {
	table *route.Table
	// tableRecord is the record that contains the table.
	tableRecord value.FeedRecord
	entries     map[string]entry
	evacuations map[string]evacuation
	// removed holds the removed keys.
	removed map[string]removal
	// held holds records of an older copy of the store that are not in force.
	held     map[string]heldRecord
	position Position
	// eraSince is the time at which the known era took the place of an earlier one, or zero.
	eraSince hoist.Millis
	// confirmedAt and keysConfirmedAt are those of the view; no response of the store proves anything of keys before
	// keysUnprovenUntil.
	confirmedAt, keysConfirmedAt, keysUnprovenUntil hoist.Millis
	// unreachable is set while requests fail, unreachableSince is the time from which the store may have been unreachable.
	unreachable      bool
	unreachableSince hoist.Millis
	// reachableSince is the time of the first response after an outage in which entries may have lapsed, or zero.
	reachableSince hoist.Millis
	// regions and homeRegion are those of the views.
	regions    map[string]string
	homeRegion string
}

// NewState returns the state before the first response.
func NewState() State {
	return State{entries: map[string]entry{}, evacuations: map[string]evacuation{}, removed: map[string]removal{}, held: map[string]heldRecord{}}
}

// Position returns the position from which the next watch continues.
func (s State) Position() Position { return s.position }

// version returns the version of the route table, or zero if there is none.
func (s State) version() uint64 {
	if s.table == nil {
		return 0
	}
	return s.table.Version()
}

// View returns the content that may be used.
func (s State) View() *View {
	v := &View{
		Table: s.table, ConfirmedAt: s.confirmedAt, KeysConfirmedAt: s.keysConfirmedAt, Evacuated: s.evacuated(),
		regions: s.regions, homeRegion: s.homeRegion,
	}
	keys := slices.Sorted(maps.Keys(s.entries))
	servers := make([]value.BackendServer, 0, len(keys))
	for _, k := range keys {
		servers = append(servers, v.Marked(s.entries[k].server))
	}
	v.Servers = value.ListOf(servers...)
	return v
}

// Records returns the complete content without lapsed entries, and the newest removals.
func (s State) Records(now hoist.Millis) []value.FeedRecord {
	var records []value.FeedRecord
	if s.table != nil {
		records = append(records, s.tableRecord)
	}
	record := func(key string, p Position, b value.FeedRecordBody) value.FeedRecord {
		return value.FeedRecord{}.WithKey(key).WithEra(p.Era).WithRevision(p.Revision).WithBody(b)
	}
	for _, k := range slices.Sorted(maps.Keys(s.evacuations)) {
		e := s.evacuations[k]
		r := record(k, e.position, value.Evacuation{}.WithDatacentre(e.datacentre))
		if e.keptUntil > 0 {
			r = r.WithKeptMs(int64(max(e.keptUntil-now, 1)))
		}
		records = append(records, r)
	}
	for _, k := range slices.Sorted(maps.Keys(s.entries)) {
		if e := s.entries[k]; e.lapsedAt == 0 {
			records = append(records, record(k, e.position, e.server))
		}
	}
	for _, k := range slices.Sorted(maps.Keys(s.held)) {
		h := s.held[k]
		records = append(records, h.record.WithHeldMs(int64(max(h.until-now, 1))))
	}
	removed := s.removedKeys()
	for _, k := range removed[:min(len(removed), maxSentRemovals)] {
		x := s.removed[k]
		if !x.written {
			x.position = Position{}
		}
		records = append(records, record(k, x.position, value.FeedGone{}.WithBorn(x.born)))
	}
	return records
}

// Decide returns the state after the event. A response of an older era is that of a store that is gone, and changes nothing;
// neither do the changes after a position of another era.
func (s State) Decide(e Event, now hoist.Millis) State {
	switch e := e.(type) {
	case Listed:
		switch {
		case e.Era < s.position.Era:
		case e.Era > s.position.Era && s.position != Position{}:
			s = s.withEra(e.Response, now)
		default:
			if s.position == (Position{}) {
				// A store that has ever returned from an older copy may just have done so.
				s = s.withUnprovenKeys(e.Response, e.Era <= firstEra, now)
			}
			s = s.confirmed(e.Response, now).withoutMissing(e.Changes, now).withRecords(e.Changes, now)
		}
	case Changed:
		if e.Era == s.position.Era {
			s = s.confirmed(e.Response, now).withRecords(e.Changes, now)
		}
	case TableLearned:
		s = s.withTable(e.Record)
	case Failed:
		s = s.failed(e.Since, now)
	case Ticked:
	}
	return s.withExpired(now)
}

// confirmed returns a copy after a response of the store or of a reader that knows of the store's return.
func (s State) confirmed(r Response, now hoist.Millis) State {
	s = s.recovered(now)
	s.reachableSince = max(s.reachableSince, r.ReachableSince)
	s.confirmedAt = max(s.confirmedAt, r.RequestedAt)
	return s.withKeysConfirmed(r, now)
}

// backMs returns the time since the store returned after an outage while removed entries are still in use, or zero.
func (s State) backMs(now hoist.Millis) int64 {
	if since := now - s.reachableSince; s.reachableSince > 0 && since < lapseGraceTime {
		return int64(max(since, 1))
	}
	return 0
}

// withRecords returns a copy with those of the records that are newer than the known ones.
func (s State) withRecords(c Changes, now hoist.Millis) State {
	s.position = later(s.position, c.Position())
	if len(c.Records) == 0 {
		return s
	}
	s = s.withCopiedMaps()
	for _, r := range c.Records {
		s = s.withRecord(r, now)
	}
	return s
}

// withCopiedMaps returns a copy whose maps may be changed.
func (s State) withCopiedMaps() State {
	s.entries, s.evacuations = maps.Clone(s.entries), maps.Clone(s.evacuations)
	s.removed, s.held = maps.Clone(s.removed), maps.Clone(s.held)
	return s
}

// positionOfKey returns the position of the last known change of a key.
func (s State) positionOfKey(key string) Position {
	p := later(s.entries[key].position, s.evacuations[key].position)
	return later(later(p, s.removed[key].position), positionOf(s.held[key].record))
}

// withRecord applies one record to the maps, which the caller has copied.
func (s State) withRecord(r value.FeedRecord, now hoist.Millis) State {
	key, p := r.Key(), positionOf(r)
	if isTable(r) {
		return s.withTable(r)
	}
	switch order := p.compare(s.positionOfKey(key)); {
	case order < 0:
		return s
	case order == 0 && p != Position{}:
		s.mergeSame(r, now)
		return s
	case r.HeldMs() > 0 && s.evacuations[key].datacentre == "":
		// An evacuation that is in force here stays so, though another instance knows of an end.
		s.hold(r, hoist.Millis(r.HeldMs()), now)
		return s
	}
	delete(s.held, key)
	switch b := r.Body().(type) {
	case value.BackendServer:
		s.entries[key] = entry{server: b, position: p}
		delete(s.removed, key)
	case value.FeedGone:
		gone := removal{position: p, born: b.Born(), written: p != Position{}}
		if _, known := s.entries[key]; known {
			s.removeEntry(key, gone, now)
		} else {
			s.withoutEvacuation(key, gone)
		}
	case value.FeedUnreadable:
		delete(s.entries, key)
	case value.Evacuation:
		s.evacuations[key] = evacuation{datacentre: b.Datacentre(), position: p, keptUntil: keptUntil(r, now)}
		delete(s.removed, key)
	case value.RouteTable, value.FeedOther:
	}
	return s
}

// withTable returns a copy with the route table of the record unless a newer one is known. Versions are ordered across eras.
func (s State) withTable(r value.FeedRecord) State {
	t, ok := r.Body().(value.RouteTable)
	switch {
	case !ok:
	case s.table == nil || t.Version() > s.table.Version():
		s.table, s.tableRecord = route.NewTable(t), r
	case t.Version() == s.table.Version() && positionOf(s.tableRecord).Before(positionOf(r)):
		s.tableRecord = r
	}
	return s
}

// removeEntry removes an entry from the copied maps. It marks the entry as lapsed instead if the store may be wrong.
func (s State) removeEntry(key string, r removal, now hoist.Millis) {
	e := s.entries[key]
	if s.mayHaveLapsed(e, now) {
		if e.lapsedAt == 0 {
			e.lapsedAt = s.reachableSince
		}
		s.entries[key] = e
		return
	}
	r.born = e.server.Born()
	delete(s.entries, key)
	s.recordRemoval(key, r)
}

// withoutMissing returns a copy without the servers and evacuations that are missing from a list.
func (s State) withoutMissing(c Changes, now hoist.Millis) State {
	s = s.withCopiedMaps()
	listed := listedKeys(c)
	for _, k := range slices.Sorted(maps.Keys(s.entries)) {
		if !listed[k] && !c.Position().Before(s.entries[k].position) {
			s.removeEntry(k, removal{position: c.Position()}, now)
		}
	}
	for k, e := range maps.Clone(s.evacuations) {
		if !listed[k] && e.keptUntil == 0 && !c.Position().Before(e.position) {
			s.withoutEvacuation(k, removal{position: c.Position()})
		}
	}
	maps.DeleteFunc(s.held, func(k string, h heldRecord) bool { return !listed[k] && !c.Position().Before(positionOf(h.record)) })
	return s
}

// listedKeys returns the keys of the records that the store contains.
func listedKeys(c Changes) map[string]bool {
	listed := make(map[string]bool, len(c.Records))
	for _, r := range c.Records {
		if _, gone := r.Body().(value.FeedGone); !gone && r.KeptMs() == 0 {
			listed[r.Key()] = true
		}
	}
	return listed
}
