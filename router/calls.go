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

// maxForwardHops bounds the forwarding of a call: only the issuer of its token receives it.
const maxForwardHops = 1

// calls runs calls to plain services and applies the idempotency rules of package idem.
type calls struct {
	*Router
	state atomic.Pointer[idem.State]
}

// execution is the single run of a token's call; response is set before done is closed.
type execution struct {
	done     chan struct{}
	response value.ForwardAnswer
}

// newCalls returns calls with an empty table of idempotency records.
func newCalls(r *Router) *calls {
	c := &calls{Router: r}
	s := idem.New(r.incarnation, r.clock.Now())
	c.state.Store(&s)
	return c
}

// window returns the current window of idempotency tokens.
func (c *calls) window() uint64 { return c.state.Load().Window(c.clock.Now()) }

// decide applies an event to the record table. If a concurrent update wins, the event is applied again to the new
// table.
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
		return rejected(value.RefusalReasonMismatch, value.OutcomeNotRun)
	}
	response, result := c.runOnce(ctx, token, x, 0)
	if result.Outcome != value.OutcomeRan || response.Status() == 0 {
		return result
	}
	if err := sink.Answer(engineResponse(response)); err != nil {
		result.Outcome = value.OutcomeUnknown
	}
	return result
}

// withTimeout returns a context that ends at the service's timeout, if it has one.
func withTimeout(ctx context.Context, s value.Service) (context.Context, context.CancelFunc) {
	if s.TimeoutMs() == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, hoist.Millis(s.TimeoutMs()).Duration())
}

// rejected returns the result of a call that this router does not run.
func rejected(reason value.RefusalReason, o value.Outcome) call.Result {
	return call.Result{Outcome: o, Reason: reason}
}

// runOnce runs the token's call, waits for a run in progress, returns the stored response or forwards the call to the
// issuer of the token.
func (c *calls) runOnce(ctx context.Context, t idem.Token, x front.ServiceCall, hops int) (value.ForwardAnswer, call.Result) {
	exec := &execution{done: make(chan struct{})}
	switch v := c.decide(idem.Arrived{Token: t, Fingerprint: callFingerprint(x), Execution: exec}).(type) {
	case idem.Run:
		return c.execute(ctx, t, x, exec)
	case idem.Join:
		return waitFor(ctx, v.Execution.(*execution))
	case idem.Replay:
		return v.Answer, call.Result{Outcome: v.Answer.Outcome()}
	case idem.Forward:
		if hops >= maxForwardHops {
			return value.ForwardAnswer{}, rejected(value.RefusalReasonIssuer, value.OutcomeUnknown)
		}
		return c.forward(ctx, v.Issuer, x)
	case idem.Refuse:
		return value.ForwardAnswer{}, rejected(v.Reason, v.Outcome)
	}
	return value.ForwardAnswer{}, rejected(value.RefusalReasonUnspecified, value.OutcomeUnknown)
}

// execute runs the call. The run continues if the caller disconnects, so that a repeated call gets the response.
func (c *calls) execute(ctx context.Context, t idem.Token, x front.ServiceCall, e *execution) (value.ForwardAnswer, call.Result) {
	ctx, cancel := withTimeout(context.WithoutCancel(ctx), x.Service)
	defer cancel()
	capture := &responseCapture{}
	result := c.gateway.Run(ctx, x.Ask, x.Call, capture)
	e.response = capture.response.WithOutcome(result.Outcome)
	c.decide(idem.Completed{Token: t, Answer: e.response})
	close(e.done)
	return e.response, result
}

// waitFor waits for a run that an earlier call with the same token started.
func waitFor(ctx context.Context, e *execution) (value.ForwardAnswer, call.Result) {
	select {
	case <-e.done:
		return e.response, call.Result{Outcome: e.response.Outcome()}
	case <-ctx.Done():
		return value.ForwardAnswer{}, rejected(value.RefusalReasonTimeout, value.OutcomeUnknown)
	}
}

// forward forwards the call to the issuer of its token. If that fails, the call is not run elsewhere.
func (c *calls) forward(ctx context.Context, issuer uint64, x front.ServiceCall) (value.ForwardAnswer, call.Result) {
	unreachable := rejected(value.RefusalReasonIssuer, value.OutcomeUnknown)
	for _, m := range c.fleet.view().Members() {
		if m.Incarnation() != issuer {
			continue
		}
		ctx, cancel := withTimeout(ctx, x.Service)
		defer cancel()
		response, err := c.dispatcher.peers.Forward(ctx, m, forwardRequest(x))
		if err != nil {
			return value.ForwardAnswer{}, unreachable
		}
		return response, call.Result{Outcome: response.Outcome(), Reason: response.Reason()}
	}
	return value.ForwardAnswer{}, unreachable
}

// Forward handles a call that another router forwarded to this one as the issuer of its token.
func (c *calls) Forward(ctx context.Context, f value.ForwardRequest) value.ForwardAnswer {
	unknown := value.ForwardAnswer{}.WithOutcome(value.OutcomeUnknown).WithReason(value.RefusalReasonIssuer)
	token, err := idem.ParseToken(f.Token())
	if err != nil {
		return unknown
	}
	x, ok := c.rebuildCall(f)
	if !ok {
		return unknown
	}
	response, result := c.runOnce(ctx, token, x, maxForwardHops)
	return response.WithOutcome(result.Outcome).WithReason(result.Reason)
}

// rebuildCall returns a forwarded call resolved against this router's configuration; it returns false if the service,
// the credential or a shard is unknown.
func (c *calls) rebuildCall(f value.ForwardRequest) (front.ServiceCall, bool) {
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
	request := engine.ServiceCall{Method: f.Method(), Path: f.Path(), Header: http.Header{}, Body: []byte(f.Body()), NoReuse: true}
	for h := range f.Headers().All() {
		request.Header.Add(h.Name(), h.Value())
	}
	return front.ServiceCall{Ask: ask, Call: request, Service: service, Credential: credential, Token: f.Token()}, true
}

// forwardRequest returns the message that forwards a call to the issuer of its token.
func forwardRequest(x front.ServiceCall) value.ForwardRequest {
	return value.ForwardRequest{}.WithToken(x.Token).WithCredential(x.Credential.Name()).
		WithMethod(x.Call.Method).WithService(x.Service.Name()).WithPath(x.Call.Path).
		WithHeaders(headersOf(x.Call.Header)).WithBody(string(x.Call.Body))
}

// headersOf converts header fields to values.
func headersOf(h http.Header) value.List[value.Header] {
	var fields []value.Header
	for name, values := range h {
		for _, v := range values {
			fields = append(fields, value.Header{}.WithName(name).WithValue(v))
		}
	}
	return value.ListOf(fields...)
}

// engineResponse converts a stored or forwarded response to the form in which a plain service returns it.
func engineResponse(a value.ForwardAnswer) engine.Answer {
	h := http.Header{}
	for f := range a.Headers().All() {
		h.Add(f.Name(), f.Value())
	}
	return engine.Answer{Status: int(a.Status()), Header: h, Body: []byte(a.Body())}
}

// callFingerprint returns a hash of the workspace and the content of a call, so that a token cannot be used to fetch
// the response to another call.
func callFingerprint(x front.ServiceCall) uint64 {
	return xxhash.Sum64String(strings.Join([]string{
		x.Credential.Workspace(), x.Service.Name(), x.Call.Method, x.Call.Path, string(x.Call.Body),
	}, "\x00"))
}

// responseCapture is a gate.Sink that stores the response of a plain service.
type responseCapture struct {
	response value.ForwardAnswer
}

// Frame implements gate.Sink; plain services do not stream frames.
func (*responseCapture) Frame([]byte) error { return nil }

// Answer implements gate.Sink.
func (c *responseCapture) Answer(a engine.Answer) error {
	c.response = value.ForwardAnswer{}.WithStatus(int32(a.Status)).WithHeaders(headersOf(a.Header)).WithBody(string(a.Body))
	return nil
}
