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

// decide applies an input to the membership state and performs the effects.
func (m *Mesh) decide(in input) {
	if h, ok := in.event.(member.GossipReceived); ok {
		if !h.Request {
			delete(m.exchanges, in.number)
		}
		m.raiseIncarnation(h.Gossip)
	}
	state, effects := m.state.Decide(in.event, m.Clock.Now())
	m.state = state
	for _, x := range effects {
		switch x := x.(type) {
		case member.Exchange:
			m.sendExchange(x)
		case member.Reply:
			if in.number == 0 {
				m.sendMembers(in.from)
				continue
			}
			m.send(in.from, in.number, value.MeetAnswer{}.WithGossip(x.Gossip))
		case member.Publish:
			m.OnView(m.setView(x.View), x.View)
		case member.Deliver:
			m.OnItems(x.Items)
		case member.Log:
			m.Log.Write(x.Notice.Event(), logrus.Fields{"name": x.Name, "incarnation": x.Incarnation})
		}
	}
}

// setView replaces the view and the plan that follows from it, and returns the old view.
func (m *Mesh) setView(v *member.View) *member.View {
	plan := member.PlanReaders(v)
	m.readerPlan.Store(&plan)
	return m.view.Swap(v)
}

// raiseIncarnation restarts the membership under a higher incarnation when a peer knows a higher incarnation of this
// instance from an earlier process, which occurs when the clock was set back.
func (m *Mesh) raiseIncarnation(g value.Gossip) {
	own := m.state.Self()
	highest := own.Incarnation()
	for i := range g.Items().All() {
		if i.Origin() == own.Name() {
			highest = max(highest, i.Incarnation())
		}
	}
	if highest > own.Incarnation() {
		m.startMembership(highest + 1)
		clear(m.exchanges)
	}
}

// sendExchange sends the request of an exchange to a peer.
func (m *Mesh) sendExchange(x member.Exchange) {
	to, err := netip.ParseAddrPort(x.Peer.Address())
	if err != nil {
		m.Log.Write(event.MeshSendFailed, logrus.Fields{"to": x.Peer.Address(), "error": err.Error()})
		return
	}
	m.lastNumber++
	m.exchanges[m.lastNumber] = pendingExchange{x.Peer.Name(), m.Clock.Now()}
	m.send(to, m.lastNumber, value.MeetRequest{}.WithGossip(x.Gossip))
}

// expireExchanges reports the exchanges that have timed out as failed.
func (m *Mesh) expireExchanges(now hoist.Millis) {
	for n, x := range m.exchanges {
		if now-x.sentAt >= exchangeTimeout {
			delete(m.exchanges, n)
			m.decide(input{event: member.ExchangeFailed{Peer: x.peer}})
		}
	}
}

// requestMembers requests all members from another instance, and sends it the member item of this one.
//
// The membership itself only exchanges with instances that it knows, and limits what it sends; a complete list lets an
// instance that has just started, or was disconnected, take part at once. One in joinRequestsPerSeed requests goes to a seed,
// so that parts of the fleet that do not know each other connect.
func (m *Mesh) requestMembers(now hoist.Millis) {
	interval := joinInterval
	if len(m.View().Members()) == 1 {
		interval = aloneJoinInterval
	}
	if now-m.startedAt > joinPhaseTime {
		interval = syncInterval
	}
	if m.joinRequestedAt > 0 && now-m.joinRequestedAt < interval {
		return
	}
	m.joinRequestedAt = now
	self := m.state.Self()
	item, ok := m.state.Store().Get(self.Name(), gossip.Key{Kind: gossip.KindMember})
	if !ok {
		return // A state always contains its own member item.
	}
	for _, to := range m.joinTargets() {
		m.send(to, 0, value.MeetRequest{}.WithGossip(m.buildGossip([]value.Item{item})))
	}
}

// joinTargets returns the instances to request members from.
func (m *Mesh) joinTargets() []netip.AddrPort {
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
	m.joinRequests++
	switch {
	case len(members) == 0:
		return seeds
	case len(seeds) > 0 && m.joinRequests%joinRequestsPerSeed == 0:
		return []netip.AddrPort{seeds[rand.N(len(seeds))]}
	default:
		return []netip.AddrPort{members[rand.N(len(members))]}
	}
}

// buildGossip returns a batch outside the exchanges of the membership; its heartbeat contains no beat, so the receiver
// does not count it as a response.
func (m *Mesh) buildGossip(items []value.Item) value.Gossip {
	self := m.state.Self()
	return value.Gossip{}.WithSender(self.Name()).WithItems(value.ListOf(items...)).
		WithPulse(value.Pulse{}.WithIncarnation(self.Incarnation()))
}

// sendMembers responds to a request for all members, and tells a starting instance what is quarantined.
func (m *Mesh) sendMembers(to netip.AddrPort) {
	var items []value.Item
	for i := range m.state.Store().All(gossip.KindMember) {
		items = append(items, i)
	}
	m.send(to, 0, value.MeetAnswer{}.WithGossip(m.buildGossip(items)).WithQuarantined(value.ListOf(m.Quarantined()...)))
}

// Converging reports whether the live instances are unknown because this instance has just started or was paused.
func (m *Mesh) Converging() bool {
	view := m.View()
	alone := len(view.Members()) == 1 && m.Settings.Peers().Seeds().Len() > 0
	return view.Stale() || alone && m.Clock.Now()-m.startedAt < convergenceTime
}

// ReaderPlan returns the part of this instance in reading the store.
func (m *Mesh) ReaderPlan() member.ReaderPlan { return *m.readerPlan.Load() }

// RandomPeer returns a random live instance other than this one.
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
