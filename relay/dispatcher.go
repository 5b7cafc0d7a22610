package relay

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/assign"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/value"
)

const (
	// dispatcherInboxSize bounds the events queued for the goroutine of a dispatcher.
	dispatcherInboxSize = 1024
	// reconcileInterval is the time between two reconciliation lists to the shard owner, which correct its state
	// after lost messages.
	reconcileInterval = 500 * hoist.Millis(1)
	// placementRetryInterval is the time after which a placement request without a response is sent again: several
	// round trips between data centres.
	placementRetryInterval = 20 * hoist.Millis(1)
	// ownerTimeout is the time after which an owner that has not responded counts as unreachable.
	ownerTimeout = 60 * hoist.Millis(1)
	// queuedRetryInterval is the time after which the placement request of a request that is queued at the owner is
	// sent again, and queuedOwnerTimeout the time without a response after which the owner counts as unreachable.
	queuedRetryInterval = 150 * hoist.Millis(1)
	queuedOwnerTimeout  = 400 * hoist.Millis(1)
	// ownerBackoff is the time for which an unreachable owner gets no placement requests.
	ownerBackoff = 500 * hoist.Millis(1)
	// statedLoadTTL is the time for which the owner of a shard states the same load. To sum up 400 requests at 20 servers takes
	// a twelfth of the time of placing one, so the owner does it at most 20 times a second.
	statedLoadTTL = 50 * hoist.Millis(1)
)

// Mesh sends messages to other instances.
type Mesh interface {
	// SendTo sends a message to a live instance; the message may be lost.
	SendTo(name string, b value.DatagramBody)
	// Submit passes an event to the membership state.
	Submit(e member.Event)
}

// dispatcher places the requests of one shard. It sends placement requests to the shard owner, and decides itself if
// this instance owns the shard or the owner is unreachable.
type dispatcher struct {
	shard   string
	self    string
	clock   hoist.Clock
	log     *event.Log
	mesh    Mesh
	inbox   chan assign.Event
	state   atomic.Pointer[assign.State]
	owner   atomic.Pointer[string]
	waiters *sync.Map
	guard   *guard
	notices *atomic.Pointer[assign.Notices]
	// balanced is set if the service is balanced by load, so that the owner states the load of the shard.
	balanced atomic.Bool
	// stated is the load of the shard that the owner states in its answers, and statedAt the time of it. Only the goroutine of
	// the dispatcher uses them.
	stated   value.ShardLoad
	statedAt hoist.Millis
	done     <-chan struct{}
	// ownerBackoffUntil is the time until which the owner gets no placement requests.
	ownerBackoffUntil atomic.Int64
	// retryLimits and coldLimits are the limits last passed to the state; limitsMu guards them.
	limitsMu    sync.Mutex
	retryLimits assign.RetryLimits
	coldLimits  assign.ColdLimits
	metrics     *Metrics
	engineLog   engineLog
	// rules are the rules last passed to the state; limitsMu guards them.
	rules assign.Rules
	// local is whether the state was told that it places only requests of this instance; limitsMu guards it.
	local bool
}

// run processes events until the dispatcher is stopped.
func (d *dispatcher) run() {
	var wake <-chan hoist.Millis
	reconcile := d.clock.After(reconcileInterval)
	for {
		var e assign.Event
		select {
		case <-d.done:
			return
		case e = <-d.inbox:
		case <-wake:
			wake, e = nil, assign.Ticked{}
		case <-reconcile:
			d.sendReconciliation()
			d.publishModels()
			reconcile = d.clock.After(reconcileInterval)
			continue
		}
		d.log.Contain("shard "+d.shard, func() { d.decide(e) })
		now := d.clock.Now()
		if at, ok := d.state.Load().Wake(now); ok && wake == nil {
			wake = d.clock.After(max(at-now, 1))
		}
	}
}

// decide applies an event to the state and carries out the effects.
func (d *dispatcher) decide(e assign.Event) {
	s, effects := d.state.Load().Decide(e, d.clock.Now())
	d.state.Store(&s)
	for _, x := range effects {
		d.deliver(x)
	}
}

// deliver sends an effect to the request that waits for it, here or at another instance.
func (d *dispatcher) deliver(x assign.Effect) {
	var origin string
	a := value.PlaceAnswer{}.WithShard(d.shard)
	switch x := x.(type) {
	case assign.Grant:
		origin = x.Origin
		a = a.WithId(x.ID).WithVerdict(value.PlaceVerdictGranted).WithServer(x.Server.Id()).
			WithFresh(x.Basis.UncachedTokens).WithUnread(x.Basis.PendingTokens).WithRunning(int32(x.Basis.Running))
	case assign.Refuse:
		origin = x.Origin
		if x.Reason.Early() {
			d.recordRefusal(x)
		}
		a = a.WithId(x.ID).WithVerdict(value.PlaceVerdictRefused).WithAfterMs(int64(x.After)).WithOverload(x.Reason == assign.Overload || x.Reason.Early())
	case assign.Queued:
		origin = x.Origin
		a = a.WithId(x.ID).WithVerdict(value.PlaceVerdictQueued)
	case assign.TakenCold:
		d.logCold(x)
		return
	}
	if _, queued := x.(assign.Queued); !queued && d.balanced.Load() && *d.owner.Load() == d.self {
		// Another instance than the owner knows only its own placements.
		a = a.WithLoad(d.load())
	}
	if origin != d.self {
		d.mesh.SendTo(origin, a)
		return
	}
	if c, ok := d.waiters.Load(a.Id()); ok {
		trySend(c, a)
	}
}

// load returns the load of the shard, at most statedLoadTTL old.
func (d *dispatcher) load() value.ShardLoad {
	if now := d.clock.Now(); d.statedAt == 0 || now-d.statedAt >= statedLoadTTL {
		d.stated, d.statedAt = d.state.Load().Load(now), now
	}
	return d.stated
}

// localResponses is the response channel of a request that this instance places itself. Answers of an owner that was given up
// are not for it: the owner has been told that the request is withdrawn, and this instance may have placed it already.
type localResponses chan value.PlaceAnswer

// trySend sends a placement response without blocking; the channel has room for the responses that a request reads.
func trySend(c any, a value.PlaceAnswer) {
	responses, ok := c.(chan value.PlaceAnswer)
	if !ok {
		responses = c.(localResponses)
	}
	select {
	case responses <- a:
	default:
	}
}

// post passes an event to the goroutine of the dispatcher.
func (d *dispatcher) post(e assign.Event) {
	select {
	case d.inbox <- e:
	case <-d.done:
	}
}

// remoteOwner returns the owner of the shard; it returns false if this instance owns the shard, no owner is known, or
// the owner is backed off.
func (d *dispatcher) remoteOwner(now hoist.Millis) (string, bool) {
	owner := *d.owner.Load()
	return owner, owner != "" && owner != d.self && now >= hoist.Millis(d.ownerBackoffUntil.Load())
}

// sendReconciliation sends the list of the running requests of this instance to the remote owner.
func (d *dispatcher) sendReconciliation() {
	if owner, ok := d.remoteOwner(d.clock.Now()); ok {
		granted, runs := d.state.Load().Holding(d.self, owner, d.clock.Now())
		d.mesh.SendTo(owner, value.PlaceHolding{}.WithShard(d.shard).WithGranted(granted).WithRuns(runs))
	}
}

// setOwner sets the owner of the shard.
func (d *dispatcher) setOwner(name string) {
	old := d.owner.Swap(&name)
	if *old != name {
		d.log.Write(event.OwnerChanged, logrus.Fields{"shard": d.shard, "owner": name, "former": *old})
		d.ownerBackoffUntil.Store(0)
		d.sendReconciliation()
	}
}

// limitRetries sets the limits of the retries that this instance grants as the owner of the shard, and otherwise. It also
// tells the state whether it decides for the owner.
func (d *dispatcher) limitRetries(owner, local assign.RetryLimits) {
	d.limitsMu.Lock()
	defer d.limitsMu.Unlock()
	l := local
	if *d.owner.Load() == d.self {
		l = owner
	}
	if local := d.balanced.Load() && *d.owner.Load() != d.self; d.local != local {
		d.local = local
		d.post(assign.LocalPlacementChanged{Local: local})
	}
	if d.retryLimits != l {
		d.retryLimits = l
		d.post(assign.RetryLimitsChanged{Limits: l})
	}
}

// updateRules passes the changed rules of the decisions about the shard to the state. Owner is set here.
func (d *dispatcher) updateRules(change func(assign.Rules) assign.Rules) {
	d.limitsMu.Lock()
	defer d.limitsMu.Unlock()
	r := change(d.rules)
	r.Owner = *d.owner.Load() == d.self
	// A state that has no rules besides those of every service needs no event when its owner changes.
	if (r.Engines || r.Plain || d.rules.Engines || d.rules.Plain) && d.rules != r {
		d.rules = r
		d.post(assign.RulesChanged{Rules: r})
	}
}

// responseBufferSize is the number of placement responses that are buffered for one request: a few copies of each
// verdict.
const responseBufferSize = 8

// place waits for a server. It returns an unspecified verdict if ctx ends first.
func (d *dispatcher) place(ctx context.Context, w value.Work) value.PlaceAnswer {
	defer d.waiters.Delete(w.Id())
	if owner, ok := d.remoteOwner(d.clock.Now()); ok {
		if a, ok := d.placeAtOwner(ctx, owner, w); ok {
			return a
		}
	}
	if ctx.Err() != nil {
		return value.PlaceAnswer{}
	}
	if refusal, ok := d.guard.admit(w, hoist.Millis(w.EndMs())-d.clock.Now(), d.sustains); ok {
		return refusal
	}
	local := make(localResponses, responseBufferSize)
	d.waiters.Store(w.Id(), local)
	d.post(assign.Submitted{Work: w})
	recheck := d.clock.After(ownerBackoff)
	for {
		select {
		case a := <-local:
			if a.Verdict() == value.PlaceVerdictGranted || a.Verdict() == value.PlaceVerdictRefused {
				return a
			}
			continue
		case now := <-recheck:
			recheck = d.clock.After(ownerBackoff)
			owner, ok := d.remoteOwner(now)
			if !ok || d.state.Load().HeldBack() == 0 {
				continue
			}
			// The part of the limits on cold servers that is left to this instance may be none; the owner has a larger one.
			d.withdraw(w.Id())
			if a, ok := d.placeAtOwner(ctx, owner, w); ok {
				return a
			}
			d.waiters.Store(w.Id(), local)
			d.post(assign.Submitted{Work: w})
			continue
		case <-ctx.Done():
		case <-d.done:
		}
		d.withdraw(w.Id())
		return value.PlaceAnswer{}
	}
}

// withdraw removes a request from the state of this instance. A server may have been granted in the meantime; the two events
// together undo a queued and a granted request.
func (d *dispatcher) withdraw(id uint64) {
	d.post(assign.Cancelled{ID: id})
	d.post(assign.Finished{ID: id, Result: assign.ResultCancelled})
}

// placeAtOwner sends placement requests to the owner. It returns false if the request has to be placed here.
func (d *dispatcher) placeAtOwner(ctx context.Context, owner string, w value.Work) (value.PlaceAnswer, bool) {
	responses := make(chan value.PlaceAnswer, responseBufferSize)
	d.waiters.Store(w.Id(), responses)
	lastResponse, timeout := d.clock.Now(), ownerTimeout
	d.requestPlacement(owner, w)
	retryTimer := d.clock.After(placementRetryInterval)
	for {
		select {
		case <-ctx.Done():
			d.notify(owner, value.PlaceNote{}.WithId(w.Id()).WithChange(value.PlaceChangeWithdrawn))
			return value.PlaceAnswer{}, true
		case a := <-responses:
			lastResponse = d.clock.Now()
			switch a.Verdict() {
			case value.PlaceVerdictGranted:
				d.post(assign.Placed{Run: value.PlaceRun{}.WithWork(w).WithServer(a.Server()).WithFresh(a.Fresh()), By: owner})
				return a, true
			case value.PlaceVerdictRefused, value.PlaceVerdictQuarantined:
				return a, true
			case value.PlaceVerdictForeign:
				return a, false
			default:
				timeout = queuedOwnerTimeout
				retryTimer = d.clock.After(queuedRetryInterval)
			}
		case now := <-retryTimer:
			if now-lastResponse >= timeout {
				d.ownerBackoffUntil.Store(int64(now + ownerBackoff))
				d.log.Write(event.OwnerUnresponsive, logrus.Fields{"shard": d.shard, "owner": owner, "silent_ms": now - lastResponse})
				d.notify(owner, value.PlaceNote{}.WithId(w.Id()).WithChange(value.PlaceChangeWithdrawn))
				return value.PlaceAnswer{}, false
			}
			d.requestPlacement(owner, w)
			retryTimer = d.clock.After(placementRetryInterval)
			if timeout == queuedOwnerTimeout {
				retryTimer = d.clock.After(queuedRetryInterval)
			}
		}
	}
}

// requestPlacement sends a placement request to the owner.
func (d *dispatcher) requestPlacement(owner string, w value.Work) {
	d.mesh.SendTo(owner, value.PlaceAsk{}.WithShard(d.shard).WithWork(assign.WithRelativeTimes(w, d.clock.Now())))
}

// notify sends a note about a request to the owner.
func (d *dispatcher) notify(owner string, n value.PlaceNote) {
	d.mesh.SendTo(owner, n.WithShard(d.shard))
}

// responded reports the first event of a stream, or the body of another response.
func (d *dispatcher) responded(id uint64, load value.ServerLoad, loaded bool) {
	d.post(assign.Responded{ID: id, Load: load, Loaded: loaded})
	if owner, ok := d.remoteOwner(d.clock.Now()); ok {
		d.notify(owner, value.PlaceNote{}.WithId(id).WithChange(value.PlaceChangeBegan).WithLoad(load).WithLoaded(loaded))
	}
}

// finished reports the end of a request at its server.
func (d *dispatcher) finished(id uint64, r assign.Result) {
	d.clearContents(id, r)
	d.post(assign.Finished{ID: id, Result: r})
	if owner, ok := d.remoteOwner(d.clock.Now()); ok {
		d.notify(owner, value.PlaceNote{}.WithId(id).WithChange(value.PlaceChangeEnded).WithResult(int32(r)))
	}
}

// clearContents tells the guard what the end of a request says about its contents.
func (d *dispatcher) clearContents(id uint64, r assign.Result) {
	w, ok := d.state.Load().Work(id)
	switch {
	case !ok:
	case r == assign.ResultOK:
		d.guard.completed(w)
	case r != assign.ResultError:
		d.guard.unanswered(contentsOf(w))
	}
}

// leaving records that a server has said that it is leaving, and tells the owner.
func (d *dispatcher) leaving(s value.BackendServer) {
	if !d.notices.Load().Leaving(s) {
		hoist.Update(d.notices, func(n assign.Notices) assign.Notices { return n.WithLeaving(s) })
		d.log.Write(event.ServerLeaving, logrus.Fields{"server": s.Id(), "address": s.Address()})
	}
	d.post(assign.LeavingReported{Server: s.Id()})
	if owner, ok := d.remoteOwner(d.clock.Now()); ok {
		d.notify(owner, value.PlaceNote{}.WithChange(value.PlaceChangeLeaving).WithServer(s.Id()))
	}
}

// paused records that a server wants no requests from this instance for a time, and tells the owner.
func (d *dispatcher) paused(s value.BackendServer, pause hoist.Millis) {
	now := d.clock.Now()
	if d.notices.Load().PausedFor(s, now) < pause {
		hoist.Update(d.notices, func(n assign.Notices) assign.Notices { return n.WithPause(s, now+pause) })
		d.log.Write(event.ServerPaused, logrus.Fields{"server": s.Id(), "address": s.Address(), "pause_ms": pause})
	}
	d.post(assign.Paused{Server: s.Id(), Origin: d.self, Until: now + pause})
	if owner, ok := d.remoteOwner(now); ok {
		d.notify(owner, value.PlaceNote{}.WithChange(value.PlaceChangePaused).WithServer(s.Id()).WithPauseMs(int64(pause)))
	}
}

// crashed reports that a server crashed while it ran the contents to the guard and to the owner of the shard.
func (d *dispatcher) crashed(s value.BackendServer, contents []value.Content) {
	d.down(s)
	contents = d.guard.withCompletions(contents)
	d.chargeCrash(s.Id(), s.Born(), contents)
	if owner, ok := d.remoteOwner(d.clock.Now()); ok {
		d.mesh.SendTo(owner, value.PlaceCrash{}.WithShard(d.shard).WithServer(s.Id()).WithBorn(s.Born()).WithContents(value.ListOf(contents...)))
	}
}

// chargeCrash charges a crash to the contents.
func (d *dispatcher) chargeCrash(server string, born int64, contents []value.Content) {
	d.guard.crashed(value.Charge{}.WithServer(server).WithBorn(born), contents)
}

// handleMessage handles a message of another instance about this shard.
func (d *dispatcher) handleMessage(sender string, b value.DatagramBody) {
	now := d.clock.Now()
	switch b := b.(type) {
	case value.PlaceAsk:
		if *d.owner.Load() != d.self || !d.state.Load().Listed() {
			d.mesh.SendTo(sender, value.PlaceAnswer{}.WithShard(d.shard).WithId(b.Work().Id()).WithVerdict(value.PlaceVerdictForeign))
			return
		}
		d.submit(sender, assign.WithAbsoluteTimes(b.Work(), now))
	case value.PlaceNote:
		switch b.Change() {
		case value.PlaceChangeBegan:
			d.post(assign.Responded{ID: b.Id(), Load: b.Load(), Loaded: b.Loaded()})
		case value.PlaceChangeEnded:
			d.clearContents(b.Id(), assign.Result(b.Result()))
			d.post(assign.Finished{ID: b.Id(), Result: assign.Result(b.Result())})
		case value.PlaceChangeLeaving:
			d.post(assign.LeavingReported{Server: b.Server()})
		case value.PlaceChangePaused:
			d.post(assign.Paused{Server: b.Server(), Origin: sender, Until: now + hoist.Millis(b.PauseMs())})
		case value.PlaceChangeCold:
			d.post(assign.ColdReported{Server: b.Server(), Left: min(hoist.Millis(b.ColdMs()), maxColdStatement)})
		case value.PlaceChangeDown:
			d.post(assign.DownReported{Server: b.Server()})
		default:
			d.post(assign.Cancelled{ID: b.Id()})
			d.post(assign.Finished{ID: b.Id(), Result: assign.ResultCancelled})
		}
	case value.PlaceCrash:
		// The note that the server is down may be lost.
		d.post(assign.DownReported{Server: b.Server()})
		d.chargeCrash(b.Server(), b.Born(), slices.Collect(b.Contents().All()))
	case value.PlaceHolding:
		d.post(assign.RunsReported{Origin: sender, Granted: b.Granted(), Runs: b.Runs()})
	default:
	}
}

// sustains reports whether a server of the shard sustains a request for which has is true.
func (d *dispatcher) sustains(has func(value.Work) bool) bool {
	return d.state.Load().Sustains(has, d.clock.Now())
}

// submit places the request of another instance, unless its content is quarantined. A request that is placed already gets
// its grant again.
func (d *dispatcher) submit(origin string, w value.Work) {
	if !d.state.Load().Runs(w.Id()) {
		if refusal, ok := d.guard.admit(w, hoist.Millis(w.EndMs())-d.clock.Now(), d.sustains); ok {
			d.post(assign.Cancelled{ID: w.Id()})
			d.mesh.SendTo(origin, refusal.WithShard(d.shard))
			return
		}
	}
	d.post(assign.Submitted{Work: w})
}
