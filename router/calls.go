package router

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/engine"
	"chicoryhoist.example/hoist/front"
	"chicoryhoist.example/hoist/gate"
	"chicoryhoist.example/hoist/idem"
	"chicoryhoist.example/hoist/value"
)

// forwardHops bounds the forwarding of a call: only its issuer receives it.
const forwardHops = 1

// calls runs calls to plain services under the rules of package idem.
type calls struct {
	*Router
	state atomic.Pointer[idem.State]
}

// execution is the one run of a token's call; answer is set before done is closed.
type execution struct {
	done   chan struct{}
	answer value.ForwardAnswer
}

// newCalls returns an empty record table of this process.
func newCalls(r *Router) *calls {
	c := &calls{Router: r}
	s := idem.New(r.incarnation, r.clock.Now())
	c.state.Store(&s)
	return c
}

// window returns the current window for idempotency tokens.
func (c *calls) window() uint64 { return c.state.Load().Window(c.clock.Now()) }

// decide applies an event to the record table; writers that lose a race decide again on the new table.
func (c *calls) decide(e idem.Event) (verdict idem.Verdict) {
	hoist.Update(&c.state, func(s idem.State) idem.State {
		s, verdict = s.Decide(e, c.clock.Now())
		return s
	})
	return verdict
}

// Run implements front.ServiceRunner.
func (c *calls) Run(ctx context.Context, x front.ServiceCall, sink gate.Sink) call.Result {
	if x.Token == "" {
		ctx, cancel := withTimeout(ctx, x.Service)
		defer cancel()
		return c.gateway.Run(ctx, x.Ask, x.Call, sink)
	}
	token, err := idem.ParseToken(x.Token)
	if err != nil {
		return refused(value.RefusalReasonMismatch, value.OutcomeNotRun)
	}
	answer, result := c.once(ctx, token, x, 0)
	if result.Outcome != value.OutcomeRan || answer.Status() == 0 {
		return result
	}
	if err := sink.Answer(answerOf(answer)); err != nil {
		result.Outcome = value.OutcomeUnknown
	}
	return result
}

// withTimeout returns a context that ends after the service's time limit.
func withTimeout(ctx context.Context, s value.Service) (context.Context, context.CancelFunc) {
	if s.TimeoutMs() == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, hoist.Millis(s.TimeoutMs()).Duration())
}

// refused returns the result of an arrival that this router does not run.
func refused(reason value.RefusalReason, o value.Outcome) call.Result {
	return call.Result{Outcome: o, Reason: reason}
}

// once runs the token's call, waits for its execution or repeats its answer.
func (c *calls) once(ctx context.Context, t idem.Token, x front.ServiceCall, hops int) (value.ForwardAnswer, call.Result) {
	own := &execution{done: make(chan struct{})}
	switch v := c.decide(idem.Arrived{Token: t, Fingerprint: printOf(x), Execution: own}).(type) {
	case idem.Run:
		return c.execute(ctx, t, x, own)
	case idem.Join:
		return wait(ctx, v.Execution.(*execution))
	case idem.Replay:
		return v.Answer, call.Result{Outcome: v.Answer.Outcome()}
	case idem.Forward:
		if hops >= forwardHops {
			return value.ForwardAnswer{}, refused(value.RefusalReasonIssuer, value.OutcomeUnknown)
		}
		return c.forward(ctx, v.Issuer, x)
	case idem.Refuse:
		return value.ForwardAnswer{}, refused(v.Reason, v.Outcome)
	}
	return value.ForwardAnswer{}, refused(value.RefusalReasonUnspecified, value.OutcomeUnknown)
}

// execute runs the call; it goes on when its caller disconnects, so that a repeat finds the answer.
func (c *calls) execute(ctx context.Context, t idem.Token, x front.ServiceCall, e *execution) (value.ForwardAnswer, call.Result) {
	ctx, cancel := withTimeout(context.WithoutCancel(ctx), x.Service)
	defer cancel()
	capture := &capture{}
	result := c.gateway.Run(ctx, x.Ask, x.Call, capture)
	e.answer = capture.answer.WithOutcome(result.Outcome)
	c.decide(idem.Completed{Token: t, Answer: e.answer})
	close(e.done)
	return e.answer, result
}

// wait waits for the execution of an earlier arrival.
func wait(ctx context.Context, e *execution) (value.ForwardAnswer, call.Result) {
	select {
	case <-e.done:
		return e.answer, call.Result{Outcome: e.answer.Outcome()}
	case <-ctx.Done():
		return value.ForwardAnswer{}, refused(value.RefusalReasonTimeout, value.OutcomeUnknown)
	}
}

// forward passes the arrival on to the issuer; whatever goes wrong, the call is never run elsewhere.
func (c *calls) forward(ctx context.Context, issuer uint64, x front.ServiceCall) (value.ForwardAnswer, call.Result) {
	unreachable := refused(value.RefusalReasonIssuer, value.OutcomeUnknown)
	for _, m := range c.fleet.view().Members() {
		if m.Incarnation() != issuer {
			continue
		}
		ctx, cancel := withTimeout(ctx, x.Service)
		defer cancel()
		answer, err := c.dispatcher.links.Forward(ctx, m, forwardRequest(x))
		if err != nil {
			return value.ForwardAnswer{}, unreachable
		}
		return answer, call.Result{Outcome: answer.Outcome(), Reason: answer.Reason()}
	}
	return value.ForwardAnswer{}, unreachable
}

// Forward implements the issuer's side of forward.
func (c *calls) Forward(ctx context.Context, f value.ForwardRequest) value.ForwardAnswer {
	rejected := value.ForwardAnswer{}.WithOutcome(value.OutcomeUnknown).WithReason(value.RefusalReasonIssuer)
	token, err := idem.ParseToken(f.Token())
	if err != nil {
		return rejected
	}
	x, ok := c.received(f)
	if !ok {
		return rejected
	}
	answer, result := c.once(ctx, token, x, forwardHops)
	return answer.WithOutcome(result.Outcome).WithReason(result.Reason)
}

// received rebuilds the call of a forwarded arrival against this router's configuration.
func (c *calls) received(f value.ForwardRequest) (front.ServiceCall, bool) {
	view := c.config.view()
	if view == nil {
		return front.ServiceCall{}, false
	}
	service, known := view.Service(f.Service())
	credential, listed := view.CredentialNamed(f.Credential())
	if !known || !listed {
		return front.ServiceCall{}, false
	}
	shard, ok := c.Shard([]string{service.Pool()})
	if !ok {
		return front.ServiceCall{}, false
	}
	ask := value.Ask{}.WithAttempt(c.gateway.NextRequest()).WithShard(shard).WithClass(credential.Class()).
		WithWorkspace(credential.Workspace()).WithDatacentre(c.settings.Datacentre())
	work := engine.ServiceCall{Method: f.Method(), Path: f.Path(), Header: http.Header{}, Body: []byte(f.Body()), NoReuse: true}
	for h := range f.Headers().All() {
		work.Header.Add(h.Name(), h.Value())
	}
	return front.ServiceCall{Ask: ask, Call: work, Service: service, Credential: credential, Token: f.Token()}, true
}

// forwardRequest returns the message that passes a call on to its issuer.
func forwardRequest(x front.ServiceCall) value.ForwardRequest {
	return value.ForwardRequest{}.WithToken(x.Token).WithCredential(x.Credential.Name()).
		WithMethod(x.Call.Method).WithService(x.Service.Name()).WithPath(x.Call.Path).
		WithHeaders(headersOf(x.Call.Header)).WithBody(string(x.Call.Body))
}

// headersOf returns the header fields as values.
func headersOf(h http.Header) value.List[value.Header] {
	var fields []value.Header
	for name, values := range h {
		for _, v := range values {
			fields = append(fields, value.Header{}.WithName(name).WithValue(v))
		}
	}
	return value.ListOf(fields...)
}

// answerOf returns a stored or forwarded answer as a plain service gave it.
func answerOf(a value.ForwardAnswer) engine.Answer {
	h := http.Header{}
	for f := range a.Headers().All() {
		h.Add(f.Name(), f.Value())
	}
	return engine.Answer{Status: int(a.Status()), Header: h, Body: []byte(a.Body())}
}

// printOf identifies the caller and the content of a call, so that a token cannot fetch another call's answer.
func printOf(x front.ServiceCall) uint64 {
	return xxhash.Sum64String(strings.Join([]string{
		x.Credential.Workspace(), x.Service.Name(), x.Call.Method, x.Call.Path, string(x.Call.Body),
	}, "\x00"))
}

// capture is a sink that keeps the answer of a plain service.
type capture struct {
	answer value.ForwardAnswer
}

// Frame implements gate.Sink; a plain service has no frames.
func (*capture) Frame([]byte) error { return nil }

// Answer implements gate.Sink.
func (c *capture) Answer(a engine.Answer) error {
	c.answer = value.ForwardAnswer{}.WithStatus(int32(a.Status)).WithHeaders(headersOf(a.Header)).WithBody(string(a.Body))
	return nil
}
