package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/engine"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/order"
	"chicoryhoist.example/hoist/sched"
	"chicoryhoist.example/hoist/value"
)

const (
	// controlTime bounds one control call to a backend server; a stalled one must not hold up the others for long.
	controlTime = 2 * hoist.Second
	// controlCalls is the number of control calls that one shard has open at once.
	controlCalls = 4
	// plannerInbox bounds the events that wait for a planner: a few for each server of a shard.
	plannerInbox = 256
)

// backend asks the backend servers of one owned shard for their state and carries out the orders to its engines.
type backend struct {
	*Router
	updater   *running
	inbox     chan order.Event
	instances atomic.Pointer[value.List[value.Instance]]
	// calls bounds the control calls that are open at once.
	calls chan struct{}
	work  sync.WaitGroup
}

// newBackend returns the backend of a shard that has no servers yet.
func newBackend(r *Router, u *running) *backend {
	b := &backend{Router: r, updater: u, inbox: make(chan order.Event, plannerInbox), calls: make(chan struct{}, controlCalls)}
	b.instances.Store(&value.List[value.Instance]{})
	return b
}

// configure takes over a configuration and the servers of the shard.
func (b *backend) configure(e order.Configured) {
	b.instances.Store(&e.Instances)
	b.post(e)
}

// post passes an event to the planner.
func (b *backend) post(e order.Event) {
	select {
	case b.inbox <- e:
	case <-b.updater.ended:
	}
}

// run reports and plans until ctx ends.
//
// Plain services get no control calls: a path of the router's choice could be one of their own calls.
func (b *backend) run(ctx context.Context) {
	b.work.Go(func() { b.plan(ctx) })
	b.report(ctx)
	b.work.Wait()
}

// plan drives the planner of orders.
func (b *backend) plan(ctx context.Context) {
	state, _ := order.State{}.Decide(order.BecameOwner{}, b.clock.Now())
	var wake <-chan hoist.Millis
	for {
		var e order.Event
		select {
		case <-ctx.Done():
			return
		case e = <-b.inbox:
		case <-wake:
			wake, e = nil, order.Ticked{}
		}
		next, effects := state.Decide(e, b.clock.Now())
		state = next
		for _, x := range effects {
			switch x := x.(type) {
			case order.Wait:
				wake = b.clock.After(max(x.Until-b.clock.Now(), 1))
			case order.Read:
				b.call(ctx, x.Server, b.read)
			case order.Send:
				b.call(ctx, x.Server, func(ctx context.Context, i value.Instance) { b.send(ctx, i, x) })
			}
		}
	}
}

// call makes one control call in a goroutine of its own; at most controlCalls are open.
func (b *backend) call(ctx context.Context, server string, f func(context.Context, value.Instance)) {
	for i := range b.instances.Load().All() {
		if i.Name() != server {
			continue
		}
		b.work.Go(func() {
			select {
			case b.calls <- struct{}{}:
				defer func() { <-b.calls }()
				f(ctx, i)
			case <-ctx.Done():
			}
		})
		return
	}
	b.work.Go(func() { b.post(order.Unreachable{Server: server}) })
}

// read reads what an engine carries.
func (b *backend) read(ctx context.Context, i value.Instance) {
	ctx, cancel := context.WithTimeout(ctx, controlTime.Duration())
	defer cancel()
	state, err := b.client.State(ctx, i.Address())
	if err != nil {
		b.post(order.Unreachable{Server: i.Name()})
		return
	}
	b.updater.Post(sched.EngineStateRead{Server: i.Name(), State: state})
	b.post(order.Observed{Server: i.Name(), State: state})
}

// send sends an order unless its deadline has passed, which is so after a pause of the process.
func (b *backend) send(ctx context.Context, i value.Instance, x order.Send) {
	left := x.Deadline - b.clock.Now()
	if left <= 0 {
		b.post(order.Answered{Server: i.Name(), ID: x.Order.Id(), Answer: order.AnswerUnknown})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, left.Duration())
	defer cancel()
	b.post(order.Sent{Server: i.Name(), ID: x.Order.Id()})
	err := b.client.Order(ctx, i.Address(), x.Order)
	answer := order.AnswerAccepted
	fields := logrus.Fields{"server": i.Name(), "order": x.Order.Id(), "kind": x.Order.Kind(), "name": x.Order.Name()}
	switch {
	case err == nil:
		b.log.Write(event.Ordered, fields)
	case eris.Is(err, engine.ErrFenced):
		answer = order.AnswerFenced
		b.log.Write(event.OrderFenced, fields)
	default:
		answer = order.AnswerUnknown
		fields["error"] = err.Error()
		b.log.Write(event.OrderFailed, fields)
	}
	b.post(order.Answered{Server: i.Name(), ID: x.Order.Id(), Answer: answer})
}

// report asks each server for its load and cache events at the interval of the settings.
func (b *backend) report(ctx context.Context) {
	ticker := time.NewTicker(hoist.Millis(b.settings.Timing().ReportMs()).Duration())
	defer ticker.Stop()
	polls := map[string]*polling{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for i := range b.instances.Load().All() {
			p := polls[i.Name()]
			if p == nil {
				p = &polling{}
				polls[i.Name()] = p
			}
			// A server that has not answered yet is not asked again.
			if p.busy.CompareAndSwap(false, true) {
				b.call(ctx, i.Name(), func(ctx context.Context, i value.Instance) { b.poll(ctx, i, p) })
			}
		}
	}
}

// polling is the progress of the reports of one server.
type polling struct {
	busy atomic.Bool
	// next is the sequence number of the next cache event.
	next atomic.Uint64
}

// poll asks one server; a missing answer is no report, so nothing is posted for it.
func (b *backend) poll(ctx context.Context, i value.Instance, p *polling) {
	defer p.busy.Store(false)
	ctx, cancel := context.WithTimeout(ctx, controlTime.Duration())
	defer cancel()
	if load, err := b.client.Load(ctx, i.Address()); err == nil {
		b.updater.Post(sched.LoadReported{Server: i.Name(), Load: load})
	}
	events, err := b.client.CacheEvents(ctx, i.Address(), p.next.Load())
	if err == nil && events.Events().Len() > 0 {
		p.next.Store(events.Next())
		b.updater.Post(sched.CacheChanged{Server: i.Name(), Events: events})
	}
}
