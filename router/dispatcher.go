package router

import (
	"context"
	"sync"
	"sync/atomic"

	"chicoryhoist.example/hoist/gate"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/peer"
	"chicoryhoist.example/hoist/place"
	"chicoryhoist.example/hoist/sched"
	"chicoryhoist.example/hoist/value"
)

// dispatcher runs the shards that this router owns and sends messages to the owners of the other shards.
type dispatcher struct {
	*Router
	context context.Context
	peers   *peer.Client
	server  *peer.Server
	// mutex serialises the writers of owned and local; readers load the maps without a lock.
	mutex sync.Mutex
	owned atomic.Pointer[updaters]
	// local holds the fallback updaters of shards whose owner was unreachable.
	local atomic.Pointer[updaters]
	// backoffUntil maps the name of a router to the time until which it gets no placement requests.
	backoffUntil sync.Map
}

// newDispatcher returns a dispatcher that owns no shard.
func newDispatcher(r *Router) *dispatcher {
	d := &dispatcher{Router: r, context: context.Background()}
	d.owned.Store(&updaters{})
	d.local.Store(&updaters{})
	d.peers = peer.NewClient(r.incarnation, peer.Callbacks{
		OnMessage: d.handleMessage,
		OnStreamEnd: func(owner value.Member, _ error) {
			d.backOff(owner)
			d.gateway.DispatcherLost(remoteDispatcher(owner))
		},
	})
	return d
}

// handleMessage passes a message of a shard owner to the gateway.
func (d *dispatcher) handleMessage(owner value.Member, body value.DispatcherMessageBody) {
	if r, ok := body.(value.Refusal); ok && r.Reason() == value.RefusalReasonMoved {
		d.backOff(owner)
	}
	d.gateway.Deliver(remoteDispatcher(owner), body)
}

// remoteDispatcher returns the dispatcher of another router.
func remoteDispatcher(m value.Member) gate.Dispatcher {
	return gate.Dispatcher{Name: m.Name(), Incarnation: m.Incarnation()}
}

// selfDispatcher returns the dispatcher of this router's own shards.
func (d *dispatcher) selfDispatcher() gate.Dispatcher {
	return gate.Dispatcher{Name: d.settings.Name(), Incarnation: d.incarnation}
}

// Ask implements gate.Sender.
func (d *dispatcher) Ask(ctx context.Context, a value.Ask) (gate.Dispatcher, error) {
	owner, ok := d.fleet.view().Owner(a.Shard())
	if ok && owner.Name() == d.settings.Name() {
		if u := (*d.owned.Load())[a.Shard()]; u != nil {
			d.enqueue(u, d.selfDispatcher(), a)
			return d.selfDispatcher(), nil
		}
	}
	if ok && owner.Name() != d.settings.Name() && !d.isBackedOff(owner) && d.peers.Send(ctx, owner, a) == nil {
		return remoteDispatcher(owner), nil
	}
	u, err := d.fallbackUpdater(a.Shard())
	if err != nil {
		return gate.Dispatcher{}, err
	}
	d.enqueue(u, d.localDispatcher(), a)
	return d.localDispatcher(), nil
}

// enqueue posts a placement request to an updater unless the guard rejects its content.
func (d *dispatcher) enqueue(u *shardRunner, from gate.Dispatcher, a value.Ask) {
	admitted, refusal := d.guard.admit(a)
	if refusal != nil {
		d.deliverTo(from)(refusal)
		return
	}
	u.Post(sched.MessageReceived{Body: admitted})
}

// Send implements gate.Sender.
func (d *dispatcher) Send(r gate.Dispatcher, body value.GatewayMessageBody) {
	switch {
	case r.Local:
		d.post(*d.local.Load(), body)
	case r == d.selfDispatcher():
		d.post(*d.owned.Load(), body)
	default:
		if m, ok := d.fleet.view().Member(r.Name); ok && m.Incarnation() == r.Incarnation {
			_ = d.peers.Send(d.context, m, body)
		}
	}
}

// post passes a message to the updater of its shard; a message to an unknown shard is dropped.
func (d *dispatcher) post(us updaters, body value.GatewayMessageBody) {
	u := us[shardOf(body)]
	if u == nil {
		return
	}
	switch b := body.(type) {
	case value.End:
		d.attemptEnded(b, u.State().Table())
	case value.Withdraw:
		d.guard.trialDropped(b.Attempt())
	case value.Ask, value.Progress, value.Holding:
	}
	u.Post(sched.MessageReceived{Body: body})
}

// attemptEnded informs the guard and the membership of the end of an attempt, before the shard processes it; table is
// the server table before the end.
func (d *dispatcher) attemptEnded(e value.End, table place.Table) {
	d.guard.attemptEnded(e, table)
	if e.Kind() != value.EndKindLeaving {
		return
	}
	if _, server, ok := table.Find(e.Attempt()); ok {
		d.fleet.post(member.ServerLeaving{Server: server})
	}
}

// shardOf returns the key of the shard that a message is addressed to.
func shardOf(body value.GatewayMessageBody) string {
	switch b := body.(type) {
	case value.Ask:
		return b.Shard()
	case value.Progress:
		return b.Shard()
	case value.End:
		return b.Shard()
	case value.Withdraw:
		return b.Shard()
	case value.Holding:
		return b.Ask().Shard()
	}
	return ""
}

// Dispatch implements peer.Handler.
func (d *dispatcher) Dispatch(gateway uint64, body value.GatewayMessageBody) {
	a, ok := body.(value.Ask)
	if !ok {
		d.post(*d.owned.Load(), body)
		return
	}
	u := (*d.owned.Load())[a.Shard()]
	if u == nil || !u.owned.Load() {
		_ = d.server.Send(gateway, value.Refusal{}.WithAttempt(a.Attempt()).WithReason(value.RefusalReasonMoved))
		return
	}
	d.enqueue(u, d.selfDispatcher(), a)
}

// deliverTo returns a function that delivers the effects of an updater to the gateway of their attempt; from is the
// dispatcher that the gateway sees as the sender.
func (d *dispatcher) deliverTo(from gate.Dispatcher) func(sched.Effect) {
	return func(e sched.Effect) {
		if r, ok := e.(value.Refusal); ok {
			d.guard.trialDropped(r.Attempt())
		}
		incarnation := gatewayOf(e)
		if incarnation == d.incarnation {
			d.gateway.Deliver(from, e)
			return
		}
		// A gateway without a stream is lost; the membership reports the loss of its attempts.
		_ = d.server.Send(incarnation, e)
	}
}

// gatewayOf returns the incarnation of the gateway that a message is addressed to.
func gatewayOf(e sched.Effect) uint64 {
	switch b := e.(type) {
	case value.Grant:
		return b.Attempt().Incarnation()
	case value.Refusal:
		return b.Attempt().Incarnation()
	case value.Preempt:
		return b.Attempt().Incarnation()
	case value.Query:
		return 0
	}
	return 0
}

// Exchange implements peer.Handler.
func (d *dispatcher) Exchange(ctx context.Context, g value.Gossip) (value.Gossip, error) {
	return d.fleet.handleExchange(ctx, g)
}

// Fetch implements peer.Handler.
func (d *dispatcher) Fetch(_ context.Context, r value.FetchRequest) (value.Bundle, error) {
	return d.config.bundleFor(r), nil
}

// Forward implements peer.Handler.
func (d *dispatcher) Forward(ctx context.Context, f value.ForwardRequest) (value.ForwardAnswer, error) {
	return d.calls.Forward(ctx, f), nil
}
