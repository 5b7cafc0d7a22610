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
	// controlTimeout bounds one control call to a backend server, so that a stalled server does not delay the calls
	// to others for long.
	controlTimeout = 2 * hoist.Second
	// maxControlCalls bounds the concurrent control calls of one shard.
	maxControlCalls = 4
	// plannerInboxSize bounds the events queued for the planner: a few for each server of a shard.
	plannerInboxSize = 256
)

// engineController polls the engines of one owned shard for their state and carries out the orders of the planner.
type engineController struct {
	*Router
	updater   *shardRunner
	inbox     chan order.Event
	instances atomic.Pointer[value.List[value.Instance]]
	// callSlots bounds the concurrent control calls.
	callSlots chan struct{}
	workers   sync.WaitGroup
}

// newEngineController returns the controller of a shard without servers.
func newEngineController(r *Router, u *shardRunner) *engineController {
	c := &engineController{Router: r, updater: u, inbox: make(chan order.Event, plannerInboxSize), callSlots: make(chan struct{}, maxControlCalls)}
	c.instances.Store(&value.List[value.Instance]{})
	return c
}

// configure applies a configuration and the server list of the shard.
func (c *engineController) configure(e order.Configured) {
	c.instances.Store(&e.Instances)
	c.post(e)
}

// post passes an event to the planner.
func (c *engineController) post(e order.Event) {
	select {
	case c.inbox <- e:
	case <-c.updater.done:
	}
}

// run polls the engines and plans orders until ctx ends.
//
// Plain services get no control calls, because the path of a control call could be one of their own.
func (c *engineController) run(ctx context.Context) {
	c.workers.Go(func() { c.plan(ctx) })
	c.pollServers(ctx)
	c.workers.Wait()
}

// plan runs the planner of orders.
func (c *engineController) plan(ctx context.Context) {
	state, _ := order.State{}.Decide(order.BecameOwner{}, c.clock.Now())
	var wake <-chan hoist.Millis
	for {
		var e order.Event
		select {
		case <-ctx.Done():
			return
		case e = <-c.inbox:
		case <-wake:
			wake, e = nil, order.Ticked{}
		}
		next, effects := state.Decide(e, c.clock.Now())
		state = next
		for _, x := range effects {
			switch x := x.(type) {
			case order.Wait:
				wake = c.clock.After(max(x.Until-c.clock.Now(), 1))
			case order.Read:
				c.spawnCall(ctx, x.Server, c.readState)
			case order.Send:
				c.spawnCall(ctx, x.Server, func(ctx context.Context, i value.Instance) { c.sendOrder(ctx, i, x) })
			}
		}
	}
}

// spawnCall makes one control call in a new goroutine; at most maxControlCalls run at once. An unknown server is
// reported as unreachable.
func (c *engineController) spawnCall(ctx context.Context, server string, f func(context.Context, value.Instance)) {
	for i := range c.instances.Load().All() {
		if i.Name() != server {
			continue
		}
		c.workers.Go(func() {
			select {
			case c.callSlots <- struct{}{}:
				defer func() { <-c.callSlots }()
				f(ctx, i)
			case <-ctx.Done():
			}
		})
		return
	}
	c.workers.Go(func() { c.post(order.Unreachable{Server: server}) })
}

// readState reads the state of an engine and reports it to the planner and the updater.
func (c *engineController) readState(ctx context.Context, i value.Instance) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout.Duration())
	defer cancel()
	state, err := c.client.State(ctx, i.Address())
	if err != nil {
		c.post(order.Unreachable{Server: i.Name()})
		return
	}
	c.updater.Post(sched.EngineStateRead{Server: i.Name(), State: state})
	c.post(order.Observed{Server: i.Name(), State: state})
}

// sendOrder sends an order unless its deadline has passed, which happens if the process was paused.
func (c *engineController) sendOrder(ctx context.Context, i value.Instance, x order.Send) {
	timeLeft := x.Deadline - c.clock.Now()
	if timeLeft <= 0 {
		c.post(order.Answered{Server: i.Name(), ID: x.Order.Id(), Answer: order.AnswerUnknown})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeLeft.Duration())
	defer cancel()
	c.post(order.Sent{Server: i.Name(), ID: x.Order.Id()})
	err := c.client.Order(ctx, i.Address(), x.Order)
	result := order.AnswerAccepted
	fields := logrus.Fields{"server": i.Name(), "order": x.Order.Id(), "kind": x.Order.Kind(), "name": x.Order.Name()}
	switch {
	case err == nil:
		c.log.Write(event.Ordered, fields)
	case eris.Is(err, engine.ErrFenced):
		result = order.AnswerFenced
		c.log.Write(event.OrderFenced, fields)
	default:
		result = order.AnswerUnknown
		fields["error"] = err.Error()
		c.log.Write(event.OrderFailed, fields)
	}
	c.post(order.Answered{Server: i.Name(), ID: x.Order.Id(), Answer: result})
}

// pollServers requests the load and the cache events of each server at the report interval of the settings.
func (c *engineController) pollServers(ctx context.Context) {
	ticker := time.NewTicker(hoist.Millis(c.settings.Timing().ReportMs()).Duration())
	defer ticker.Stop()
	polls := map[string]*pollState{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for i := range c.instances.Load().All() {
			p := polls[i.Name()]
			if p == nil {
				p = &pollState{}
				polls[i.Name()] = p
			}
			// A server is not polled again before its previous poll has ended.
			if p.inFlight.CompareAndSwap(false, true) {
				c.spawnCall(ctx, i.Name(), func(ctx context.Context, i value.Instance) { c.pollServer(ctx, i, p) })
			}
		}
	}
}

// pollState is the state of polling one server.
type pollState struct {
	inFlight atomic.Bool
	// nextEvent is the sequence number of the next cache event.
	nextEvent atomic.Uint64
}

// pollServer polls one server; nothing is posted for a failed request.
func (c *engineController) pollServer(ctx context.Context, i value.Instance, p *pollState) {
	defer p.inFlight.Store(false)
	ctx, cancel := context.WithTimeout(ctx, controlTimeout.Duration())
	defer cancel()
	if load, err := c.client.Load(ctx, i.Address()); err == nil {
		c.updater.Post(sched.LoadReported{Server: i.Name(), Load: load})
	}
	events, err := c.client.CacheEvents(ctx, i.Address(), p.nextEvent.Load())
	if err == nil && events.Events().Len() > 0 {
		p.nextEvent.Store(events.Next())
		c.updater.Post(sched.CacheChanged{Server: i.Name(), Events: events})
	}
}
