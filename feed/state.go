package feed

import (
	"maps"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/route"
	"chicoryhoist.example/hoist/value"
)

const (
	// lapseHold is the time for which a server stays in use whose entry vanished while the store was away;
	// a living server writes its entry again within two seconds.
	lapseHold = 2 * hoist.Second
	// goneMost bounds the removed keys whose revision is remembered against older records.
	goneMost = 1024
)

// View is the immutable content of the store as one process knows it.
type View struct {
	// Table is the route table in force, or nil before the first one.
	Table *route.Table
	// Servers are the backend servers that may be used, in the order of their ids.
	Servers value.List[value.BackendServer]
	// ConfirmedAt is the time at which the question was sent whose answer shows this content.
	ConfirmedAt hoist.Millis
}

// Age returns the time since the content was known to be the newest.
func (v *View) Age(now hoist.Millis) hoist.Millis { return now - v.ConfirmedAt }

// entry is one backend server in the store.
type entry struct {
	server   value.BackendServer
	revision int64
	// lapsed is the time at which the entry vanished while the store was away, or zero.
	lapsed hoist.Millis
}

// State is the immutable state of one follower.
type State struct {
	table *route.Table
	// published is the record of the table.
	published value.FeedRecord
	entries   map[string]entry
	gone      map[string]int64
	revision  int64
	proved    hoist.Millis
	// away is set while questions fail, and returned is the time of the first answer after that.
	away     bool
	returned hoist.Millis
}

// NewState returns the state before the first answer.
func NewState() State { return State{entries: map[string]entry{}, gone: map[string]int64{}} }

// Revision returns the revision that the next watch goes on from.
func (s State) Revision() int64 { return s.revision }

// View returns the content that may be used.
func (s State) View() *View {
	v := &View{Table: s.table, ConfirmedAt: s.proved}
	keys := slices.Sorted(maps.Keys(s.entries))
	servers := make([]value.BackendServer, 0, len(keys))
	for _, k := range keys {
		servers = append(servers, s.entries[k].server)
	}
	v.Servers = value.ListOf(servers...)
	return v
}

// Records returns the whole content without the entries that have lapsed.
func (s State) Records() []value.FeedRecord {
	var records []value.FeedRecord
	if s.table != nil {
		records = append(records, s.published)
	}
	for _, k := range slices.Sorted(maps.Keys(s.entries)) {
		if e := s.entries[k]; e.lapsed == 0 {
			records = append(records, value.FeedRecord{}.WithKey(k).WithRevision(e.revision).WithBody(e.server))
		}
	}
	return records
}

// Decide returns the state after the event.
func (s State) Decide(e Event, now hoist.Millis) State {
	switch e := e.(type) {
	case Listed:
		s = s.answered(e.RequestedAt, now)
		s = s.withoutMissing(e.Changes, now)
		s = s.withRecords(e.Changes, now)
	case Changed:
		s = s.answered(e.RequestedAt, now)
		s = s.withRecords(e.Changes, now)
	case Failed:
		s.away = true
	case Ticked:
	}
	return s.expired(now)
}

// answered returns a copy that has heard from the store.
func (s State) answered(asked, now hoist.Millis) State {
	if s.away {
		s.away, s.returned = false, now
	}
	s.proved = max(s.proved, asked)
	return s
}

// withRecords returns a copy with the records that are newer than what is known.
func (s State) withRecords(c Changes, now hoist.Millis) State {
	s.revision = max(s.revision, c.Revision)
	if len(c.Records) == 0 {
		return s
	}
	s.entries, s.gone = maps.Clone(s.entries), maps.Clone(s.gone)
	for _, r := range c.Records {
		s = s.withRecord(r, now)
	}
	return s
}

// withRecord applies one record to the maps, which the caller has copied.
func (s State) withRecord(r value.FeedRecord, now hoist.Millis) State {
	old, known := s.entries[r.Key()]
	if r.Revision() < old.revision || r.Revision() < s.gone[r.Key()] {
		return s
	}
	switch b := r.Body().(type) {
	case value.RouteTable:
		if s.table == nil || b.Version() > s.table.Version() {
			s.table, s.published = route.NewTable(b), r
		}
	case value.BackendServer:
		s.entries[r.Key()] = entry{server: b, revision: r.Revision()}
		delete(s.gone, r.Key())
	case value.FeedGone:
		if known {
			s.remove(r.Key(), r.Revision(), now)
		}
	case value.FeedUnreadable:
		delete(s.entries, r.Key())
	case value.FeedOther:
	}
	return s
}

// remove takes an entry out of the copied maps, or marks it as lapsed when the store was away a moment ago.
func (s State) remove(key string, revision int64, now hoist.Millis) {
	e := s.entries[key]
	if now-s.returned < lapseHold && s.returned > 0 && !e.server.Leaving() {
		if e.lapsed == 0 {
			e.lapsed = s.returned
		}
		s.entries[key] = e
		return
	}
	delete(s.entries, key)
	if len(s.gone) >= goneMost {
		clear(s.gone)
	}
	s.gone[key] = revision
}

// withoutMissing returns a copy without the servers that a list no longer shows.
func (s State) withoutMissing(c Changes, now hoist.Millis) State {
	shown := map[string]bool{}
	for _, r := range c.Records {
		shown[r.Key()] = true
	}
	s.entries, s.gone = maps.Clone(s.entries), maps.Clone(s.gone)
	for _, k := range slices.Sorted(maps.Keys(s.entries)) {
		if !shown[k] && s.entries[k].revision <= c.Revision {
			s.remove(k, c.Revision, now)
		}
	}
	return s
}

// expired returns a copy without the lapsed entries that were not written again in time.
func (s State) expired(now hoist.Millis) State {
	copied := false
	for k, e := range s.entries {
		if e.lapsed == 0 || now-e.lapsed < lapseHold || s.away {
			continue
		}
		if !copied {
			s.entries, copied = maps.Clone(s.entries), true
		}
		delete(s.entries, k)
	}
	return s
}
