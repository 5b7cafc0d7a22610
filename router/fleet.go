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
	// fleetInboxSize bounds the events queued for the membership goroutine: several from each peer.
	fleetInboxSize = 1024
	// exchangeTimeout bounds one gossip exchange with a peer; a slower exchange counts as failed.
	exchangeTimeout = hoist.Second
	// fetchTimeout bounds the fetch of a configuration from a peer.
	fetchTimeout = 3 * hoist.Second
)

// fleetInput is an input of the membership goroutine: an event, with the channel for the response if there is one, or
// an event of the configuration sync, with the offered configuration if there is one.
type fleetInput struct {
	event      member.Event
	configSync member.ConfigSyncEvent
	response   chan value.Gossip
	offered    *config.View
}

// fleet runs membership, gossip and configuration sync in one goroutine.
type fleet struct {
	*Router
	currentView atomic.Pointer[member.View]
	inbox       chan fleetInput
	done        chan struct{}
	backlogs    atomic.Pointer[map[string]value.Backlog]
	instances   atomic.Pointer[value.InstanceList]

	// The fields below are accessed only by the goroutine of run.
	state         member.State
	configSync    member.ConfigSync
	ownership     member.Ownership
	ownershipView *member.View
	deferred      []member.Event
	lastBacklogs  hoist.Millis
	// onProbation holds the names of the servers that were on probation at the last call of logProbation.
	onProbation map[string]bool
	stopWatch   context.CancelFunc
}

// newFleet returns a fleet that knows only this router.
func newFleet(r *Router) *fleet {
	f := &fleet{Router: r, inbox: make(chan fleetInput, fleetInboxSize), done: make(chan struct{})}
	self := value.Member{}.WithName(r.settings.Name()).WithIncarnation(r.incarnation).
		WithAddress(cmp.Or(r.settings.Listen().Advertise(), r.settings.Listen().Peers())).WithRegion(r.settings.Region()).WithDatacentre(r.settings.Datacentre())
	f.state = member.New(self, r.settings.Timing(), r.clock.Now())
	f.currentView.Store(f.state.View())
	f.backlogs.Store(&map[string]value.Backlog{})
	f.instances.Store(&value.InstanceList{})
	return f
}

// view returns the current membership view.
func (f *fleet) view() *member.View { return f.currentView.Load() }

// post passes an event to the membership goroutine.
func (f *fleet) post(e member.Event) { f.submit(fleetInput{event: e}) }

// submit passes an input to the membership goroutine; it returns false if that has ended.
func (f *fleet) submit(i fleetInput) bool {
	select {
	case f.inbox <- i:
		return true
	case <-f.done:
		return false
	}
}

// handleExchange handles a gossip exchange that a peer has started.
func (f *fleet) handleExchange(ctx context.Context, g value.Gossip) (value.Gossip, error) {
	reply := make(chan value.Gossip, 1)
	f.submit(fleetInput{event: member.GossipReceived{Gossip: g, Request: true}, response: reply})
	select {
	case response := <-reply:
		return response, nil
	case <-ctx.Done():
		return value.Gossip{}, ctx.Err()
	case <-f.done:
		return value.Gossip{}, context.Canceled
	}
}

// run processes inputs and heartbeats until ctx ends.
func (f *fleet) run(ctx context.Context) {
	defer close(f.done)
	interval := hoist.Millis(f.settings.Timing().HeartbeatMs())
	ticker := time.NewTicker(interval.Duration())
	defer ticker.Stop()
	last := f.clock.Now()
	f.decideConfigSync(member.ViewChanged{View: f.state.View()}, nil, ctx)
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
			in.configSync = member.TimerFired{}
		}
		f.handle(ctx, in)
	}
}

// handle processes one input and the events that it triggers.
func (f *fleet) handle(ctx context.Context, in fleetInput) {
	if in.event != nil {
		f.decideMembership(ctx, in)
	}
	if in.configSync != nil {
		f.decideConfigSync(in.configSync, in.offered, ctx)
	}
	if _, tick := in.event.(member.Ticked); tick {
		f.quotas.sampleDemand()
		f.publishBacklogs()
	}
	f.updateOwnership()
	for len(f.deferred) > 0 {
		e := f.deferred[0]
		f.deferred = f.deferred[1:]
		f.decideMembership(ctx, fleetInput{event: e})
	}
}

// deferEvent queues an event from inside the membership goroutine; handle processes it after the current input.
func (f *fleet) deferEvent(e member.Event) { f.deferred = append(f.deferred, e) }

// backlogInterval is the interval at which the backlogs of the owned shards are published.
const backlogInterval = hoist.Second

// publishBacklogs publishes the backlogs of the owned shards once per backlogInterval, and logs the changes of
// probation.
func (f *fleet) publishBacklogs() {
	now := f.clock.Now()
	if now-f.lastBacklogs < backlogInterval {
		return
	}
	f.lastBacklogs = now
	var items []value.Item
	f.logProbation(f.dispatcher.states())
	for _, s := range f.dispatcher.states() {
		b := s.Backlog()
		items = append(items, value.Item{}.WithBody(b))
		f.deferEvent(member.ItemPublished{Body: b})
	}
	f.handleItems(items)
}

// logProbation logs the servers that have entered or left probation since the last call.
func (f *fleet) logProbation(states []sched.State) {
	slow := map[string]bool{}
	for _, s := range states {
		for x := range s.Table().Servers().All() {
			if x.Status() != place.StatusProbation {
				continue
			}
			slow[x.Name()] = true
			if !f.onProbation[x.Name()] {
				f.log.Write(event.ServerOnProbation, logrus.Fields{"server": x.Name(), "reason": x.Reason().String()})
			}
		}
	}
	for name := range f.onProbation {
		if !slow[name] {
			f.log.Write(event.Recovered, logrus.Fields{"server": name})
		}
	}
	f.onProbation = slow
}

// loadPerSlot returns the running and queued requests of a shard per slot, as last published by its owner; an unknown
// shard counts as idle.
func (f *fleet) loadPerSlot(shard string) float64 {
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

// decideMembership applies an event to the membership state and carries out the effects.
func (f *fleet) decideMembership(ctx context.Context, in fleetInput) {
	state, effects := f.state.Decide(in.event, f.clock.Now())
	f.state = state
	for _, x := range effects {
		switch x := x.(type) {
		case member.Exchange:
			f.spawn(func() { f.sendGossip(ctx, x) })
		case member.Reply:
			if in.response != nil {
				in.response <- x.Gossip
			}
		case member.Publish:
			f.applyView(ctx, x)
		case member.Deliver:
			f.handleItems(x.Items)
		case member.Log:
			f.logNotice(x)
		}
	}
}

// sendGossip starts a gossip exchange with a peer.
func (f *fleet) sendGossip(ctx context.Context, x member.Exchange) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout.Duration())
	defer cancel()
	response, err := f.dispatcher.peers.Exchange(ctx, x.Peer, x.Gossip)
	if err != nil {
		f.post(member.ExchangeFailed{Peer: x.Peer.Name()})
		return
	}
	f.post(member.GossipReceived{Gossip: response})
}

// applyView publishes a new membership view and updates the components that depend on it.
func (f *fleet) applyView(ctx context.Context, x member.Publish) {
	old := f.currentView.Swap(x.View)
	f.dispatcher.peers.CloseExcept(x.Connected)
	f.dispatcher.gatewaysLost(old, x.View)
	f.dispatcher.syncShards(old, x.View)
	f.quotas.reconfigure()
	f.decideConfigSync(member.ViewChanged{View: x.View}, nil, ctx)
}

// updateOwnership updates the ownership of shards after the view has changed or a deadline has passed.
func (f *fleet) updateOwnership() {
	view, now := f.view(), f.clock.Now()
	if at, ok := f.ownership.NextDeadline(); view == f.ownershipView && (!ok || at > now) {
		return
	}
	claims, effects := f.ownership.Decide(view, now)
	f.ownership, f.ownershipView = claims, view
	for _, x := range effects {
		switch x := x.(type) {
		case member.QueryAttempts:
			f.dispatcher.queryGateways(x)
		case member.EnterPhase:
			f.dispatcher.enterPhase(x, view)
		}
	}
}

// handleItems passes published items to the components that they concern.
func (f *fleet) handleItems(items []value.Item) {
	backlogs := maps.Clone(*f.backlogs.Load())
	for _, i := range items {
		switch b := i.Body().(type) {
		case value.Backlog:
			backlogs[b.Shard()] = b
		case value.Departure:
			f.dispatcher.serverLeaving(b.Server())
		case value.Quarantine:
			f.guard.merge(b)
		case value.Usage:
			f.quotas.handleUsage(i.Origin(), b)
		case value.Lease:
			f.quotas.handleLease(b)
		case value.Member, value.Roster:
		}
	}
	f.backlogs.Store(&backlogs)
}

// logNotice logs a change of the membership.
func (f *fleet) logNotice(x member.Log) {
	f.log.Write(x.Notice.Event(), logrus.Fields{"name": x.Name, "incarnation": x.Incarnation})
}

// instancesListed applies a new instance list of the platform.
func (f *fleet) instancesListed(l value.InstanceList) {
	f.quotas.countRouters(l.Instances())
	f.instances.Store(&l)
	f.post(member.InstancesListed{List: l})
}

// configOffered passes a configuration from the platform or a peer to the configuration sync.
func (f *fleet) configOffered(from string, v *config.View) {
	f.submit(fleetInput{configSync: member.Offered{From: from, Version: v.Version()}, offered: v})
}

// decideConfigSync applies an event to the configuration sync and carries out the effects.
func (f *fleet) decideConfigSync(e member.ConfigSyncEvent, offered *config.View, ctx context.Context) {
	state, effects := f.configSync.Decide(e, f.clock.Now())
	f.configSync = state
	for _, x := range effects {
		switch x := x.(type) {
		case member.Watch:
			f.setWatch(ctx, x.On)
		case member.Read:
			f.spawn(func() { f.readConfiguration(ctx) })
		case member.Fetch:
			f.spawn(func() { f.fetchConfiguration(ctx, x) })
		case member.Adopt:
			if offered != nil {
				f.config.adopt(offered)
				f.quotas.reconfigure()
				f.dispatcher.syncShards(f.view(), f.view())
				f.deferEvent(member.Configured{Version: offered.Version()})
			}
		}
	}
}

// setWatch starts or stops the watch of the platform's configuration.
func (f *fleet) setWatch(ctx context.Context, on bool) {
	if f.stopWatch != nil {
		f.stopWatch()
		f.stopWatch = nil
	}
	if !on {
		return
	}
	ctx, f.stopWatch = context.WithCancel(ctx)
	f.spawn(func() { f.followConfiguration(ctx) })
}

// fetchConfiguration fetches a newer configuration from a peer.
func (f *fleet) fetchConfiguration(ctx context.Context, x member.Fetch) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	request := value.FetchRequest{}.WithGeneration(x.Held.Generation).WithDigest(x.Held.Digest)
	b, err := f.dispatcher.peers.Fetch(ctx, x.From, request)
	var view *config.View
	if err == nil {
		view, err = f.config.fromBundle(b)
	}
	if err != nil || view == nil {
		f.submit(fleetInput{configSync: member.FetchFailed{From: x.From.Name()}})
		return
	}
	f.configOffered(x.From.Name(), view)
}
