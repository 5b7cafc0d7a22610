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

// dispatcher runs the shards that this router owns and passes messages to the owners of the others.
type dispatcher struct {
	*Router
	context context.Context
	links   *peer.Client
	server  *peer.Server
	// mutex serialises the writers of the maps; readers load them without a lock.
	mutex sync.Mutex
	owned atomic.Pointer[updaters]
	local atomic.Pointer[updaters]
	// shunned maps the name of a router to the time until which no asks go to it.
	shunned sync.Map
}

// newDispatcher returns a dispatcher that owns no shard yet.
func newDispatcher(r *Router) *dispatcher {
	d := &dispatcher{Router: r, context: context.Background()}
	d.owned.Store(&updaters{})
	d.local.Store(&updaters{})
	d.links = peer.NewClient(r.incarnation, peer.Callbacks{
		OnMessage: d.received,
		OnStreamEnd: func(owner value.Member, _ error) {
			d.shun(owner)
			d.gateway.DispatcherLost(remoteRoute(owner))
		},
	})
	return d
}

// received passes an owner's message to the gateway.
func (d *dispatcher) received(owner value.Member, body value.DispatcherMessageBody) {
	if r, ok := body.(value.Refusal); ok && r.Reason() == value.RefusalReasonMoved {
		d.shun(owner)
	}
	d.gateway.Deliver(remoteRoute(owner), body)
}

// remoteRoute returns the route to another router.
func remoteRoute(m value.Member) gate.Dispatcher {
	return gate.Dispatcher{Name: m.Name(), Incarnation: m.Incarnation()}
}

// selfRoute returns the route to this router's own shards.
func (d *dispatcher) selfRoute() gate.Dispatcher {
	return gate.Dispatcher{Name: d.settings.Name(), Incarnation: d.incarnation}
}

// Ask implements gate.Sender.
func (d *dispatcher) Ask(ctx context.Context, a value.Ask) (gate.Dispatcher, error) {
	owner, ok := d.fleet.view().Owner(a.Shard())
	if ok && owner.Name() == d.settings.Name() {
		if u := (*d.owned.Load())[a.Shard()]; u != nil {
			d.enqueue(u, d.selfRoute(), a)
			return d.selfRoute(), nil
		}
	}
	if ok && owner.Name() != d.settings.Name() && !d.isShunned(owner) && d.links.Send(ctx, owner, a) == nil {
		return remoteRoute(owner), nil
	}
	u, err := d.fallback(a.Shard())
	if err != nil {
		return gate.Dispatcher{}, err
	}
	d.enqueue(u, d.localRoute(), a)
	return d.localRoute(), nil
}

// enqueue passes an ask to an updater unless the guard refuses its content.
func (d *dispatcher) enqueue(u *running, from gate.Dispatcher, a value.Ask) {
	admitted, refusal := d.guard.admit(a)
	if refusal != nil {
		d.deliver(from)(refusal)
		return
	}
	u.Post(sched.MessageReceived{Body: admitted})
}

// Send implements gate.Sender.
func (d *dispatcher) Send(r gate.Dispatcher, body value.GatewayMessageBody) {
	switch {
	case r.Local:
		d.post(*d.local.Load(), body)
	case r == d.selfRoute():
		d.post(*d.owned.Load(), body)
	default:
		if m, ok := d.fleet.view().Member(r.Name); ok && m.Incarnation() == r.Incarnation {
			_ = d.links.Send(d.context, m, body)
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
		d.ended(b, u.State().Table())
	case value.Withdraw:
		d.guard.dropped(b.Attempt())
	case value.Ask, value.Progress, value.Holding:
	}
	u.Post(sched.MessageReceived{Body: body})
}

// ended learns from the end of an attempt before it reaches the shard; table is the server table before the end.
func (d *dispatcher) ended(e value.End, table place.Table) {
	d.guard.ended(e, table)
	if e.Kind() != value.EndKindLeaving {
		return
	}
	if _, server, ok := table.Find(e.Attempt()); ok {
		d.fleet.post(member.ServerLeaving{Server: server})
	}
}

// shardOf returns the shard that a message names.
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
	d.enqueue(u, d.selfRoute(), a)
}

// deliver passes an owner's message to the gateway of its attempt.
func (d *dispatcher) deliver(from gate.Dispatcher) func(sched.Effect) {
	return func(e sched.Effect) {
		if r, ok := e.(value.Refusal); ok {
			d.guard.dropped(r.Attempt())
		}
		incarnation := incarnationOf(e)
		if incarnation == d.incarnation {
			d.gateway.Deliver(from, e)
			return
		}
		// A gateway without a stream is gone, and membership reports the loss of its attempts.
		_ = d.server.Send(incarnation, e)
	}
}

// incarnationOf returns the gateway process that a message is for.
func incarnationOf(e sched.Effect) uint64 {
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
	return d.fleet.exchange(ctx, g)
}

// Fetch implements peer.Handler.
func (d *dispatcher) Fetch(_ context.Context, r value.FetchRequest) (value.Bundle, error) {
	return d.config.bundleFor(r), nil
}

// Forward implements peer.Handler.
func (d *dispatcher) Forward(ctx context.Context, f value.ForwardRequest) (value.ForwardAnswer, error) {
	return d.calls.Forward(ctx, f), nil
}
