package feed

import (
	"maps"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/route"
	"chicoryhoist.example/hoist/value"
)

// maxRemovedKeys limits the removed keys whose revision is stored to reject older records.
const maxRemovedKeys = 1024

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

	// regions are those of the data centres, homeRegion is the region of all of them if there are none.
	regions    map[string]string
	homeRegion string
}

// Age returns the time since ConfirmedAt.
func (v *View) Age(now hoist.Millis) hoist.Millis { return now - v.ConfirmedAt }

// entry is a backend server in the store.
type entry struct {
	server   value.BackendServer
	revision int64
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
	// removedRevisions holds the revisions at which keys were removed.
	removedRevisions map[string]int64
	revision         int64
	confirmedAt      hoist.Millis
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
	return State{entries: map[string]entry{}, evacuations: map[string]evacuation{}, removedRevisions: map[string]int64{}}
}

// Revision returns the revision from which the next watch continues.
func (s State) Revision() int64 { return s.revision }

// View returns the content that may be used.
func (s State) View() *View {
	v := &View{Table: s.table, ConfirmedAt: s.confirmedAt, Evacuated: s.evacuated(), regions: s.regions, homeRegion: s.homeRegion}
	keys := slices.Sorted(maps.Keys(s.entries))
	servers := make([]value.BackendServer, 0, len(keys))
	for _, k := range keys {
		servers = append(servers, v.Marked(s.entries[k].server))
	}
	v.Servers = value.ListOf(servers...)
	return v
}

// Records returns the complete content without lapsed entries.
func (s State) Records() []value.FeedRecord {
	var records []value.FeedRecord
	if s.table != nil {
		records = append(records, s.tableRecord)
	}
	for _, k := range slices.Sorted(maps.Keys(s.evacuations)) {
		e := s.evacuations[k]
		records = append(records, value.FeedRecord{}.WithKey(k).WithRevision(e.revision).WithBody(value.Evacuation{}.WithDatacentre(e.datacentre)))
	}
	for _, k := range slices.Sorted(maps.Keys(s.entries)) {
		if e := s.entries[k]; e.lapsedAt == 0 {
			records = append(records, value.FeedRecord{}.WithKey(k).WithRevision(e.revision).WithBody(e.server))
		}
	}
	return records
}

// Decide returns the state after the event.
func (s State) Decide(e Event, now hoist.Millis) State {
	switch e := e.(type) {
	case Listed:
		s = s.confirmed(e.RequestedAt, e.ReachableSince, now)
		s = s.withoutMissing(e.Changes, now)
		s = s.withRecords(e.Changes, now)
	case Changed:
		s = s.confirmed(e.RequestedAt, e.ReachableSince, now)
		s = s.withRecords(e.Changes, now)
	case Failed:
		s = s.failed(e.Since, now)
	case Ticked:
	}
	return s.withoutLapsed(now)
}

// confirmed returns a copy after a response of the store or of a reader that knows of the store's return.
func (s State) confirmed(requestedAt, reachableSince, now hoist.Millis) State {
	s = s.recovered(now)
	s.reachableSince = max(s.reachableSince, reachableSince)
	s.confirmedAt = max(s.confirmedAt, requestedAt)
	return s
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
	s.revision = max(s.revision, c.Revision)
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
	s.entries, s.evacuations, s.removedRevisions = maps.Clone(s.entries), maps.Clone(s.evacuations), maps.Clone(s.removedRevisions)
	return s
}

// withRecord applies one record to the maps, which the caller has copied.
func (s State) withRecord(r value.FeedRecord, now hoist.Millis) State {
	old, known := s.entries[r.Key()]
	if r.Revision() < max(old.revision, s.evacuations[r.Key()].revision) || r.Revision() < s.removedRevisions[r.Key()] {
		return s
	}
	switch b := r.Body().(type) {
	case value.RouteTable:
		if s.table == nil || b.Version() > s.table.Version() {
			s.table, s.tableRecord = route.NewTable(b), r
		}
	case value.BackendServer:
		s.entries[r.Key()] = entry{server: b, revision: r.Revision()}
		delete(s.removedRevisions, r.Key())
	case value.FeedGone:
		if known {
			s.removeEntry(r.Key(), r.Revision(), now)
		} else {
			s.withoutEvacuation(r.Key(), r.Revision())
		}
	case value.FeedUnreadable:
		delete(s.entries, r.Key())
	case value.Evacuation:
		s.evacuations[r.Key()] = evacuation{b.Datacentre(), r.Revision()}
		delete(s.removedRevisions, r.Key())
	case value.FeedOther:
	}
	return s
}

// removeEntry removes an entry from the copied maps. It marks the entry as lapsed instead if the store may be wrong.
func (s State) removeEntry(key string, revision int64, now hoist.Millis) {
	e := s.entries[key]
	if s.mayHaveLapsed(e, now) {
		if e.lapsedAt == 0 {
			e.lapsedAt = s.reachableSince
		}
		s.entries[key] = e
		return
	}
	delete(s.entries, key)
	s.recordRemoval(key, revision)
}

// withoutMissing returns a copy without the servers and evacuations that are missing from a list.
func (s State) withoutMissing(c Changes, now hoist.Millis) State {
	listed := map[string]bool{}
	for _, r := range c.Records {
		listed[r.Key()] = true
	}
	s = s.withCopiedMaps()
	for _, k := range slices.Sorted(maps.Keys(s.entries)) {
		if !listed[k] && s.entries[k].revision <= c.Revision {
			s.removeEntry(k, c.Revision, now)
		}
	}
	for k, e := range maps.Clone(s.evacuations) {
		if !listed[k] && e.revision <= c.Revision {
			s.withoutEvacuation(k, c.Revision)
		}
	}
	return s
}

// withoutLapsed returns a copy without the lapsed entries whose grace time is over.
func (s State) withoutLapsed(now hoist.Millis) State {
	copied := false
	for k, e := range s.entries {
		if e.lapsedAt == 0 || now-e.lapsedAt < lapseGraceTime || s.unreachable {
			continue
		}
		if !copied {
			s.entries, copied = maps.Clone(s.entries), true
		}
		delete(s.entries, k)
	}
	return s
}
