package member

import (
	"maps"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/gossip"
	"chicoryhoist.example/hoist/value"
)

// Defaults of the timing settings.
const (
	defaultHeartbeatMs = 500
	defaultSuspectMs   = 2000
	defaultPauseMs     = 1500
)

// departure records that a backend server is leaving.
type departure struct {
	since hoist.Millis
	// confirmedByList is set when an instance list has shown the server as leaving; a later list that shows it as
	// running then ends the departure.
	confirmedByList bool
}

// departureLifetime is the time after which a departure is removed.
const departureLifetime = 10 * hoist.Minute

// State is the immutable membership state of one router.
type State struct {
	self   value.Member
	timing value.Timing
	store  gossip.Store
	bucket gossip.Bucket
	routes routes
	// contacts holds the state of the exchanges with each peer, by router name.
	contacts map[string]contact
	// live holds the live routers without self, ordered by name.
	live []value.Member
	view *View
	// listedRouters and listedServers are the routers, without self, and the backend servers of the instance list.
	listedRouters map[string]value.Instance
	listedServers value.List[value.Instance]
	listVersion   uint64
	// leavingRouters holds the incarnations of the routers that the instance list shows as leaving.
	leavingRouters map[string]uint64
	// leavingServers holds the backend servers that are leaving, by name.
	leavingServers map[string]departure
	// stale is set for suspect_ms after the start, and after a pause until the peers have responded again; starting is set
	// during the former.
	stale       bool
	staleSince  hoist.Millis
	starting    bool
	lastEventAt hoist.Millis
	// beat counts the heartbeats and the sent batches; resumedBeat is the beat at which the last pause was detected.
	beat, resumedBeat uint64
	// ticks counts the heartbeat intervals.
	ticks uint64
	// versionBeat is the beat at which the configuration version in force changed.
	versionBeat uint64
	// urgentSequence is the sequence number of the last item that is sent without waiting for a heartbeat.
	urgentSequence uint64
	// pushedUrgentSequence and pushedVersionBeat are the values of urgentSequence and versionBeat that were sent to all
	// peers.
	pushedUrgentSequence, pushedVersionBeat uint64
	// rostersOutdated is set when the rosters that this router publishes as a relay may have changed.
	rostersOutdated bool
	// reofferAt is the time at which all items are offered to all peers again, or zero.
	reofferAt hoist.Millis
	// refreshAt is the time at which this router publishes its lasting items again.
	refreshAt hoist.Millis
}

// New returns the state of a router that has just started; its view is stale for suspect_ms, in which its peers respond.
func New(self value.Member, timing value.Timing, now hoist.Millis) State {
	if timing.HeartbeatMs() == 0 {
		timing = timing.WithHeartbeatMs(defaultHeartbeatMs)
	}
	if timing.SuspectMs() == 0 {
		timing = timing.WithSuspectMs(defaultSuspectMs)
	}
	if timing.PauseMs() == 0 {
		timing = timing.WithPauseMs(defaultPauseMs)
	}
	s := State{
		self:        self,
		timing:      timing,
		store:       gossip.New(self.Name(), self.Incarnation(), uint64(now/hoist.Second)),
		bucket:      gossip.NewBucket(now),
		stale:       true,
		starting:    true,
		staleSince:  now,
		lastEventAt: now,
		beat:        1,
		refreshAt:   now + gossip.RefreshInterval,
	}
	s.store = s.store.Put(self, "", now)
	s.routes = s.planRoutes()
	s.view = s.buildView(nil)
	return s
}

// View returns the current view.
func (s State) View() *View { return s.view }

// Store returns the items known to the router.
func (s State) Store() gossip.Store { return s.store }

// Self returns the member that describes this router.
func (s State) Self() value.Member { return s.self }

// transition is the state of one Decide call; it copies the maps of the state before it writes to them.
type transition struct {
	State
	now            hoist.Millis
	effects        []Effect
	contactsCopied bool
	// liveOutdated and shardsOutdated request that the live routers and the shards are computed again.
	liveOutdated, shardsOutdated bool
}

// Decide returns the state after the event, and the effects of the event.
func (s State) Decide(event Event, now hoist.Millis) (State, []Effect) {
	t := &transition{State: s, now: now}
	t.detectPause(event)
	switch e := event.(type) {
	case GossipReceived:
		t.receiveGossip(e)
	case ExchangeFailed:
		t.exchangeFailed(e.Peer)
	case InstancesListed:
		t.applyInstanceList(e.List)
	case Ticked:
		t.tick()
	case ServerLeaving:
		t.announceServerLeaving(e.Server)
	case DrainStarted:
		t.drain()
	case Configured:
		t.configure(e)
	case ItemPublished:
		t.publishItem(e)
	}
	t.recompute()
	t.pushUrgent()
	if e, ok := event.(GossipReceived); ok && e.Request {
		t.respond(e.Gossip.Sender())
	}
	t.lastEventAt = now
	return t.State, t.effects
}

// detectPause marks the view as stale when the time since the last event shows that the process was paused; events
// arrive at least every heartbeat interval.
func (t *transition) detectPause(event Event) {
	limit := hoist.Millis(t.timing.PauseMs())
	elapsed := t.now - t.lastEventAt
	if tick, ok := event.(Ticked); ok {
		elapsed = max(elapsed, tick.Elapsed)
	}
	if elapsed <= limit+hoist.Millis(t.timing.HeartbeatMs()) {
		return
	}
	t.stale = true
	t.staleSince = t.now
	t.beat++
	t.resumedBeat = t.beat
	for name, c := range t.contacts {
		c.pending = false
		c.nextExchange = t.now
		if c.condition == conditionLive {
			c.heartbeatAt, c.echoAt = t.now, t.now
			c.unconfirmed = true
		}
		t.setContact(name, c)
	}
	t.withdrawRosters()
	t.log(NoticePaused, t.self.Name(), t.self.Incarnation())
}

// setContact stores the contact of the peer with the name.
func (t *transition) setContact(name string, c contact) {
	if !t.contactsCopied {
		t.contacts = maps.Clone(t.contacts)
		if t.contacts == nil {
			t.contacts = map[string]contact{}
		}
		t.contactsCopied = true
	}
	t.contacts[name] = c
}

// emit adds an effect.
func (t *transition) emit(e Effect) { t.effects = append(t.effects, e) }

// log adds a Log effect.
func (t *transition) log(n Notice, name string, incarnation uint64) {
	t.emit(Log{n, name, incarnation})
}

// receiveGossip processes a batch from a peer.
func (t *transition) receiveGossip(e GossipReceived) {
	name, pulse := e.Gossip.Sender(), e.Gossip.Pulse()
	if name == "" || name == t.self.Name() {
		if name != "" && pulse.Incarnation() > t.self.Incarnation() {
			t.log(NoticeReplaced, name, pulse.Incarnation())
		}
		return
	}
	old, known := t.contacts[name]
	if pulse.Incarnation() < old.incarnation {
		return
	}
	if known && old.incarnation != 0 && pulse.Incarnation() > old.incarnation {
		t.log(NoticeRestarted, name, pulse.Incarnation())
	}
	c := old.receive(pulse, t.beat, t.store.Sequence(), t.now)
	if !e.Request {
		c.pending, c.retry = false, false
		c.nextExchange = min(c.nextExchange, c.sentAt+t.exchangeInterval(name))
	}
	if c.condition != conditionLive {
		c.nextExchange = min(c.nextExchange, t.now)
	}
	if c.unconfirmed && c.echo >= t.resumedBeat {
		c.unconfirmed = false
	}
	if c.condition != old.condition || c.incarnation != old.incarnation || c.generation != old.generation || c.digest != old.digest {
		t.liveOutdated = true
	}
	if c.generation == t.self.Generation() && c.digest != t.self.Digest() && c.digest != old.digest {
		t.log(NoticeConflict, name, c.incarnation)
	}
	t.setContact(name, c)
	t.mergeItems(e.Gossip.Items())
}

// mergeItems stores the items of a peer and delivers those of other components.
func (t *transition) mergeItems(items value.List[value.Item]) {
	var added, delivered []value.Item
	before := t.store
	t.store, added = t.store.Merge(items, t.now)
	for _, i := range added {
		switch b := i.Body().(type) {
		case value.Member:
			t.liveOutdated = t.liveOutdated || memberChanged(before, i.Origin(), b)
		case value.Roster:
			t.liveOutdated = true
		case value.Departure:
			t.markServerLeaving(b.Server(), false)
			delivered = append(delivered, i)
		default:
			delivered = append(delivered, i)
		}
		if t.routes.isRelay && urgentEverywhere(i.Body()) {
			t.urgentSequence = t.store.Sequence()
		}
	}
	if len(delivered) > 0 {
		t.emit(Deliver{delivered})
	}
}

// memberChanged reports whether the member item of the origin differs from the one in the earlier store.
func memberChanged(before gossip.Store, origin string, m value.Member) bool {
	i, ok := before.Get(origin, gossip.Key{Kind: gossip.KindMember})
	if !ok {
		return true
	}
	old, ok := i.Body().(value.Member)
	return !ok || old != m
}

// exchangeFailed records that an exchange got no response; the next heartbeat starts another one.
func (t *transition) exchangeFailed(peer string) {
	c, ok := t.contacts[peer]
	if !ok {
		return
	}
	c.pending, c.retry = false, true
	c.nextExchange = min(c.nextExchange, t.now)
	t.setContact(peer, c)
}

// tick counts a heartbeat interval, detects silent peers and starts the exchanges that are due.
func (t *transition) tick() {
	t.beat++
	t.ticks++
	suspect := hoist.Millis(t.timing.SuspectMs())
	for name, c := range t.contacts {
		updated := c.checkSilence(t.beat, suspect, t.now)
		if updated != c {
			t.setContact(name, updated)
			if updated.condition != c.condition {
				t.removeRosters(name)
			}
		}
	}
	if t.ticks%probeRotationTicks == 0 {
		t.liveOutdated = true
		t.store = t.store.Expire(t.now)
		t.removeUnknown()
	}
	if t.now >= t.refreshAt {
		t.refreshAt = t.now + gossip.RefreshInterval
		t.store = t.store.Put(t.self, "", t.now)
		t.republishDepartures()
		t.republishRosters()
	}
	t.recompute()
	if t.reofferAt != 0 && t.now >= t.reofferAt {
		t.reofferAt = 0
		t.reofferItems(func(string) bool { return true })
	}
	t.publishRosters()
	t.startDueExchanges()
}

// removeRosters removes the rosters of a failed peer, which sends them again once it is live.
//
// A roster that was retained would restore routers that have failed in the meantime.
func (t *transition) removeRosters(name string) {
	t.liveOutdated = true
	t.store = t.store.RemoveKind(name, gossip.KindRoster)
}

// removeUnknown removes the contacts of routers that are neither listed nor known by an item, and the departures
// whose lifetime is over.
func (t *transition) removeUnknown() {
	sites := t.sites()
	for name, c := range t.contacts {
		if _, ok := sites[name]; !ok && c.condition != conditionLive {
			t.setContact(name, c)
			delete(t.contacts, name)
		}
	}
	for server, d := range t.leavingServers {
		if t.now-d.since > departureLifetime {
			t.leavingServers = maps.Clone(t.leavingServers)
			delete(t.leavingServers, server)
			t.shardsOutdated = true
		}
	}
}

// drain announces that this router is leaving.
func (t *transition) drain() {
	if t.self.Leaving() {
		return
	}
	t.self = t.self.WithLeaving(true)
	t.store = t.store.Put(t.self, "", t.now)
	t.urgentSequence = t.store.Sequence()
	t.liveOutdated = true
	t.log(NoticeLeaving, t.self.Name(), t.self.Incarnation())
}

// configure records the configuration version in force; heartbeats carry it to the peers that have not echoed it.
func (t *transition) configure(e Configured) {
	t.self = t.self.WithGeneration(e.Version.Generation).WithDigest(e.Version.Digest)
	t.beat++
	t.versionBeat = t.beat
	t.liveOutdated = true
}

// publishItem stores an item of another component.
func (t *transition) publishItem(e ItemPublished) {
	t.store = t.store.Put(e.Body, e.Recipient, t.now)
	if e.Recipient == "" {
		if urgentEverywhere(e.Body) {
			t.urgentSequence = t.store.Sequence()
		}
		return
	}
	c := t.contacts[e.Recipient]
	c.directedSequence = t.store.Sequence()
	t.setContact(e.Recipient, c)
}
