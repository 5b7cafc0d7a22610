package mesh

import (
	"math/rand/v2"
	"net/netip"

	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/gossip"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/value"
)

// decide takes an input over and performs the effects.
func (m *Mesh) decide(in input) {
	if h, ok := in.event.(member.GossipReceived); ok {
		if !h.Request {
			delete(m.exchanges, in.number)
		}
		m.renew(h.Gossip)
	}
	state, effects := m.state.Decide(in.event, m.Clock.Now())
	m.state = state
	for _, x := range effects {
		switch x := x.(type) {
		case member.Exchange:
			m.exchange(x)
		case member.Reply:
			if in.number == 0 {
				m.introduce(in.from)
				continue
			}
			m.send(in.from, in.number, value.MeetAnswer{}.WithGossip(x.Gossip))
		case member.Publish:
			old := m.view.Swap(x.View)
			m.OnView(old, x.View)
		case member.Deliver:
			m.OnItems(x.Items)
		case member.Log:
			m.Log.Write(x.Notice.Event(), logrus.Fields{"name": x.Name, "incarnation": x.Incarnation})
		}
	}
}

// renew begins again under a higher incarnation when a peer remembers an earlier process of this instance with a
// higher one, which happens when the time of day has been set back.
func (m *Mesh) renew(g value.Gossip) {
	own := m.state.Self()
	highest := own.Incarnation()
	for i := range g.Items().All() {
		if i.Origin() == own.Name() {
			highest = max(highest, i.Incarnation())
		}
	}
	if highest > own.Incarnation() {
		m.begin(highest + 1)
		clear(m.exchanges)
	}
}

// exchange sends a batch to a peer.
func (m *Mesh) exchange(x member.Exchange) {
	to, err := netip.ParseAddrPort(x.Peer.Address())
	if err != nil {
		m.Log.Write(event.MeshSendFailed, logrus.Fields{"to": x.Peer.Address(), "error": err.Error()})
		return
	}
	m.number++
	m.exchanges[m.number] = exchange{x.Peer.Name(), m.Clock.Now()}
	m.send(to, m.number, value.MeetRequest{}.WithGossip(x.Gossip))
}

// expire fails the exchanges that were not answered in time.
func (m *Mesh) expire(now hoist.Millis) {
	for n, x := range m.exchanges {
		if now-x.sent >= answerTime {
			delete(m.exchanges, n)
			m.decide(input{event: member.ExchangeFailed{Peer: x.peer}})
		}
	}
}

// join asks another instance for all members that it knows and introduces this one to it.
//
// The membership itself only exchanges with instances that it knows, and bounds what it sends; a whole list lets an
// instance that has just started, or that was cut off, take part at once. One in seedTurns goes to a seed, so that
// parts of the fleet that do not know each other meet.
func (m *Mesh) join(now hoist.Millis) {
	interval := joinInterval
	if now-m.begun > joinTime {
		interval = syncInterval
	}
	if m.joined > 0 && now-m.joined < interval {
		return
	}
	m.joined = now
	self := m.state.Self()
	item, ok := m.state.Store().Get(self.Name(), gossip.Key{Kind: gossip.KindMember})
	if !ok {
		return // A state always holds its own member item.
	}
	for _, to := range m.partners() {
		m.send(to, 0, value.MeetRequest{}.WithGossip(m.gossip([]value.Item{item})))
	}
}

// partners returns the instances that are asked for their members.
func (m *Mesh) partners() []netip.AddrPort {
	own, err := netip.ParseAddrPort(m.Settings.Peers().Address())
	if err != nil {
		return nil // New has checked the address.
	}
	var seeds, members []netip.AddrPort
	for s := range m.Settings.Peers().Seeds().All() {
		if a, err := netip.ParseAddrPort(s); err == nil && a.Addr() != own.Addr() {
			seeds = append(seeds, netip.AddrPortFrom(a.Addr(), own.Port()))
		}
	}
	for x := range m.state.Store().Members() {
		if a, err := netip.ParseAddrPort(x.Address()); err == nil && a != own {
			members = append(members, a)
		}
	}
	m.turn++
	switch {
	case len(members) == 0:
		return seeds
	case len(seeds) > 0 && m.turn%seedTurns == 0:
		return []netip.AddrPort{seeds[rand.N(len(seeds))]}
	default:
		return []netip.AddrPort{members[rand.N(len(members))]}
	}
}

// gossip returns a batch outside the exchanges of the membership; its heartbeat proves nothing.
func (m *Mesh) gossip(items []value.Item) value.Gossip {
	self := m.state.Self()
	return value.Gossip{}.WithSender(self.Name()).WithItems(value.ListOf(items...)).
		WithPulse(value.Pulse{}.WithIncarnation(self.Incarnation()))
}

// introduce answers an instance that has asked for all members.
func (m *Mesh) introduce(to netip.AddrPort) {
	var items []value.Item
	for i := range m.state.Store().All(gossip.KindMember) {
		items = append(items, i)
	}
	m.send(to, 0, value.MeetAnswer{}.WithGossip(m.gossip(items)))
}

// Converging reports whether the live instances are not known yet, or not any more after a pause.
func (m *Mesh) Converging() bool {
	v := m.View()
	alone := len(v.Members()) == 1 && m.Settings.Peers().Seeds().Len() > 0
	return v.Stale() || alone && m.Clock.Now()-m.begun < settleTime
}

// Reader returns the instance of the own data centre that reads the store; false means that this instance reads for
// itself, also while its view is stale.
func (m *Mesh) Reader() (string, bool) {
	v := m.View()
	w, ok := v.Watcher()
	if !ok || v.Stale() || w.Name() == m.Settings.Name() {
		return "", false
	}
	return w.Name(), true
}

// RandomPeer returns a live instance other than this one, chosen at random.
func (m *Mesh) RandomPeer() (string, bool) {
	var names []string
	for _, x := range m.View().Members() {
		if x.Name() != m.Settings.Name() && !x.Leaving() {
			names = append(names, x.Name())
		}
	}
	if len(names) == 0 {
		return "", false
	}
	return names[rand.N(len(names))], true
}

// LocalPeers returns the other live instances of the own data centre.
func (m *Mesh) LocalPeers() []string {
	var names []string
	for _, x := range m.View().Members() {
		if x.Datacentre() == m.Settings.Datacentre() && x.Name() != m.Settings.Name() {
			names = append(names, x.Name())
		}
	}
	return names
}
