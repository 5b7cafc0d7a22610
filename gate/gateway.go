// Package gate runs callers' requests: it drives the state machine of package call against dispatchers and backend servers.
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

// Dispatcher names the dispatcher that received an ask; later messages of the attempt follow it.
type Dispatcher struct {
	// Name of the router instance.
	Name string
	// Incarnation of the router process.
	Incarnation uint64
	// Local routes lead to the gateway's own fallback queue.
	Local bool
}

// Sender passes messages to dispatchers; it must not block for long.
type Sender interface {
	// Ask passes an ask to the owner of its shard; it fails when no dispatcher can be reached.
	Ask(ctx context.Context, a value.Ask) (Dispatcher, error)
	// Send passes any other message along the route of its attempt.
	Send(r Dispatcher, body value.GatewayMessageBody)
}

// Sink receives the answer of one request.
type Sink interface {
	// Frame passes one token frame to the caller; an error means that the caller is gone.
	Frame(data []byte) error
	// Answer passes the whole answer of a plain service.
	Answer(a engine.Answer) error
}

// Gateway runs requests; it is safe for concurrent use.
type Gateway struct {
	clock       hoist.Clock
	client      *engine.Client
	sender      Sender
	incarnation uint64
	last        atomic.Uint64
	sessions    sync.Map // request number to *session
	active      atomic.Int64
	budget      atomic.Pointer[retry.State]
	records     records
	// Stale counts frames and messages of attempts that were no longer in progress.
	Stale atomic.Uint64
}

// New returns a gateway of the process with the incarnation.
func New(clock hoist.Clock, client *engine.Client, sender Sender, incarnation uint64) *Gateway {
	g := &Gateway{clock: clock, client: client, sender: sender, incarnation: incarnation}
	s := retry.New(retry.Limits{})
	g.budget.Store(&s)
	return g
}

// Configure sets the limits of extra attempts.
func (g *Gateway) Configure(p value.Policy) { g.consult(retry.Configured{Policy: p}) }

// consult passes an event to the retry state; writers that lose a race decide again on the new state.
func (g *Gateway) consult(e retry.Event) (verdict retry.Verdict) {
	hoist.Update(&g.budget, func(s retry.State) retry.State {
		s, verdict = s.Decide(e, g.clock.Now())
		return s
	})
	return verdict
}

// NextRequest returns the identity of a new request, with attempt number 0.
func (g *Gateway) NextRequest() value.Attempt {
	return value.Attempt{}.WithIncarnation(g.incarnation).WithRequest(g.last.Add(1))
}

// Active returns the number of requests in progress.
func (g *Gateway) Active() int64 { return g.active.Load() }

// Run runs one request to its end; ask carries the identity from NextRequest.
func (g *Gateway) Run(ctx context.Context, ask value.Ask, work engine.Call, sink Sink) call.Result {
	g.active.Add(1)
	defer g.active.Add(-1)
	s := newSession(g, ask, work, sink)
	number := ask.Attempt().Request()
	g.sessions.Store(number, s)
	defer g.sessions.Delete(number)
	return s.run(ctx)
}

// Deliver passes a dispatcher's message to the request that it belongs to.
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
			v.(*session).query(b.Shard(), from)
			return true
		})
	}
}

// DispatcherLost tells every request that waits for the dispatcher that it cannot be reached.
func (g *Gateway) DispatcherLost(lost Dispatcher) {
	g.sessions.Range(func(_, v any) bool {
		v.(*session).lose(lost)
		return true
	})
}

// post passes an event to its request; it reports false when the request has ended or is of another process.
func (g *Gateway) post(a value.Attempt, e call.Event) bool {
	if a.Incarnation() != g.incarnation {
		return false
	}
	v, ok := g.sessions.Load(a.Request())
	return ok && v.(*session).post(e)
}
