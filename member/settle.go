package member

import (
	"cmp"
	"maps"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/gossip"
	"chicoryhoist.example/hoist/value"
)

// settle works out the live routers, the routes, the rosters and the view after a change.
func (t *turn) settle() {
	t.refreshed()
	if !t.relive && !t.relist && t.view.stale == t.stale {
		return
	}
	if t.relive {
		t.relive = false
		before := t.live
		t.live = t.members()
		t.report(before)
		t.reroute()
		t.enrol = true
	}
	var shards []Shard
	if t.relist {
		t.relist = false
		shards = Layout(t.servers())
	}
	if v := t.look(shards); v != t.view {
		t.view = v
		t.emit(Publish{v, t.company()})
	}
}

// refreshed ends the stale time once every peer that was live has answered, or has had the time to.
func (t *turn) refreshed() {
	if !t.stale {
		return
	}
	waiting := t.booting
	for _, c := range t.contacts {
		waiting = waiting || (c.unconfirmed && c.condition == conditionLive)
	}
	if waiting && t.now-t.staleSince < hoist.Millis(t.timing.SuspectMs()) {
		return
	}
	for name, c := range t.contacts {
		if c.unconfirmed && c.condition == conditionLive {
			t.keep(name, c.lost(t.beat))
			t.lose(name)
		}
	}
	t.stale, t.booting = false, false
	t.relive = true
	t.log(NoticeRefreshed, t.self.Name(), t.self.Incarnation())
}

// members returns the live routers without self, in the order of their names.
//
// A router of the own data centre is live when it answers itself; one of another data centre
// also when a relay lists it that has it in sight.
func (s State) members() []value.Member {
	vouched := s.vouched()
	var live []value.Member
	for m := range s.store.Members() {
		if m.Name() == s.self.Name() {
			continue
		}
		c := s.contacts[m.Name()]
		direct := c.live(m.Incarnation())
		if !direct && (m.Datacentre() == s.self.Datacentre() || !vouched[m.Incarnation()]) {
			continue
		}
		if direct && c.generation != 0 {
			m = m.WithGeneration(c.generation).WithDigest(c.digest)
		}
		if in, ok := s.departing[m.Name()]; ok && in == m.Incarnation() {
			m = m.WithLeaving(true)
		}
		live = append(live, m)
	}
	slices.SortFunc(live, func(a, b value.Member) int { return cmp.Compare(a.Name(), b.Name()) })
	return live
}

// vouched returns the incarnations of other data centres that live relays list.
//
// A relay of the own data centre is believed about the others, and a relay of another
// one about its own; so no two routers can keep a dead one alive between them.
func (s State) vouched() map[uint64]bool {
	home := s.self.Datacentre()
	m := map[uint64]bool{}
	for i := range s.store.All(gossip.KindRoster) {
		r, ok := i.Body().(value.Roster)
		if !ok || !s.contacts[i.Origin()].live(i.Incarnation()) {
			continue
		}
		from := s.routes.places[i.Origin()].datacentre
		if r.Datacentre() == home || (from != home && from != r.Datacentre()) {
			continue
		}
		for in := range r.Live().All() {
			m[in] = true
		}
	}
	return m
}

// report logs the differences between the live routers before and now.
func (t *turn) report(before []value.Member) {
	was := make(map[string]value.Member, len(before))
	for _, m := range before {
		was[m.Name()] = m
	}
	for _, m := range t.live {
		old, ok := was[m.Name()]
		delete(was, m.Name())
		if !ok || old.Incarnation() != m.Incarnation() {
			t.log(NoticeJoined, m.Name(), m.Incarnation())
		}
		if m.Leaving() && (!old.Leaving() || old.Incarnation() != m.Incarnation()) {
			t.log(NoticeLeaving, m.Name(), m.Incarnation())
		}
	}
	gone := make([]value.Member, 0, len(was))
	for _, m := range was {
		gone = append(gone, m)
	}
	slices.SortFunc(gone, func(a, b value.Member) int { return cmp.Compare(a.Name(), b.Name()) })
	for _, m := range gone {
		t.log(NoticeFailed, m.Name(), m.Incarnation())
		t.store = t.store.RemoveFailed(m.Name())
	}
}

// reroute works out the routes and offers all items again to the peers whose part in them has changed.
func (t *turn) reroute() {
	before := t.routes
	t.routes = t.plan()
	if t.reoffer == 0 && !slices.Equal(before.local, t.routes.local) {
		t.reoffer = t.now + reofferAfter
	}
	t.offer(func(name string) bool {
		gained := (t.routes.mesh[name] && !before.mesh[name]) || (t.routes.links[name] && !before.links[name])
		return gained || before.relay != t.routes.relay
	})
}

// reofferAfter is the time after a change of the data centre's routers at which all items are offered again.
//
// Each router spreads the items of some others. When the routers change, that duty moves, and what
// a former bearer had not sent yet must come from its successor. Waiting lets one offer serve
// many changes, as when all routers start at once.
const reofferAfter = 5 * hoist.Second

// offer offers all items again to the chosen contacts.
func (t *turn) offer(chosen func(name string) bool) {
	skipped := false
	for name, c := range t.contacts {
		if !chosen(name) {
			continue
		}
		if !skipped {
			t.store = t.store.AdvanceSequence()
			skipped = true
		}
		c.floor = t.store.Sequence()
		t.keep(name, c)
	}
}

// publishRosters puts the rosters of a relay, and empties them when it is no relay any more.
//
// It runs once a heartbeat, so that many changes at once make one roster.
func (t *turn) publishRosters() {
	if t.stale || !t.enrol {
		return
	}
	t.enrol = false
	rosters := map[string][]uint64{}
	for dc := range t.ownRosters() {
		rosters[dc] = nil
	}
	if t.routes.relay {
		rosters[t.self.Datacentre()] = []uint64{t.self.Incarnation()}
		sight := t.sight()
		for _, m := range t.live {
			if sight[m.Incarnation()] || t.contacts[m.Name()].live(m.Incarnation()) {
				rosters[m.Datacentre()] = append(rosters[m.Datacentre()], m.Incarnation())
			}
		}
	}
	for _, dc := range slices.Sorted(maps.Keys(rosters)) {
		slices.Sort(rosters[dc])
		t.putRoster(dc, rosters[dc])
	}
}

// ownRosters returns the rosters that this router spreads, by data centre.
func (s State) ownRosters() map[string]value.Roster {
	m := map[string]value.Roster{}
	for i := range s.store.All(gossip.KindRoster) {
		if r, ok := i.Body().(value.Roster); ok && i.Origin() == s.self.Name() {
			m[r.Datacentre()] = r
		}
	}
	return m
}

// repeatRosters sends the own rosters again before they expire elsewhere.
func (t *turn) repeatRosters() {
	own := t.ownRosters()
	for _, dc := range slices.Sorted(maps.Keys(own)) {
		t.store = t.store.Put(own[dc], "", t.now)
	}
}

// emptyRosters withdraws what a paused relay has said; the rosters are put again once the view is fresh.
func (t *turn) emptyRosters() {
	for _, dc := range slices.Sorted(maps.Keys(t.ownRosters())) {
		t.putRoster(dc, nil)
	}
}

// sight returns the incarnations that relays of other data centres list for their own one and answer here.
//
// What the other relays of the own data centre say is left out, so that two of them cannot
// keep a dead router alive between them.
func (s State) sight() map[uint64]bool {
	m := map[uint64]bool{}
	for i := range s.store.All(gossip.KindRoster) {
		r, ok := i.Body().(value.Roster)
		if !ok || r.Datacentre() == s.self.Datacentre() || s.routes.places[i.Origin()].datacentre != r.Datacentre() {
			continue
		}
		if !s.contacts[i.Origin()].live(i.Incarnation()) {
			continue
		}
		for in := range r.Live().All() {
			m[in] = true
		}
	}
	return m
}

// putRoster stores a roster if it differs from the one that was spread last.
func (t *turn) putRoster(dc string, live []uint64) {
	i, known := t.store.Get(t.self.Name(), gossip.Key{Kind: gossip.KindRoster, Name: dc})
	if old, ok := i.Body().(value.Roster); ok && known && slices.Equal(slices.Collect(old.Live().All()), live) {
		return
	}
	if !known && len(live) == 0 {
		return
	}
	t.store = t.store.Put(value.Roster{}.WithDatacentre(dc).WithLive(value.ListOf(live...)), "", t.now)
	t.urgent = t.store.Sequence()
}

// look returns the view of the live routers and the shards; nil shards mean that they have not changed.
//
// The present view is returned when nothing differs, and its ownership is shared
// when only configuration versions do.
func (s State) look(shards []Shard) *View {
	if s.view == nil {
		v := newView(s.self, s.live, shards)
		v.stale = s.stale
		return v
	}
	same := shards == nil
	if same {
		shards = s.view.shards
	}
	fresh := &View{shards: shards, pools: s.view.pools, owners: s.view.owners}
	fresh.seat(s.self, s.live)
	if same && s.view.stale == s.stale && slices.Equal(fresh.members, s.view.members) {
		return s.view
	}
	if !same || !slices.EqualFunc(fresh.members, s.view.members, sameSeat) {
		fresh = newView(s.self, s.live, shards)
	}
	fresh.stale = s.stale
	return fresh
}

// sameSeat reports whether two states of a router give it the same shards.
func sameSeat(a, b value.Member) bool {
	return a.WithGeneration(0).WithDigest(0).WithBeat(0) == b.WithGeneration(0).WithDigest(0).WithBeat(0)
}

// company returns the routers to which connections are kept: the live ones and those that are tried.
func (t *turn) company() []value.Member {
	ms := slices.Clone(t.live)
	for name := range t.contacts {
		if _, live := t.view.named[name]; !live {
			ms = append(ms, t.address(name))
		}
	}
	return ms
}
