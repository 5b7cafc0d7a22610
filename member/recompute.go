package member

import (
	"cmp"
	"maps"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/gossip"
	"chicoryhoist.example/hoist/value"
)

// recompute updates the live routers, the routes, the shards and the view after a change.
func (t *transition) recompute() {
	t.endStale()
	if !t.liveOutdated && !t.shardsOutdated && t.view.stale == t.stale {
		return
	}
	if t.liveOutdated {
		t.liveOutdated = false
		before := t.live
		t.live = t.liveMembers()
		t.reportChanges(before)
		t.updateRoutes()
		t.rostersOutdated = true
	}
	var shards []Shard
	if t.shardsOutdated {
		t.shardsOutdated = false
		shards = Layout(t.backendServers())
	}
	if v := t.buildView(shards); v != t.view {
		t.view = v
		t.emit(Publish{v, t.connectedMembers()})
	}
}

// endStale marks the view as current once every peer that was live before the pause has responded, or suspect_ms has
// passed; peers that have not responded by then have failed.
func (t *transition) endStale() {
	if !t.stale {
		return
	}
	waiting := t.starting
	for _, c := range t.contacts {
		waiting = waiting || (c.unconfirmed && c.condition == conditionLive)
	}
	if waiting && t.now-t.staleSince < hoist.Millis(t.timing.SuspectMs()) {
		return
	}
	for name, c := range t.contacts {
		if c.unconfirmed && c.condition == conditionLive {
			t.setContact(name, c.failed(t.beat))
			t.removeRosters(name)
		}
	}
	t.stale, t.starting = false, false
	t.liveOutdated = true
	t.log(NoticeRefreshed, t.self.Name(), t.self.Incarnation())
}

// liveMembers returns the live routers without self, ordered by name.
//
// A router of the local data centre is live when it responds to this router; one of a remote data centre is also live when
// a relay that can reach it lists it.
func (s State) liveMembers() []value.Member {
	reported := s.reportedLive()
	var live []value.Member
	for m := range s.store.Members() {
		if m.Name() == s.self.Name() {
			continue
		}
		c := s.contacts[m.Name()]
		direct := c.answersAs(m.Incarnation())
		if !direct && (m.Datacentre() == s.self.Datacentre() || !reported[m.Incarnation()]) {
			continue
		}
		if direct && c.generation != 0 {
			m = m.WithGeneration(c.generation).WithDigest(c.digest)
		}
		if incarnation, ok := s.leavingRouters[m.Name()]; ok && incarnation == m.Incarnation() {
			m = m.WithLeaving(true)
		}
		live = append(live, m)
	}
	slices.SortFunc(live, func(a, b value.Member) int { return cmp.Compare(a.Name(), b.Name()) })
	return live
}

// reportedLive returns the incarnations of remote data centres that live relays list.
//
// Rosters about remote data centres are accepted from local relays, and those of a remote relay only about its own data
// centre, so that two routers cannot keep a failed one live by listing it to each other.
func (s State) reportedLive() map[uint64]bool {
	local := s.self.Datacentre()
	reported := map[uint64]bool{}
	for i := range s.store.All(gossip.KindRoster) {
		r, ok := i.Body().(value.Roster)
		if !ok || !s.contacts[i.Origin()].answersAs(i.Incarnation()) {
			continue
		}
		from := s.routes.sites[i.Origin()].datacentre
		if r.Datacentre() == local || (from != local && from != r.Datacentre()) {
			continue
		}
		for incarnation := range r.Live().All() {
			reported[incarnation] = true
		}
	}
	return reported
}

// reportChanges logs how the live routers differ from those before, and removes the items of routers that have failed.
func (t *transition) reportChanges(before []value.Member) {
	previous := make(map[string]value.Member, len(before))
	for _, m := range before {
		previous[m.Name()] = m
	}
	for _, m := range t.live {
		old, ok := previous[m.Name()]
		delete(previous, m.Name())
		if !ok || old.Incarnation() != m.Incarnation() {
			t.log(NoticeJoined, m.Name(), m.Incarnation())
		}
		if m.Leaving() && (!old.Leaving() || old.Incarnation() != m.Incarnation()) {
			t.log(NoticeLeaving, m.Name(), m.Incarnation())
		}
	}
	failed := make([]value.Member, 0, len(previous))
	for _, m := range previous {
		failed = append(failed, m)
	}
	slices.SortFunc(failed, func(a, b value.Member) int { return cmp.Compare(a.Name(), b.Name()) })
	for _, m := range failed {
		t.log(NoticeFailed, m.Name(), m.Incarnation())
		t.store = t.store.RemoveFailed(m.Name())
	}
}

// updateRoutes recomputes the routes and offers all items again to the peers that now receive other items from this router.
func (t *transition) updateRoutes() {
	before := t.routes
	t.routes = t.planRoutes()
	if t.reofferAt == 0 && !slices.Equal(before.localLive, t.routes.localLive) {
		t.reofferAt = t.now + reofferDelay
	}
	t.reofferItems(func(name string) bool {
		added := (t.routes.localPeers[name] && !before.localPeers[name]) || (t.routes.relayPeers[name] && !before.relayPeers[name])
		return added || before.isRelay != t.routes.isRelay
	})
}

// reofferDelay is the time between a change of the live routers of the local data centre and the next offer of all items.
//
// Each router forwards the items of some remote routers. A change reassigns this duty, and the new forwarder must send what
// the former one had not sent yet. The delay lets one offer cover many changes, as when all routers start at once.
const reofferDelay = 5 * hoist.Second

// reofferItems offers all items again to the selected contacts.
func (t *transition) reofferItems(selected func(name string) bool) {
	advanced := false
	for name, c := range t.contacts {
		if !selected(name) {
			continue
		}
		if !advanced {
			t.store = t.store.AdvanceSequence()
			advanced = true
		}
		c.ackFloor = t.store.Sequence()
		t.setContact(name, c)
	}
}

// publishRosters publishes the rosters of a relay, and empty ones once this router is no longer a relay.
//
// It runs once per heartbeat, so that simultaneous changes lead to a single roster.
func (t *transition) publishRosters() {
	if t.stale || !t.rostersOutdated {
		return
	}
	t.rostersOutdated = false
	rosters := map[string][]uint64{}
	for dc := range t.ownRosters() {
		rosters[dc] = nil
	}
	if t.routes.isRelay {
		rosters[t.self.Datacentre()] = []uint64{t.self.Incarnation()}
		reported := t.reportedByRemoteRelays()
		for _, m := range t.live {
			if reported[m.Incarnation()] || t.contacts[m.Name()].answersAs(m.Incarnation()) {
				rosters[m.Datacentre()] = append(rosters[m.Datacentre()], m.Incarnation())
			}
		}
	}
	for _, dc := range slices.Sorted(maps.Keys(rosters)) {
		slices.Sort(rosters[dc])
		t.putRoster(dc, rosters[dc])
	}
}

// ownRosters returns the rosters published by this router, by data centre.
func (s State) ownRosters() map[string]value.Roster {
	m := map[string]value.Roster{}
	for i := range s.store.All(gossip.KindRoster) {
		if r, ok := i.Body().(value.Roster); ok && i.Origin() == s.self.Name() {
			m[r.Datacentre()] = r
		}
	}
	return m
}

// republishRosters publishes the own rosters again before they expire on other routers.
func (t *transition) republishRosters() {
	own := t.ownRosters()
	for _, dc := range slices.Sorted(maps.Keys(own)) {
		t.store = t.store.Put(own[dc], "", t.now)
	}
}

// withdrawRosters publishes empty rosters after a pause of a relay; the rosters are filled again once the view is current.
func (t *transition) withdrawRosters() {
	for _, dc := range slices.Sorted(maps.Keys(t.ownRosters())) {
		t.putRoster(dc, nil)
	}
}

// reportedByRemoteRelays returns the incarnations that live relays of remote data centres list for their own data centre.
//
// Rosters of other local relays are ignored, so that two relays cannot keep a failed router live by listing it to each
// other.
func (s State) reportedByRemoteRelays() map[uint64]bool {
	reported := map[uint64]bool{}
	for i := range s.store.All(gossip.KindRoster) {
		r, ok := i.Body().(value.Roster)
		if !ok || r.Datacentre() == s.self.Datacentre() || s.routes.sites[i.Origin()].datacentre != r.Datacentre() {
			continue
		}
		if !s.contacts[i.Origin()].answersAs(i.Incarnation()) {
			continue
		}
		for incarnation := range r.Live().All() {
			reported[incarnation] = true
		}
	}
	return reported
}

// putRoster publishes a roster if it differs from the last published one.
func (t *transition) putRoster(dc string, live []uint64) {
	i, known := t.store.Get(t.self.Name(), gossip.Key{Kind: gossip.KindRoster, Name: dc})
	if old, ok := i.Body().(value.Roster); ok && known && slices.Equal(slices.Collect(old.Live().All()), live) {
		return
	}
	if !known && len(live) == 0 {
		return
	}
	t.store = t.store.Put(value.Roster{}.WithDatacentre(dc).WithLive(value.ListOf(live...)), "", t.now)
	t.urgentSequence = t.store.Sequence()
}

// buildView returns the view of the live routers and the shards; nil shards mean that the shards have not changed.
//
// It returns the current view if nothing differs, and reuses its ownership if only configuration versions differ.
func (s State) buildView(shards []Shard) *View {
	if s.view == nil {
		v := newView(s.self, s.live, shards)
		v.stale = s.stale
		return v
	}
	sameShards := shards == nil
	if sameShards {
		shards = s.view.shards
	}
	next := &View{shards: shards, pools: s.view.pools, owners: s.view.owners}
	next.setMembers(s.self, s.live)
	if sameShards && s.view.stale == s.stale && slices.Equal(next.members, s.view.members) {
		return s.view
	}
	if !sameShards || !slices.EqualFunc(next.members, s.view.members, sameOwnership) {
		next = newView(s.self, s.live, shards)
	}
	next.stale = s.stale
	return next
}

// sameOwnership reports whether two states of a router lead to the same shard ownership.
func sameOwnership(a, b value.Member) bool {
	return a.WithGeneration(0).WithDigest(0).WithBeat(0) == b.WithGeneration(0).WithDigest(0).WithBeat(0)
}

// connectedMembers returns the routers to which connections are kept open: the live ones and those that are probed.
func (t *transition) connectedMembers() []value.Member {
	ms := slices.Clone(t.live)
	for name := range t.contacts {
		if _, live := t.view.byName[name]; !live {
			ms = append(ms, t.knownMember(name))
		}
	}
	return ms
}
