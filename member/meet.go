package member

import (
	"maps"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/gossip"
	"chicoryhoist.example/hoist/value"
)

// watchKey is the rendezvous key of the router that holds a data centre's watch on the platform.
const watchKey = "watch"

// pulseBytes is the usual encoded size of a heartbeat with the sender's name.
const pulseBytes = 50

// meet begins the exchanges that are due.
func (t *turn) meet() {
	for _, name := range t.partners() {
		c := t.contacts[name]
		if !c.pending && t.due(name, c) {
			t.exchange(name, c)
		}
	}
}

// partners returns the routers with which self exchanges, in the order of their names.
func (t *turn) partners() []string {
	names := slices.Concat(slices.Collect(maps.Keys(t.routes.mesh)), slices.Collect(maps.Keys(t.routes.links)))
	for name, c := range t.contacts {
		if c.directed > c.acked && !t.routes.mesh[name] && !t.routes.links[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// due reports whether an exchange is to begin now.
//
// One side of a pair begins; the other steps in when it is late, when the peer has
// failed, or when the own view is stale.
func (t *turn) due(name string, c contact) bool {
	if t.now < c.next-hoist.Millis(t.timing.HeartbeatMs())/4 {
		return false
	}
	if !t.routes.mesh[name] && !t.routes.links[name] {
		return true
	}
	if c.condition != conditionLive || c.unconfirmed || c.retry || t.initiates(name) {
		return true
	}
	return t.now-c.heard >= t.interval(name)*3/2
}

// exchange begins an exchange with a peer.
func (t *turn) exchange(name string, c contact) {
	to := t.address(name)
	if to.Address() == "" {
		return
	}
	wait := t.interval(name)
	switch {
	case c.condition != conditionLive:
		wait = probeEvery
	case !t.routes.mesh[name] && !t.routes.links[name]:
		wait = max(wait, directedEvery)
	}
	c.pending = true
	c.sent = t.now
	c.next = t.now + wait
	g, c := t.batch(name, c)
	t.keep(name, c)
	t.emit(Exchange{to, g})
}

// reply answers a request of a peer.
func (t *turn) reply(name string) {
	c, ok := t.contacts[name]
	if !ok {
		t.emit(Reply{value.Gossip{}.WithSender(t.self.Name())})
		return
	}
	g, c := t.batch(name, c)
	t.keep(name, c)
	t.emit(Reply{g})
}

// batch returns what the peer lacks, and the contact after it is sent.
func (t *turn) batch(name string, c contact) (value.Gossip, contact) {
	t.budget = t.budget.Refill(t.now).Spend(gossip.MessageOverheadBytes + pulseBytes)
	// Each batch has its own beat, so that an echo tells which batches have arrived.
	t.beat++
	b := t.store.Delta(c.known(), c.urgentKnown(), t.budget.Available(), t.now, t.class(name))
	t.budget = t.budget.Spend(b.Bytes)
	c.pushed, c.pushedAt, c.carried = t.store.Sequence(), t.beat, b.UrgentEnd
	c.alerted = t.beat
	p := value.Pulse{}.WithIncarnation(t.self.Incarnation()).WithBeat(t.beat).WithEcho(c.beat).
		WithSequence(b.End).WithSpan(b.End - min(b.Start, b.End)).WithAck(c.received).WithWant(c.generation == 0).WithLosses(c.losses)
	if c.wants || c.echo < t.versionAt {
		p = p.WithGeneration(t.self.Generation()).WithDigest(t.self.Digest())
	}
	return value.Gossip{}.WithSender(t.self.Name()).WithItems(value.ListOf(b.Items...)).WithPulse(p), c
}

// push begins the exchanges that must not wait for a heartbeat.
//
// Urgent items wait for the heartbeats while the budget is used up; a burst of them would fill thin links.
func (t *turn) push() {
	alert := t.versionAt > t.pushedVersion
	if !alert && (t.urgent <= t.pushedUrgent || t.budget.Refill(t.now).Available() == 0) {
		return
	}
	alert = alert && t.heralds()
	all := true
	for _, name := range t.partners() {
		c := t.contacts[name]
		switch {
		case c.condition != conditionLive || !t.lacks(name, c, alert):
		case c.pending:
			all = false
		default:
			t.exchange(name, c)
		}
	}
	if all {
		t.pushedUrgent, t.pushedVersion = t.urgent, t.versionAt
	}
}

// lacks reports whether a peer has not been sent what must not wait.
func (t *turn) lacks(name string, c contact, alert bool) bool {
	if alert && max(c.echo, c.alerted) < t.versionAt {
		return true
	}
	after := max(c.urgentKnown(), c.pushed)
	return t.urgent > after && t.store.Delta(after, after, 0, t.now, t.class(name)).HasUrgent
}

// heralds reports whether self announces a new configuration at once: the relays do, and the
// router that holds the data centre's watch. The others learn it and need not repeat it.
func (t *turn) heralds() bool {
	if t.routes.relay {
		return true
	}
	w, ok := t.view.Watcher()
	return ok && w.Name() == t.self.Name()
}

// address returns the router as far as it is known; its address is empty when it is not.
func (s State) address(name string) value.Member {
	i, listed := s.listed[name]
	x, known := s.store.Get(name, gossip.Key{Kind: gossip.KindMember})
	m, ok := x.Body().(value.Member)
	if known && ok && (!listed || s.contacts[name].condition != conditionFailed || i.Peer() == m.Address()) {
		return m
	}
	return value.Member{}.WithName(name).WithAddress(i.Peer()).WithRegion(i.Region()).WithDatacentre(i.Datacentre())
}

// deadline is the time after which an exchange without an answer has failed.
const deadline = 500 * hoist.Millis(1)

// ExchangeTimeout returns the time that the runtime waits for the answer to an Exchange.
func ExchangeTimeout() hoist.Millis { return deadline }
