package router

import (
	"cmp"
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/place"
	"chicoryhoist.example/hoist/sched"
	"chicoryhoist.example/hoist/value"
)

const (
	// fleetInbox bounds the events that wait for the membership goroutine: several from each of its peers.
	fleetInbox = 1024
	// exchangeTime bounds one exchange with a peer; a slower one counts as failed.
	exchangeTime = hoist.Second
	// fetchTime bounds the fetch of a configuration.
	fetchTime = 3 * hoist.Second
)

// fleetInput is an event for the membership goroutine, with the channel for its reply or the configuration that it offers.
type fleetInput struct {
	event  member.Event
	spread member.ConfigSyncEvent
	reply  chan value.Gossip
	offer  *config.View
}

// fleet runs membership, gossip and the spread of the configuration in one goroutine.
type fleet struct {
	*Router
	published atomic.Pointer[member.View]
	inbox     chan fleetInput
	ended     chan struct{}
	backlogs  atomic.Pointer[map[string]value.Backlog]
	instances atomic.Pointer[value.InstanceList]

	// The fields below belong to the goroutine of run.
	state     member.State
	spread    member.ConfigSync
	claims    member.Ownership
	claimed   *member.View
	queue     []member.Event
	summaries hoist.Millis
	// slow holds the servers that were on probation at the last look.
	slow  map[string]bool
	watch context.CancelFunc
}

// newFleet returns a fleet that knows of no other instance yet.
func newFleet(r *Router) *fleet {
	f := &fleet{Router: r, inbox: make(chan fleetInput, fleetInbox), ended: make(chan struct{})}
	self := value.Member{}.WithName(r.settings.Name()).WithIncarnation(r.incarnation).
		WithAddress(cmp.Or(r.settings.Listen().Advertise(), r.settings.Listen().Peers())).WithRegion(r.settings.Region()).WithDatacentre(r.settings.Datacentre())
	f.state = member.New(self, r.settings.Timing(), r.clock.Now())
	f.published.Store(f.state.View())
	f.backlogs.Store(&map[string]value.Backlog{})
	f.instances.Store(&value.InstanceList{})
	return f
}

// view returns the latest membership view.
func (f *fleet) view() *member.View { return f.published.Load() }

// post passes an event to the membership goroutine.
func (f *fleet) post(e member.Event) { f.put(fleetInput{event: e}) }

// put passes an input to the membership goroutine; it reports false once that has ended.
func (f *fleet) put(i fleetInput) bool {
	select {
	case f.inbox <- i:
		return true
	case <-f.ended:
		return false
	}
}

// exchange answers the batch of a peer.
func (f *fleet) exchange(ctx context.Context, g value.Gossip) (value.Gossip, error) {
	reply := make(chan value.Gossip, 1)
	f.put(fleetInput{event: member.GossipReceived{Gossip: g, Request: true}, reply: reply})
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return value.Gossip{}, ctx.Err()
	case <-f.ended:
		return value.Gossip{}, context.Canceled
	}
}

// run processes events and heartbeats until ctx ends.
func (f *fleet) run(ctx context.Context) {
	defer close(f.ended)
	interval := hoist.Millis(f.settings.Timing().HeartbeatMs())
	ticker := time.NewTicker(interval.Duration())
	defer ticker.Stop()
	last := f.clock.Now()
	f.follows(member.ViewChanged{View: f.state.View()}, nil, ctx)
	for {
		var in fleetInput
		select {
		case <-ctx.Done():
			return
		case in = <-f.inbox:
		case <-ticker.C:
			now := f.clock.Now()
			in.event = member.Ticked{Elapsed: now - last}
			last = now
			in.spread = member.TimerFired{}
		}
		f.handle(ctx, in)
	}
}

// handle processes one input and the events that it causes in other parts.
func (f *fleet) handle(ctx context.Context, in fleetInput) {
	if in.event != nil {
		f.decide(ctx, in)
	}
	if in.spread != nil {
		f.follows(in.spread, in.offer, ctx)
	}
	if _, tick := in.event.(member.Ticked); tick {
		f.quotas.tick()
		f.summarise()
	}
	f.claim()
	for len(f.queue) > 0 {
		e := f.queue[0]
		f.queue = f.queue[1:]
		f.decide(ctx, fleetInput{event: e})
	}
}

// later queues an event from inside the membership goroutine.
func (f *fleet) later(e member.Event) { f.queue = append(f.queue, e) }

// summaryInterval is the time between two backlog summaries of a shard.
const summaryInterval = hoist.Second

// summarise spreads the backlogs of the shards that this router owns.
func (f *fleet) summarise() {
	now := f.clock.Now()
	if now-f.summaries < summaryInterval {
		return
	}
	f.summaries = now
	var items []value.Item
	f.watchHealth(f.dispatcher.states())
	for _, s := range f.dispatcher.states() {
		b := s.Backlog()
		items = append(items, value.Item{}.WithBody(b))
		f.later(member.ItemPublished{Body: b})
	}
	f.deliver(items)
}

// watchHealth logs the servers that have gone on probation or have left it since the last call.
func (f *fleet) watchHealth(states []sched.State) {
	slow := map[string]bool{}
	for _, s := range states {
		for x := range s.Table().Servers().All() {
			if x.Status() != place.StatusProbation {
				continue
			}
			slow[x.Name()] = true
			if !f.slow[x.Name()] {
				f.log.Write(event.ServerOnProbation, logrus.Fields{"server": x.Name(), "reason": x.Reason().String()})
			}
		}
	}
	for name := range f.slow {
		if !slow[name] {
			f.log.Write(event.Recovered, logrus.Fields{"server": name})
		}
	}
	f.slow = slow
}

// pressure returns the work of a shard per slot, as its owner last said; an unknown shard counts as idle.
func (f *fleet) pressure(shard string) float64 {
	b, ok := (*f.backlogs.Load())[shard]
	if !ok || b.Slots() == 0 {
		return 0
	}
	work := b.Busy()
	for n := range b.Waiting().All() {
		work += n
	}
	return float64(work) / float64(b.Slots())
}

// decide passes an event to the membership state and performs the effects.
func (f *fleet) decide(ctx context.Context, in fleetInput) {
	state, effects := f.state.Decide(in.event, f.clock.Now())
	f.state = state
	for _, x := range effects {
		switch x := x.(type) {
		case member.Exchange:
			f.spawn(func() { f.send(ctx, x) })
		case member.Reply:
			if in.reply != nil {
				in.reply <- x.Gossip
			}
		case member.Publish:
			f.publish(ctx, x)
		case member.Deliver:
			f.deliver(x.Items)
		case member.Log:
			f.note(x)
		}
	}
}

// send exchanges a batch with a peer.
func (f *fleet) send(ctx context.Context, x member.Exchange) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTime.Duration())
	defer cancel()
	answer, err := f.dispatcher.links.Exchange(ctx, x.Peer, x.Gossip)
	if err != nil {
		f.post(member.ExchangeFailed{Peer: x.Peer.Name()})
		return
	}
	f.post(member.GossipReceived{Gossip: answer})
}

// publish puts a view into force.
func (f *fleet) publish(ctx context.Context, x member.Publish) {
	old := f.published.Swap(x.View)
	f.dispatcher.links.CloseExcept(x.Connected)
	f.dispatcher.lost(old, x.View)
	f.dispatcher.sync(old, x.View)
	f.quotas.changed()
	f.follows(member.ViewChanged{View: x.View}, nil, ctx)
}

// claim follows the ownership of shards.
func (f *fleet) claim() {
	view, now := f.view(), f.clock.Now()
	if at, ok := f.claims.NextDeadline(); view == f.claimed && (!ok || at > now) {
		return
	}
	claims, effects := f.claims.Decide(view, now)
	f.claims, f.claimed = claims, view
	for _, x := range effects {
		switch x := x.(type) {
		case member.QueryAttempts:
			f.dispatcher.query(x)
		case member.EnterPhase:
			f.dispatcher.enter(x, view)
		}
	}
}

// deliver hands the items of other parts to them.
func (f *fleet) deliver(items []value.Item) {
	backlogs := maps.Clone(*f.backlogs.Load())
	for _, i := range items {
		switch b := i.Body().(type) {
		case value.Backlog:
			backlogs[b.Shard()] = b
		case value.Departure:
			f.dispatcher.departed(b.Server())
		case value.Quarantine:
			f.guard.learn(b)
		case value.Usage:
			f.quotas.asked(i.Origin(), b)
		case value.Lease:
			f.quotas.leased(b)
		case value.Member, value.Roster:
		}
	}
	f.backlogs.Store(&backlogs)
}

// note logs a change of membership.
func (f *fleet) note(x member.Log) {
	f.log.Write(x.Notice.Event(), logrus.Fields{"name": x.Name, "incarnation": x.Incarnation})
}

// listed takes over a new instance list.
func (f *fleet) listed(l value.InstanceList) {
	f.quotas.count(l.Instances())
	f.instances.Store(&l)
	f.post(member.InstancesListed{List: l})
}

// offered passes a configuration of the platform or of a peer to the spread.
func (f *fleet) offered(from string, v *config.View) {
	f.put(fleetInput{spread: member.Offered{From: from, Version: v.Version()}, offer: v})
}

// follows passes an event to the spread of the configuration and performs the effects.
func (f *fleet) follows(e member.ConfigSyncEvent, offer *config.View, ctx context.Context) {
	state, effects := f.spread.Decide(e, f.clock.Now())
	f.spread = state
	for _, x := range effects {
		switch x := x.(type) {
		case member.Watch:
			f.setWatch(ctx, x.On)
		case member.Read:
			f.spawn(func() { f.readConfiguration(ctx) })
		case member.Fetch:
			f.spawn(func() { f.fetch(ctx, x) })
		case member.Adopt:
			if offer != nil {
				f.config.offer(offer)
				f.quotas.changed()
				f.dispatcher.sync(f.view(), f.view())
				f.later(member.Configured{Version: offer.Version()})
			}
		}
	}
}

// setWatch starts or ends the watch on the platform's configuration.
func (f *fleet) setWatch(ctx context.Context, on bool) {
	if f.watch != nil {
		f.watch()
		f.watch = nil
	}
	if !on {
		return
	}
	ctx, f.watch = context.WithCancel(ctx)
	f.spawn(func() { f.followConfiguration(ctx) })
}

// fetch asks a peer for a newer configuration.
func (f *fleet) fetch(ctx context.Context, x member.Fetch) {
	ctx, cancel := context.WithTimeout(ctx, fetchTime.Duration())
	defer cancel()
	request := value.FetchRequest{}.WithGeneration(x.Held.Generation).WithDigest(x.Held.Digest)
	b, err := f.dispatcher.links.Fetch(ctx, x.From, request)
	var view *config.View
	if err == nil {
		view, err = f.config.received(b)
	}
	if err != nil || view == nil {
		f.put(fleetInput{spread: member.FetchFailed{From: x.From.Name()}})
		return
	}
	f.offered(x.From.Name(), view)
}
