// Package gate runs callers' requests: it applies events to the state machine of package call and performs its effects
// on dispatchers and backend servers.
package gate

import (
	"context"
	"sync"
	"sync/atomic"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/engine"
	"chicoryhoist.example/hoist/retry"
	"chicoryhoist.example/hoist/value"
)

// Dispatcher identifies the dispatcher that received a placement request; it also receives later messages of the attempt.
type Dispatcher struct {
	// Name is the name of the router instance.
	Name string
	// Incarnation identifies the router process.
	Incarnation uint64
	// Local means the gateway's own fallback queue.
	Local bool
}

// Sender sends messages to dispatchers; it must not block for long.
type Sender interface {
	// Ask sends a placement request to the owner of its shard; it fails if no dispatcher can be reached.
	Ask(ctx context.Context, a value.Ask) (Dispatcher, error)
	// Send sends any other message to the dispatcher of its attempt.
	Send(d Dispatcher, body value.GatewayMessageBody)
}

// Sink receives the response to one request.
type Sink interface {
	// Frame delivers one token frame to the caller; an error means that the caller has disconnected.
	Frame(data []byte) error
	// Answer delivers the complete response of a plain service.
	Answer(a engine.Answer) error
}

// Gateway runs requests; it is safe for concurrent use.
type Gateway struct {
	clock       hoist.Clock
	client      *engine.Client
	sender      Sender
	incarnation uint64
	lastRequest atomic.Uint64
	sessions    sync.Map // request number to *session
	active      atomic.Int64
	retryState  atomic.Pointer[retry.State]
	records     records
	// Stale counts discarded frames and grants: those of attempts that were not in progress, and frames that were already delivered.
	Stale atomic.Uint64
}

// New returns a gateway for the router process with the incarnation.
func New(clock hoist.Clock, client *engine.Client, sender Sender, incarnation uint64) *Gateway {
	g := &Gateway{clock: clock, client: client, sender: sender, incarnation: incarnation}
	s := retry.New(retry.Limits{})
	g.retryState.Store(&s)
	return g
}

// Configure sets the limits of extra attempts from the policy.
func (g *Gateway) Configure(p value.Policy) { g.updateRetry(retry.Configured{Policy: p}) }

// updateRetry applies an event to the retry state; if another goroutine has replaced the state meanwhile, it decides again on the new state.
func (g *Gateway) updateRetry(e retry.Event) (verdict retry.Verdict) {
	hoist.Update(&g.retryState, func(s retry.State) retry.State {
		s, verdict = s.Decide(e, g.clock.Now())
		return s
	})
	return verdict
}

// NextRequest returns the identity of a new request, with attempt number 0.
func (g *Gateway) NextRequest() value.Attempt {
	return value.Attempt{}.WithIncarnation(g.incarnation).WithRequest(g.lastRequest.Add(1))
}

// Active returns the number of requests in progress.
func (g *Gateway) Active() int64 { return g.active.Load() }

// Run runs one request to its end; ask is the template of its placement requests, with the identity from NextRequest.
func (g *Gateway) Run(ctx context.Context, ask value.Ask, work engine.Call, sink Sink) call.Result {
	g.active.Add(1)
	defer g.active.Add(-1)
	s := newSession(g, ask, work, sink)
	number := ask.Attempt().Request()
	g.sessions.Store(number, s)
	defer g.sessions.Delete(number)
	return s.run(ctx)
}

// Deliver passes a dispatcher's message to its request; a Query goes to all requests.
func (g *Gateway) Deliver(from Dispatcher, body value.DispatcherMessageBody) {
	switch b := body.(type) {
	case value.Grant:
		if !g.post(b.Attempt(), call.Granted{Grant: b}) {
			g.Stale.Add(1)
			g.sender.Send(from, value.End{}.WithAttempt(b.Attempt()).WithKind(value.EndKindCancelled).WithShard(b.Shard()))
		}
	case value.Refusal:
		g.post(b.Attempt(), call.Refused{Refusal: b})
	case value.Preempt:
		g.post(b.Attempt(), call.Preempted{Attempt: b.Attempt()})
	case value.Query:
		g.sessions.Range(func(_, v any) bool {
			v.(*session).reportHoldings(b.Shard(), from)
			return true
		})
	}
}

// DispatcherLost tells every request with an attempt at the dispatcher that the dispatcher cannot be reached.
func (g *Gateway) DispatcherLost(lost Dispatcher) {
	g.sessions.Range(func(_, v any) bool {
		v.(*session).dispatcherLost(lost)
		return true
	})
}

// post queues an event for its request; it reports false if the request has ended or belongs to another process.
func (g *Gateway) post(a value.Attempt, e call.Event) bool {
	if a.Incarnation() != g.incarnation {
		return false
	}
	v, ok := g.sessions.Load(a.Request())
	return ok && v.(*session).post(e)
}
