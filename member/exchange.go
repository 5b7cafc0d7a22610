package member

import (
	"maps"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/gossip"
	"chicoryhoist.example/hoist/value"
)

// watchKey is the rendezvous key for the router of a data centre that watches the platform.
const watchKey = "watch"

// heartbeatBytes is the usual encoded size of a heartbeat with the sender's name.
const heartbeatBytes = 50

// startDueExchanges starts the exchanges that are due.
func (t *transition) startDueExchanges() {
	for _, name := range t.exchangePeers() {
		c := t.contacts[name]
		if !c.pending && t.exchangeDue(name, c) {
			t.startExchange(name, c)
		}
	}
}

// exchangePeers returns the routers with which this router exchanges, ordered by name.
func (t *transition) exchangePeers() []string {
	names := slices.Concat(slices.Collect(maps.Keys(t.routes.localPeers)), slices.Collect(maps.Keys(t.routes.relayPeers)))
	for name, c := range t.contacts {
		if c.directedSequence > c.ackedSequence && !t.routes.localPeers[name] && !t.routes.relayPeers[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// exchangeDue reports whether an exchange is to start now.
//
// One side of a pair starts the exchanges. The other side does so when the first is late, or when the peer has failed, is
// unconfirmed after a pause, or did not respond to the last exchange.
func (t *transition) exchangeDue(name string, c contact) bool {
	if t.now < c.nextExchange-hoist.Millis(t.timing.HeartbeatMs())/4 {
		return false
	}
	if !t.routes.localPeers[name] && !t.routes.relayPeers[name] {
		return true
	}
	if c.condition != conditionLive || c.unconfirmed || c.retry || t.initiates(name) {
		return true
	}
	return t.now-c.heartbeatAt >= t.exchangeInterval(name)*3/2
}

// startExchange starts an exchange with a peer.
func (t *transition) startExchange(name string, c contact) {
	to := t.knownMember(name)
	if to.Address() == "" {
		return
	}
	interval := t.exchangeInterval(name)
	switch {
	case c.condition != conditionLive:
		interval = probeInterval
	case !t.routes.localPeers[name] && !t.routes.relayPeers[name]:
		interval = max(interval, directedInterval)
	}
	c.pending = true
	c.sentAt = t.now
	c.nextExchange = t.now + interval
	batch, c := t.buildBatch(name, c)
	t.setContact(name, c)
	t.emit(Exchange{to, batch})
}

// respond sends the response to a request of a peer.
func (t *transition) respond(name string) {
	c, ok := t.contacts[name]
	if !ok {
		t.emit(Reply{value.Gossip{}.WithSender(t.self.Name())})
		return
	}
	batch, c := t.buildBatch(name, c)
	t.setContact(name, c)
	t.emit(Reply{batch})
}

// buildBatch returns the items that the peer lacks, and the contact after the batch is sent.
func (t *transition) buildBatch(name string, c contact) (value.Gossip, contact) {
	t.bucket = t.bucket.Refill(t.now).Spend(gossip.MessageOverheadBytes + heartbeatBytes)
	// Each batch has its own beat, so that an echo identifies the batches that have arrived.
	t.beat++
	delta := t.store.Delta(c.knownSequence(), c.knownUrgentSequence(), t.bucket.Available(), t.now, t.classFor(name))
	t.bucket = t.bucket.Spend(delta.Bytes)
	c.sentSequence, c.sentBeat, c.sentUrgentSequence = t.store.Sequence(), t.beat, delta.UrgentEnd
	c.announcedBeat = t.beat
	pulse := value.Pulse{}.WithIncarnation(t.self.Incarnation()).WithBeat(t.beat).WithEcho(c.beat).
		WithSequence(delta.End).WithSpan(delta.End - min(delta.Start, delta.End)).WithAck(c.receivedSequence).WithWant(c.generation == 0).WithLosses(c.losses)
	if c.wantsVersion || c.echo < t.versionBeat {
		pulse = pulse.WithGeneration(t.self.Generation()).WithDigest(t.self.Digest())
	}
	return value.Gossip{}.WithSender(t.self.Name()).WithItems(value.ListOf(delta.Items...)).WithPulse(pulse), c
}

// pushUrgent starts the exchanges that must not wait for a heartbeat.
//
// Urgent items wait for the heartbeats while the token bucket is empty, because a burst of them would fill thin links.
func (t *transition) pushUrgent() {
	announce := t.versionBeat > t.pushedVersionBeat
	if !announce && (t.urgentSequence <= t.pushedUrgentSequence || t.bucket.Refill(t.now).Available() == 0) {
		return
	}
	announce = announce && t.announcesVersion()
	complete := true
	for _, name := range t.exchangePeers() {
		c := t.contacts[name]
		switch {
		case c.condition != conditionLive || !t.lacksUrgent(name, c, announce):
		case c.pending:
			complete = false
		default:
			t.startExchange(name, c)
		}
	}
	if complete {
		t.pushedUrgentSequence, t.pushedVersionBeat = t.urgentSequence, t.versionBeat
	}
}

// lacksUrgent reports whether urgent items or the configuration version have not been sent to a peer.
func (t *transition) lacksUrgent(name string, c contact, announce bool) bool {
	if announce && max(c.echo, c.announcedBeat) < t.versionBeat {
		return true
	}
	after := max(c.knownUrgentSequence(), c.sentSequence)
	return t.urgentSequence > after && t.store.Delta(after, after, 0, t.now, t.classFor(name)).HasUrgent
}

// announcesVersion reports whether this router announces a new configuration version at once. Relays and the watcher of the
// data centre do; the others receive it from them and need not repeat it.
func (t *transition) announcesVersion() bool {
	if t.routes.isRelay {
		return true
	}
	w, ok := t.view.Watcher()
	return ok && w.Name() == t.self.Name()
}

// knownMember returns what is known about a router; its address is empty if it is unknown.
func (s State) knownMember(name string) value.Member {
	instance, listed := s.listedRouters[name]
	item, found := s.store.Get(name, gossip.Key{Kind: gossip.KindMember})
	m, ok := item.Body().(value.Member)
	if found && ok && (!listed || s.contacts[name].condition != conditionFailed || instance.Peer() == m.Address()) {
		return m
	}
	return value.Member{}.WithName(name).WithAddress(instance.Peer()).WithRegion(instance.Region()).WithDatacentre(instance.Datacentre())
}

// exchangeTimeout is the time after which an exchange without a response has failed.
const exchangeTimeout = 500 * hoist.Millis(1)

// ExchangeTimeout returns the time that the runtime waits for the response to an Exchange.
func ExchangeTimeout() hoist.Millis { return exchangeTimeout }
