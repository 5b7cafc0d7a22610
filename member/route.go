package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/gossip"
	"chicoryhoist.example/hoist/value"
)

const (
	// relaysPerDatacentre is the number of routers of a data centre that exchange with remote data centres; with three, two
	// can fail at once without an interruption.
	relaysPerDatacentre = 3
	// peersPerHeartbeat is the number of peers in the data centre for which the interval of a pair grows by one heartbeat
	// interval. With 58 routers a pair exchanges every second, which costs a node about 6 KB/s of the 12 KB/s that it may
	// send.
	peersPerHeartbeat = 29
	// probeInterval is the interval of exchanges with a peer that does not respond.
	probeInterval = 2 * hoist.Second
	// directedInterval is the shortest interval of exchanges that only carry items for a single recipient.
	directedInterval = 1 * hoist.Second
	// probeRotationTicks is the number of heartbeat intervals after which another router of an unreachable data centre is
	// probed, and expired items are removed.
	probeRotationTicks = 8
)

// routes holds the peers of a router and the items that it forwards.
type routes struct {
	// isRelay reports whether this router exchanges with remote data centres.
	isRelay bool
	// localPeers holds the other routers of the local data centre.
	localPeers map[string]bool
	// relayPeers holds the routers of remote data centres with which this router exchanges.
	relayPeers map[string]bool
	// localLive holds the live routers of the local data centre, including self.
	localLive []string
	// forwarders maps each remote router to the local router that forwards its items.
	forwarders map[string]string
	// sites holds the data centre and region of each known router.
	sites map[string]site
}

// site is the location of a router.
type site struct{ region, datacentre string }

// planRoutes returns the routes for the known and the live routers.
func (s State) planRoutes() routes {
	r := routes{localPeers: map[string]bool{}, relayPeers: map[string]bool{}, sites: s.sites()}
	local := s.self.Datacentre()
	live := map[string][]string{local: {s.self.Name()}}
	for _, m := range s.live {
		live[m.Datacentre()] = append(live[m.Datacentre()], m.Name())
	}
	known := map[string][]string{}
	for name, p := range r.sites {
		switch {
		case name == s.self.Name():
		case p.datacentre == local:
			r.localPeers[name] = true
		default:
			known[p.datacentre] = append(known[p.datacentre], name)
		}
	}
	r.localLive = live[local]
	slices.Sort(r.localLive)
	ownRelays := relaysOf(local, r.localLive)
	r.isRelay = slices.Contains(ownRelays, s.self.Name())
	r.forwarders = r.assignForwarders(local, s.routes)
	if !r.isRelay {
		return r
	}
	for dc, names := range known {
		remoteRelays := relaysOf(dc, live[dc])
		if len(remoteRelays) == 0 || !s.hasRoster(dc) {
			remoteRelays = s.probeTargets(dc, names)
		}
		for i := range max(len(ownRelays), len(remoteRelays)) {
			if ownRelays[i%len(ownRelays)] == s.self.Name() {
				r.relayPeers[remoteRelays[i%len(remoteRelays)]] = true
			}
		}
	}
	return r
}

// hasRoster reports whether a live router of the data centre has published a roster of it.
func (s State) hasRoster(dc string) bool {
	for i := range s.store.All(gossip.KindRoster) {
		r, ok := i.Body().(value.Roster)
		if ok && r.Datacentre() == dc && r.Live().Len() > 0 && s.contacts[i.Origin()].answersAs(i.Incarnation()) &&
			s.routes.sites[i.Origin()].datacentre == dc {
			return true
		}
	}
	return false
}

// probeTargets returns the routers to probe in a data centre whose relays are unreachable.
//
// The first ones are its relays if all known routers are live; one more rotates through the others.
func (s State) probeTargets(dc string, names []string) []string {
	ranked := Rank(names, "relay/"+dc)
	if len(ranked) <= relaysPerDatacentre {
		return ranked
	}
	offset := int(s.ticks/probeRotationTicks) % (len(ranked) - relaysPerDatacentre)
	return append(ranked[:relaysPerDatacentre:relaysPerDatacentre], ranked[relaysPerDatacentre+offset])
}

// relaysOf returns the relays of a data centre with the live routers.
func relaysOf(dc string, live []string) []string {
	ranked := Rank(live, "relay/"+dc)
	return ranked[:min(relaysPerDatacentre, len(ranked))]
}

// sites returns the region and data centre of each router that is listed or has published its member item.
func (s State) sites() map[string]site {
	sites := make(map[string]site, len(s.listedRouters))
	for name, i := range s.listedRouters {
		sites[name] = site{i.Region(), i.Datacentre()}
	}
	for member := range s.store.Members() {
		sites[member.Name()] = site{member.Region(), member.Datacentre()}
	}
	return sites
}

// assignForwarders returns, for each remote router, the local router that forwards its items.
//
// The assignments of the previous routes are reused while the routers of the local data centre are the same.
func (r routes) assignForwarders(local string, previous routes) map[string]string {
	reused := previous.forwarders
	if !slices.Equal(previous.localLive, r.localLive) {
		reused = nil
	}
	hashes := make([]uint64, len(r.localLive))
	for i, n := range r.localLive {
		hashes[i] = xxhash.Sum64String(n)
	}
	assigned := make(map[string]string, len(r.sites))
	for origin, place := range r.sites {
		if place.datacentre == local {
			continue
		}
		if s, ok := reused[origin]; ok {
			assigned[origin] = s
			continue
		}
		h := xxhash.Sum64String(origin)
		best := 0
		var maxWeight uint64
		for i := range hashes {
			if w := weight(hashes[i], h); i == 0 || w > maxWeight {
				best, maxWeight = i, w
			}
		}
		assigned[origin] = r.localLive[best]
	}
	return assigned
}

// classFor returns a function that classifies items for the peer.
//
// Within a data centre each router sends its own items to all others. Between data centres the relays send the items of
// their own data centre. An item that arrives from a remote data centre goes from the relays to one local router, chosen by
// the hash of its origin, which sends it to all others; this divides the work evenly. Items that must be known within 3 s
// go from the relays to all.
func (s State) classFor(peer string) func(gossip.Record) gossip.Class {
	local := s.self.Datacentre()
	isLocal := s.routes.sites[peer].datacentre == local
	sameRegion := s.routes.sites[peer].region == s.self.Region()
	return func(r gossip.Record) gossip.Class {
		origin := r.Item().Origin()
		own := origin == s.self.Name()
		switch {
		case r.Recipient() != "":
			return classIf(own && r.Recipient() == peer, gossip.Bulk)
		case origin == peer:
			return gossip.Withheld
		case isLocal && own:
			return s.classLocal(r)
		case isLocal && s.routes.sites[origin].datacentre == local:
			return gossip.Withheld
		case isLocal:
			return s.classForwarded(r, peer)
		case !s.routes.isRelay && r.Key().Kind != gossip.KindRoster:
			return classIf(own && r.Key().Kind == gossip.KindMember, gossip.Urgent)
		case !own && s.routes.sites[origin].datacentre != local:
			return gossip.Withheld
		}
		return s.classRemote(r, own, sameRegion)
	}
}

// classIf returns the class if the condition holds, and Withheld otherwise.
func classIf(ok bool, c gossip.Class) gossip.Class {
	if ok {
		return c
	}
	return gossip.Withheld
}

// classLocal classifies an own item for a peer in the local data centre.
func (s State) classLocal(r gossip.Record) gossip.Class {
	switch b := r.Item().Body().(type) {
	case value.Backlog:
		return gossip.Bulk
	case value.Roster:
		return classIf(b.Datacentre() != s.self.Datacentre(), gossip.Urgent)
	default:
		return gossip.Urgent
	}
}

// classForwarded classifies an item of a remote data centre for a peer in the local data centre.
func (s State) classForwarded(r gossip.Record, peer string) gossip.Class {
	if urgentEverywhere(r.Item().Body()) {
		return classIf(s.routes.isRelay, gossip.Urgent)
	}
	kind := r.Key().Kind
	if kind != gossip.KindMember && kind != gossip.KindBacklog {
		return gossip.Withheld
	}
	forwarder := s.routes.forwarders[r.Item().Origin()]
	return classIf(forwarder == s.self.Name() || (s.routes.isRelay && forwarder == peer), gossip.Bulk)
}

// classRemote classifies an item of the local data centre for a relay of a remote one.
func (s State) classRemote(r gossip.Record, own, sameRegion bool) gossip.Class {
	switch b := r.Item().Body().(type) {
	case value.Roster:
		return classIf(own && b.Datacentre() == s.self.Datacentre(), gossip.Urgent)
	case value.Backlog:
		return classIf(sameRegion, gossip.Bulk)
	case value.Member:
		if !own && !b.Leaving() {
			return gossip.Bulk
		}
	case value.Departure, value.Quarantine, value.Lease, value.Usage:
	}
	return gossip.Urgent
}

// urgentEverywhere reports whether the item must be known on all routers within 3 s.
func urgentEverywhere(body value.ItemBody) bool {
	switch b := body.(type) {
	case value.Departure, value.Quarantine:
		return true
	case value.Member:
		return b.Leaving()
	case value.Roster, value.Backlog, value.Usage, value.Lease:
		return false
	}
	return false
}

// exchangeInterval returns the interval of the exchanges of a pair.
func (s State) exchangeInterval(peer string) hoist.Millis {
	heartbeat := hoist.Millis(s.timing.HeartbeatMs())
	if !s.routes.localPeers[peer] {
		return 2 * heartbeat
	}
	return heartbeat * hoist.Millis(1+len(s.routes.localPeers)/peersPerHeartbeat)
}

// initiates reports whether this router starts the exchanges of a pair; the other side then only responds.
func (s State) initiates(peer string) bool {
	own, other := xxhash.Sum64String(s.self.Name()), xxhash.Sum64String(peer)
	a, b := weight(own, other), weight(other, own)
	return cmp.Or(cmp.Compare(a, b), cmp.Compare(s.self.Name(), peer)) > 0
}
