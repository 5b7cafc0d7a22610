package member

import (
	"maps"
	"slices"

	"chicoryhoist.example/hoist/gossip"
	"chicoryhoist.example/hoist/value"
)

// applyInstanceList applies a new instance list; an older one is ignored.
//
// The list lags behind, so it can announce that a router or server is leaving, but it never restores one that has failed,
// is leaving according to another source, or has restarted.
func (t *transition) applyInstanceList(l value.InstanceList) {
	if t.listedRouters != nil && l.Version() <= t.listVersion {
		return
	}
	before := t.listedRouters
	t.listVersion = l.Version()
	t.listedRouters = map[string]value.Instance{}
	var servers []value.Instance
	listed := map[string]bool{}
	for i := range l.Instances().All() {
		switch {
		case i.Kind() == KindRouter && i.Name() != t.self.Name():
			t.listedRouters[i.Name()] = i
			t.applyListedRouter(before, i)
		case i.Kind() != KindRouter && !listed[i.Name()]:
			listed[i.Name()] = true
			servers = append(servers, i)
			t.applyListedServer(i)
		}
	}
	t.listedServers = value.ListOf(servers...)
	for server := range t.leavingServers {
		if !listed[server] {
			t.leavingServers = maps.Clone(t.leavingServers)
			delete(t.leavingServers, server)
			t.store = t.store.Remove(gossip.Key{Kind: gossip.KindDeparture, Name: server})
		}
	}
	t.liveOutdated, t.shardsOutdated = true, true
}

// applyListedRouter marks a router as leaving when the list begins to show it as such.
//
// The list contains no incarnations, so the change applies to the incarnation known at that time.
func (t *transition) applyListedRouter(before map[string]value.Instance, i value.Instance) {
	if !i.Leaving() || before[i.Name()].Leaving() {
		return
	}
	if c, ok := t.contacts[i.Name()]; ok && c.incarnation != 0 {
		t.markRouterLeaving(i.Name(), c.incarnation)
		return
	}
	if item, ok := t.store.Get(i.Name(), gossip.Key{Kind: gossip.KindMember}); ok {
		t.markRouterLeaving(i.Name(), item.Incarnation())
	}
}

// markRouterLeaving records that an incarnation of a router is leaving.
func (t *transition) markRouterLeaving(name string, incarnation uint64) {
	t.leavingRouters = maps.Clone(t.leavingRouters)
	if t.leavingRouters == nil {
		t.leavingRouters = map[string]uint64{}
	}
	t.leavingRouters[name] = incarnation
}

// applyListedServer marks a backend server as leaving when the list shows it as such, and ends the departure when a later
// list shows it as running again.
func (t *transition) applyListedServer(i value.Instance) {
	d, known := t.leavingServers[i.Name()]
	switch {
	case i.Leaving():
		t.markServerLeaving(i.Name(), true)
	case known && d.confirmedByList:
		t.leavingServers = maps.Clone(t.leavingServers)
		delete(t.leavingServers, i.Name())
		t.store = t.store.Remove(gossip.Key{Kind: gossip.KindDeparture, Name: i.Name()})
	}
}

// markServerLeaving records that a backend server is leaving.
func (t *transition) markServerLeaving(server string, confirmedByList bool) {
	d, known := t.leavingServers[server]
	if !known {
		d.since = t.now
		t.log(NoticeDeparted, server, 0)
	}
	d.confirmedByList = d.confirmedByList || confirmedByList
	t.leavingServers = maps.Clone(t.leavingServers)
	if t.leavingServers == nil {
		t.leavingServers = map[string]departure{}
	}
	t.leavingServers[server] = d
	t.shardsOutdated = t.shardsOutdated || !known
}

// announceServerLeaving publishes that a backend server is leaving.
func (t *transition) announceServerLeaving(server string) {
	if _, known := t.leavingServers[server]; known {
		return
	}
	t.markServerLeaving(server, false)
	t.store = t.store.Put(value.Departure{}.WithServer(server), "", t.now)
	t.urgentSequence = t.store.Sequence()
}

// republishDepartures publishes the departures that this router has announced again while they last.
func (t *transition) republishDepartures() {
	for _, server := range slices.Sorted(maps.Keys(t.leavingServers)) {
		k := gossip.Key{Kind: gossip.KindDeparture, Name: server}
		if _, own := t.store.Get(t.self.Name(), k); own {
			t.store = t.store.Put(value.Departure{}.WithServer(server), "", t.now)
		}
	}
}

// backendServers returns the listed backend servers, with those that are known to be leaving marked as such.
func (s State) backendServers() value.List[value.Instance] {
	if len(s.leavingServers) == 0 {
		return s.listedServers
	}
	is := make([]value.Instance, 0, s.listedServers.Len())
	for i := range s.listedServers.All() {
		if _, leaving := s.leavingServers[i.Name()]; leaving {
			i = i.WithLeaving(true)
		}
		is = append(is, i)
	}
	return value.ListOf(is...)
}
