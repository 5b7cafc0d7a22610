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
	// relays is the number of routers of a data centre that exchange with other data centres;
	// three let two fail at once without a gap.
	relays = 3
	// meshStep is the number of routers in a data centre for each heartbeat interval between
	// two exchanges of a pair. With 58 routers a pair exchanges every second, which costs a
	// node about 6 KB/s of the 12 KB/s that it may spend.
	meshStep = 29
	// probeEvery is the interval of exchanges with a peer that does not answer.
	probeEvery = 2 * hoist.Second
	// directedEvery is the shortest interval of exchanges that only carry items for one peer.
	directedEvery = 1 * hoist.Second
	// probeBeats is the number of heartbeats after which another router of a silent data centre is tried.
	probeBeats = 8
)

// routes says with whom a router exchanges and what it spreads for others.
type routes struct {
	// relay reports whether self exchanges with other data centres.
	relay bool
	// mesh holds the other routers of the data centre.
	mesh map[string]bool
	// links holds the routers of other data centres with which self exchanges.
	links map[string]bool
	// local holds the live routers of the data centre, self among them.
	local []string
	// spreaders holds the router of the data centre that hands on the items of each remote one.
	spreaders map[string]string
	// places holds the data centre and region of each known router.
	places map[string]site
}

// site is where a router is.
type site struct{ region, datacentre string }

// plan returns the routes for the known and the live routers.
func (s State) plan() routes {
	r := routes{mesh: map[string]bool{}, links: map[string]bool{}, places: s.places()}
	home := s.self.Datacentre()
	alive := map[string][]string{home: {s.self.Name()}}
	for _, m := range s.live {
		alive[m.Datacentre()] = append(alive[m.Datacentre()], m.Name())
	}
	known := map[string][]string{}
	for name, p := range r.places {
		switch {
		case name == s.self.Name():
		case p.datacentre == home:
			r.mesh[name] = true
		default:
			known[p.datacentre] = append(known[p.datacentre], name)
		}
	}
	r.local = alive[home]
	slices.Sort(r.local)
	own := relaysOf(home, r.local)
	r.relay = slices.Contains(own, s.self.Name())
	r.spreaders = r.spread(home, s.routes)
	if !r.relay {
		return r
	}
	for dc, names := range known {
		there := relaysOf(dc, alive[dc])
		if len(there) == 0 || !s.rostered(dc) {
			there = s.probes(dc, names)
		}
		for i := range max(len(own), len(there)) {
			if own[i%len(own)] == s.self.Name() {
				r.links[there[i%len(there)]] = true
			}
		}
	}
	return r
}

// rostered reports whether a router of the data centre that answers here lists its data centre.
func (s State) rostered(dc string) bool {
	for i := range s.store.All(gossip.KindRoster) {
		r, ok := i.Body().(value.Roster)
		if ok && r.Datacentre() == dc && r.Live().Len() > 0 && s.contacts[i.Origin()].live(i.Incarnation()) &&
			s.routes.places[i.Origin()].datacentre == dc {
			return true
		}
	}
	return false
}

// probes returns the routers to try in a data centre from which no relay is heard.
//
// The first ones are its relays if all that are known are live; one more goes through
// the rest in turn.
func (s State) probes(dc string, names []string) []string {
	ranked := Rank(names, "relay/"+dc)
	if len(ranked) <= relays {
		return ranked
	}
	turn := int(s.ticks/probeBeats) % (len(ranked) - relays)
	return append(ranked[:relays:relays], ranked[relays+turn])
}

// relaysOf returns the routers that exchange for a data centre.
func relaysOf(dc string, alive []string) []string {
	ranked := Rank(alive, "relay/"+dc)
	return ranked[:min(relays, len(ranked))]
}

// places returns the region and data centre of each router that is listed or has spread its state.
func (s State) places() map[string]site {
	m := make(map[string]site, len(s.listed))
	for name, i := range s.listed {
		m[name] = site{i.Region(), i.Datacentre()}
	}
	for x := range s.store.Members() {
		m[x.Name()] = site{x.Region(), x.Datacentre()}
	}
	return m
}

// spread returns, for each router of another data centre, the router of the own one that hands on its items.
//
// What the routes before had worked out is kept while the own data centre's routers are the same.
func (r routes) spread(home string, before routes) map[string]string {
	kept := before.spreaders
	if !slices.Equal(before.local, r.local) {
		kept = nil
	}
	hashes := make([]uint64, len(r.local))
	for i, n := range r.local {
		hashes[i] = xxhash.Sum64String(n)
	}
	by := make(map[string]string, len(r.places))
	for origin, p := range r.places {
		if p.datacentre == home {
			continue
		}
		if s, ok := kept[origin]; ok {
			by[origin] = s
			continue
		}
		h := xxhash.Sum64String(origin)
		best := 0
		var top uint64
		for i := range hashes {
			if w := weight(hashes[i], h); i == 0 || w > top {
				best, top = i, w
			}
		}
		by[origin] = r.local[best]
	}
	return by
}

// class returns how each item is sent to the peer.
//
// Within a data centre each router sends its own items to all. Between data centres the
// relays send the items of their own one. An item that arrives from another data centre
// goes from the relays to one router, chosen by the hash of its origin, which sends it to all;
// that divides the work evenly. What must be known within 3 s goes from the relays to all.
func (s State) class(peer string) func(gossip.Record) gossip.Class {
	home := s.self.Datacentre()
	near := s.routes.places[peer].datacentre == home
	sameRegion := s.routes.places[peer].region == s.self.Region()
	return func(r gossip.Record) gossip.Class {
		origin := r.Item().Origin()
		own := origin == s.self.Name()
		switch {
		case r.Recipient() != "":
			return when(own && r.Recipient() == peer, gossip.Bulk)
		case origin == peer:
			return gossip.Withheld
		case near && own:
			return s.classNear(r)
		case near && s.routes.places[origin].datacentre == home:
			return gossip.Withheld
		case near:
			return s.classOnward(r, peer)
		case !s.routes.relay && r.Key().Kind != gossip.KindRoster:
			return when(own && r.Key().Kind == gossip.KindMember, gossip.Urgent)
		case !own && s.routes.places[origin].datacentre != home:
			return gossip.Withheld
		}
		return s.classFar(r, own, sameRegion)
	}
}

// when returns the class if the condition holds, and Withheld otherwise.
func when(ok bool, c gossip.Class) gossip.Class {
	if ok {
		return c
	}
	return gossip.Withheld
}

// classNear classifies an own item for a peer in the same data centre.
func (s State) classNear(r gossip.Record) gossip.Class {
	switch b := r.Item().Body().(type) {
	case value.Backlog:
		return gossip.Bulk
	case value.Roster:
		return when(b.Datacentre() != s.self.Datacentre(), gossip.Urgent)
	default:
		return gossip.Urgent
	}
}

// classOnward classifies an item of another data centre for a peer in the same data centre.
func (s State) classOnward(r gossip.Record, peer string) gossip.Class {
	if prompt(r.Item().Body()) {
		return when(s.routes.relay, gossip.Urgent)
	}
	kind := r.Key().Kind
	if kind != gossip.KindMember && kind != gossip.KindBacklog {
		return gossip.Withheld
	}
	by := s.routes.spreaders[r.Item().Origin()]
	return when(by == s.self.Name() || (s.routes.relay && by == peer), gossip.Bulk)
}

// classFar classifies an item of the own data centre for a relay of another one.
func (s State) classFar(r gossip.Record, own, sameRegion bool) gossip.Class {
	switch b := r.Item().Body().(type) {
	case value.Roster:
		return when(own && b.Datacentre() == s.self.Datacentre(), gossip.Urgent)
	case value.Backlog:
		return when(sameRegion, gossip.Bulk)
	case value.Member:
		if !own && !b.Leaving() {
			return gossip.Bulk
		}
	case value.Departure, value.Quarantine, value.Lease, value.Usage:
	}
	return gossip.Urgent
}

// prompt reports whether the item must be known everywhere within 3 s.
func prompt(body value.ItemBody) bool {
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

// interval returns the time between two exchanges of a pair.
func (s State) interval(peer string) hoist.Millis {
	beat := hoist.Millis(s.timing.HeartbeatMs())
	if !s.routes.mesh[peer] {
		return 2 * beat
	}
	return beat * hoist.Millis(1+len(s.routes.mesh)/meshStep)
}

// initiates reports whether self begins the exchanges of a pair; the other side only answers.
func (s State) initiates(peer string) bool {
	me, you := xxhash.Sum64String(s.self.Name()), xxhash.Sum64String(peer)
	a, b := weight(me, you), weight(you, me)
	return cmp.Or(cmp.Compare(a, b), cmp.Compare(s.self.Name(), peer)) > 0
}
