package member

import (
	"maps"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/gossip"
	"chicoryhoist.example/hoist/value"
)

// Defaults of the timing settings, in milliseconds.
const (
	defaultHeartbeat = 500
	defaultSuspect   = 2000
	defaultPause     = 1500
)

// departure is the knowledge that a backend server is leaving.
type departure struct {
	since hoist.Millis
	// listed means that the instance list has confirmed it, so a later list may revive the name.
	listed bool
}

// departureLifetime is the time after which a departure that nobody repeats is forgotten.
const departureLifetime = 10 * hoist.Minute

// State is the immutable membership state of one router.
type State struct {
	self   value.Member
	timing value.Timing
	store  gossip.Store
	budget gossip.Bucket
	routes routes
	// contacts holds the peers by name.
	contacts map[string]contact
	// live holds the live routers without self, in the order of their names.
	live []value.Member
	view *View
	// listed holds the routers of the instance list; instances are its backend servers.
	listed      map[string]value.Instance
	instances   value.List[value.Instance]
	listVersion uint64
	// departing holds the incarnation of each router that another source says is leaving.
	departing map[string]uint64
	// departed holds the backend servers that are leaving.
	departed map[string]departure
	// stale is set from a pause, or from the start, until the peers have been heard again.
	stale      bool
	staleSince hoist.Millis
	booting    bool
	// last is the time of the last event.
	last hoist.Millis
	// beat counts heartbeats and the batches sent; wokeAt is the beat of the last pause.
	beat, wokeAt uint64
	// ticks counts the intervals of heartbeat_ms.
	ticks uint64
	// versionAt is the beat at which the configuration in force changed.
	versionAt uint64
	// urgent is the position of the last item that must not wait for a heartbeat.
	urgent uint64
	// pushedUrgent and pushedVersion are what every partner has been sent of urgent and versionAt.
	pushedUrgent, pushedVersion uint64
	// enrol is set when the rosters of a relay may have changed.
	enrol bool
	// reoffer is the time at which all items are offered again, or zero.
	reoffer hoist.Millis
	refresh hoist.Millis
}

// New returns the state of a router that has just started; its view is stale until it knows its peers.
func New(self value.Member, timing value.Timing, now hoist.Millis) State {
	if timing.HeartbeatMs() == 0 {
		timing = timing.WithHeartbeatMs(defaultHeartbeat)
	}
	if timing.SuspectMs() == 0 {
		timing = timing.WithSuspectMs(defaultSuspect)
	}
	if timing.PauseMs() == 0 {
		timing = timing.WithPauseMs(defaultPause)
	}
	s := State{
		self:       self,
		timing:     timing,
		store:      gossip.New(self.Name(), self.Incarnation(), uint64(now/hoist.Second)),
		budget:     gossip.NewBucket(now),
		stale:      true,
		booting:    true,
		staleSince: now,
		last:       now,
		beat:       1,
		refresh:    now + gossip.RefreshInterval,
	}
	s.store = s.store.Put(self, "", now)
	s.routes = s.plan()
	s.view = s.look(nil)
	return s
}

// View returns the view that was last published.
func (s State) View() *View { return s.view }

// Store returns the items that the router knows.
func (s State) Store() gossip.Store { return s.store }

// Self returns the router's own state.
func (s State) Self() value.Member { return s.self }

// turn is the work of one Decide call; it owns its copies of the maps that it writes.
type turn struct {
	State
	now     hoist.Millis
	effects []Effect
	copied  bool
	// relive asks for the live routers and relist for the shards to be worked out again.
	relive, relist bool
}

// Decide returns the state after the event and the effects that it causes.
func (s State) Decide(event Event, now hoist.Millis) (State, []Effect) {
	t := &turn{State: s, now: now}
	t.notice(event)
	switch e := event.(type) {
	case GossipReceived:
		t.hear(e)
	case ExchangeFailed:
		t.fail(e.Peer)
	case InstancesListed:
		t.list(e.List)
	case Ticked:
		t.tick()
	case ServerLeaving:
		t.depart(e.Server)
	case DrainStarted:
		t.drain()
	case Configured:
		t.configure(e)
	case ItemPublished:
		t.post(e)
	}
	t.settle()
	t.push()
	if e, ok := event.(GossipReceived); ok && e.Request {
		t.reply(e.Gossip.Sender())
	}
	t.last = now
	return t.State, t.effects
}

// notice detects a pause of the process: events come at least every heartbeat.
func (t *turn) notice(event Event) {
	pause := hoist.Millis(t.timing.PauseMs())
	silent := t.now - t.last
	if tick, ok := event.(Ticked); ok {
		silent = max(silent, tick.Elapsed)
	}
	if silent <= pause+hoist.Millis(t.timing.HeartbeatMs()) {
		return
	}
	t.stale = true
	t.staleSince = t.now
	t.beat++
	t.wokeAt = t.beat
	for name, c := range t.contacts {
		c.pending = false
		c.next = t.now
		if c.condition == conditionLive {
			c.heard, c.proved = t.now, t.now
			c.unconfirmed = true
		}
		t.keep(name, c)
	}
	t.emptyRosters()
	t.log(NoticePaused, t.self.Name(), t.self.Incarnation())
}

// keep stores a contact.
func (t *turn) keep(name string, c contact) {
	if !t.copied {
		t.contacts = maps.Clone(t.contacts)
		if t.contacts == nil {
			t.contacts = map[string]contact{}
		}
		t.copied = true
	}
	t.contacts[name] = c
}

// emit adds an effect.
func (t *turn) emit(e Effect) { t.effects = append(t.effects, e) }

// log adds a Log effect.
func (t *turn) log(n Notice, name string, incarnation uint64) { t.emit(Log{n, name, incarnation}) }

// hear takes a batch of a peer.
func (t *turn) hear(e GossipReceived) {
	name, p := e.Gossip.Sender(), e.Gossip.Pulse()
	if name == "" || name == t.self.Name() {
		if name != "" && p.Incarnation() > t.self.Incarnation() {
			t.log(NoticeReplaced, name, p.Incarnation())
		}
		return
	}
	old, known := t.contacts[name]
	if p.Incarnation() < old.incarnation {
		return
	}
	if known && old.incarnation != 0 && p.Incarnation() > old.incarnation {
		t.log(NoticeRestarted, name, p.Incarnation())
	}
	c := old.hear(p, t.beat, t.store.Sequence(), t.now)
	if !e.Request {
		c.pending, c.retry = false, false
		c.next = min(c.next, c.sent+t.interval(name))
	}
	if c.condition != conditionLive {
		c.next = min(c.next, t.now)
	}
	if c.unconfirmed && c.echo >= t.wokeAt {
		c.unconfirmed = false
	}
	if c.condition != old.condition || c.incarnation != old.incarnation || c.generation != old.generation || c.digest != old.digest {
		t.relive = true
	}
	if c.generation == t.self.Generation() && c.digest != t.self.Digest() && c.digest != old.digest {
		t.log(NoticeConflict, name, c.incarnation)
	}
	t.keep(name, c)
	t.merge(e.Gossip.Items())
}

// merge adds the items of a peer and hands on those of other parts.
func (t *turn) merge(items value.List[value.Item]) {
	var fresh, deliver []value.Item
	before := t.store
	t.store, fresh = t.store.Merge(items, t.now)
	for _, i := range fresh {
		switch b := i.Body().(type) {
		case value.Member:
			t.relive = t.relive || changed(before, i.Origin(), b)
		case value.Roster:
			t.relive = true
		case value.Departure:
			t.mark(b.Server(), false)
			deliver = append(deliver, i)
		default:
			deliver = append(deliver, i)
		}
		if t.routes.relay && prompt(i.Body()) {
			t.urgent = t.store.Sequence()
		}
	}
	if len(deliver) > 0 {
		t.emit(Deliver{deliver})
	}
}

// changed reports whether a member item differs from the one that the store held.
func changed(before gossip.Store, origin string, m value.Member) bool {
	i, ok := before.Get(origin, gossip.Key{Kind: gossip.KindMember})
	if !ok {
		return true
	}
	old, ok := i.Body().(value.Member)
	return !ok || old != m
}

// fail notes that an exchange got no answer; it is tried again at the next heartbeat.
func (t *turn) fail(peer string) {
	c, ok := t.contacts[peer]
	if !ok {
		return
	}
	c.pending, c.retry = false, true
	c.next = min(c.next, t.now)
	t.keep(peer, c)
}

// tick counts a heartbeat, finds the silent peers and begins the exchanges that are due.
func (t *turn) tick() {
	t.beat++
	t.ticks++
	suspect := hoist.Millis(t.timing.SuspectMs())
	for name, c := range t.contacts {
		d := c.judge(t.beat, suspect, t.now)
		if d != c {
			t.keep(name, d)
			if d.condition != c.condition {
				t.lose(name)
			}
		}
	}
	if t.ticks%probeBeats == 0 {
		t.relive = true
		t.store = t.store.Expire(t.now)
		t.forget()
	}
	if t.now >= t.refresh {
		t.refresh = t.now + gossip.RefreshInterval
		t.store = t.store.Put(t.self, "", t.now)
		t.repeatDepartures()
		t.repeatRosters()
	}
	t.settle()
	if t.reoffer != 0 && t.now >= t.reoffer {
		t.reoffer = 0
		t.offer(func(string) bool { return true })
	}
	t.publishRosters()
	t.meet()
}

// lose drops what holds only while the peer is in sight; the peer sends it again when it is back.
//
// A roster that was kept would take back routers that have failed in the meantime.
func (t *turn) lose(name string) {
	t.relive = true
	t.store = t.store.RemoveKind(name, gossip.KindRoster)
}

// forget drops the contacts of routers that are neither listed nor known by an item.
func (t *turn) forget() {
	places := t.places()
	for name, c := range t.contacts {
		if _, ok := places[name]; !ok && c.condition != conditionLive {
			t.keep(name, c)
			delete(t.contacts, name)
		}
	}
	for server, d := range t.departed {
		if t.now-d.since > departureLifetime {
			t.departed = maps.Clone(t.departed)
			delete(t.departed, server)
			t.relist = true
		}
	}
}

// drain announces that this router is leaving.
func (t *turn) drain() {
	if t.self.Leaving() {
		return
	}
	t.self = t.self.WithLeaving(true)
	t.store = t.store.Put(t.self, "", t.now)
	t.urgent = t.store.Sequence()
	t.relive = true
	t.log(NoticeLeaving, t.self.Name(), t.self.Incarnation())
}

// configure notes the configuration in force; heartbeats carry it to peers that have not echoed it.
func (t *turn) configure(e Configured) {
	t.self = t.self.WithGeneration(e.Version.Generation).WithDigest(e.Version.Digest)
	t.beat++
	t.versionAt = t.beat
	t.relive = true
}

// post stores an item of another part.
func (t *turn) post(e ItemPublished) {
	t.store = t.store.Put(e.Body, e.Recipient, t.now)
	if e.Recipient == "" {
		if prompt(e.Body) {
			t.urgent = t.store.Sequence()
		}
		return
	}
	c := t.contacts[e.Recipient]
	c.directed = t.store.Sequence()
	t.keep(e.Recipient, c)
}
