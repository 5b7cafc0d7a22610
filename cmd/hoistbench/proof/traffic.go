package proof

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/appsrv"
	"chicoryhoist.example/hoist/cmd/standin/llmsrv"
	"chicoryhoist.example/hoist/cmd/standin/load"
	"chicoryhoist.example/hoist/cmd/standin/pbjson"
	"chicoryhoist.example/hoist/wire"
)

const (
	// requestTimeout bounds one request of a caller.
	requestTimeout = 30 * time.Second
	// trafficRequestsPerSecond is less than half of what the engines can serve.
	trafficRequestsPerSecond = 40
	// maxCallSends bounds how often one plain call is sent.
	maxCallSends = 4
	// resendDelay is the delay before a plain call is sent again.
	resendDelay = 400 * hoist.Millis(1)
	// maxErrorBytes bounds the portion of an error body that is kept.
	maxErrorBytes = 400
)

// record is the result of one request for its caller; all sends of a plain call share one record.
type record struct {
	number int
	// router received the first send; issuer is the router whose token a plain call carries.
	router, issuer *router
	plainCall      bool
	startedAt      hoist.Millis
	outcome        load.Outcome
	// allNotRun is set if every send was reported as not run.
	allNotRun bool
	detail    string
}

// String describes the request for a violation.
func (r record) String() string {
	kind := "completion"
	if r.plainCall {
		kind = "call with a token of " + r.issuer.name
	}
	return fmt.Sprintf("%s %d through %s: %s %s", kind, r.number, r.router.name, r.outcome, r.detail)
}

// dependsOn reports whether the request needs the process of a router.
func (r record) dependsOn(x *router) bool { return r.router == x || r.plainCall && r.issuer == x }

// token is the issuer and window of a router's idempotency tokens.
type token struct{ issuer, window string }

// traffic sends completions and plain calls at a constant rate through all routers.
type traffic struct {
	*fleet
	prefix  string
	client  *http.Client
	targets atomic.Pointer[[]*router]
	tokens  map[*router]token
	mutex   sync.Mutex
	records []record
	done    chan struct{}
}

// startTraffic starts the traffic; the name of the scenario keeps call identifiers distinct between scenarios.
func (t *testRun) startTraffic(ctx context.Context, duration hoist.Millis) *traffic {
	x := &traffic{
		fleet: t.fleet, prefix: t.name, done: make(chan struct{}), tokens: map[*router]token{},
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: trafficRequestsPerSecond}},
	}
	x.setTargets(t.routers...)
	for _, r := range t.routers {
		issued, err := x.token(ctx, r)
		t.check(err == nil, "read token of %s: %v", r.name, err)
		x.tokens[r] = issued
	}
	go func() {
		defer close(x.done)
		defer x.client.CloseIdleConnections()
		x.run(ctx, duration)
	}()
	return x
}

// setTargets replaces the routers to which new requests go, as a load balancer does.
func (x *traffic) setTargets(rs ...*router) { x.targets.Store(&rs) }

// otherRouters returns all routers except one.
func (f *fleet) otherRouters(r *router) []*router {
	var others []*router
	for _, o := range f.routers {
		if o != r {
			others = append(others, o)
		}
	}
	return others
}

// wait waits for the end of the traffic and returns its records.
func (x *traffic) wait() []record {
	<-x.done
	return x.records
}

// run sends requests for the duration and returns when all have ended.
func (x *traffic) run(ctx context.Context, duration hoist.Millis) {
	var pending sync.WaitGroup
	defer pending.Wait()
	startedAt := x.clock.Now()
	for i := range int(duration) * trafficRequestsPerSecond / int(hoist.Second) {
		sendAt := startedAt + hoist.Millis(i)*hoist.Second/trafficRequestsPerSecond
		select {
		case <-x.clock.After(max(0, sendAt-x.clock.Now())):
		case <-ctx.Done():
			return
		}
		pending.Go(func() { x.send(ctx, i) })
	}
}

// send sends one request; every fourth one is a plain call.
func (x *traffic) send(ctx context.Context, number int) {
	targets := *x.targets.Load()
	r := record{number: number, router: targets[number%len(targets)], startedAt: x.clock.Now()}
	if number%4 == 3 {
		r.plainCall, r.issuer = true, r.router
		if number%3 == 0 {
			r.issuer = x.routers[(number/3)%len(x.routers)]
		}
		x.sendCall(ctx, &r, targets)
	} else {
		// Some responses are long enough to be in progress at any fault.
		text := fmt.Sprintf("Question %d of %s. [[tokens=%d]]", number, x.prefix, 20+number*37%140)
		r.outcome, r.detail = x.sendCompletion(ctx, r.router, text)
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.records = append(x.records, r)
}

// sendCompletion sends a streamed completion request and compares the response byte by byte.
func (x *traffic) sendCompletion(ctx context.Context, r *router, text string) (load.Outcome, string) {
	user := &wire.ChatMessage{}
	user.SetRole("user")
	user.SetContent(text)
	m := &wire.CompletionRequest{}
	m.SetModel(model)
	m.SetStream(true)
	m.SetMessages([]*wire.ChatMessage{user})
	response, err := x.do(ctx, r, http.MethodPost, "/v1/chat/completions", string(pbjson.Marshal(m)), "")
	if err != nil {
		return load.Unreached, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errorOutcome(response)
	}
	got, want := load.ReadStream(response.Body, x.clock), llmsrv.ResponseText(m)
	switch {
	case !strings.HasPrefix(want, got.Text):
		return load.Wrong, fmt.Sprintf("got %q, want %q", got.Text, want)
	case got.Err != "" || !got.Done || got.Text != want:
		return load.Truncated, fmt.Sprintf("%d of %d bytes %s", len(got.Text), len(want), got.Err)
	default:
		return load.Complete, ""
	}
}

// callID returns the identifier under which the plain service counts a call.
func (x *traffic) callID(number int) string { return fmt.Sprintf("%s-%d", x.prefix, number) }

// sendCall sends a plain call with an idempotency token until it succeeds, at most maxCallSends times, each time to the
// next of the present targets. Every other call is also sent to a second router at the same time.
func (x *traffic) sendCall(ctx context.Context, r *record, targets []*router) {
	issued := x.tokens[r.issuer]
	header := fmt.Sprintf("%s.%s.%s", issued.issuer, issued.window, x.callID(r.number))
	var duplicate sync.WaitGroup
	duplicateNotRun := true
	if r.number%2 == 1 && r.number%8 == 3 {
		duplicate.Go(func() {
			outcome, _ := x.sendCallOnce(ctx, targets[(r.number+1)%len(targets)], r.number, header)
			duplicateNotRun = outcome == load.NotRun
		})
	}
	r.allNotRun = true
	for i := range maxCallSends {
		to := r.router
		if i > 0 {
			<-x.clock.After(resendDelay)
			current := *x.targets.Load()
			to = current[(r.number+i)%len(current)]
		}
		r.outcome, r.detail = x.sendCallOnce(ctx, to, r.number, header)
		r.allNotRun = r.allNotRun && r.outcome == load.NotRun
		if r.outcome == load.Complete {
			break
		}
	}
	duplicate.Wait()
	r.allNotRun = r.allNotRun && duplicateNotRun
}

// sendCallOnce sends a plain call once and checks the response.
func (x *traffic) sendCallOnce(ctx context.Context, to *router, number int, token string) (load.Outcome, string) {
	path := fmt.Sprintf("/v1/services/%s/visits?call=%s", serviceName, x.callID(number))
	response, err := x.do(ctx, to, http.MethodPost, path, "visit", token)
	if err != nil {
		return load.Unreached, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errorOutcome(response)
	}
	b, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return load.Truncated, err.Error()
	}
	if want := appsrv.ResponseBody(http.MethodPost, "/visits", x.callID(number)); string(b) != want {
		return load.Wrong, fmt.Sprintf("got %q, want %q", b, want)
	}
	return load.Complete, ""
}

// token reads the issuer and window for a token of a router.
func (x *traffic) token(ctx context.Context, r *router) (token, error) {
	response, err := x.do(ctx, r, http.MethodGet, "/v1/token", "", "")
	if err != nil {
		return token{}, err
	}
	defer func() { _ = response.Body.Close() }()
	return token{response.Header.Get("X-Token-Issuer"), response.Header.Get("X-Token-Window")}, nil
}

// do sends one request with the caller's secret.
func (x *traffic) do(ctx context.Context, to *router, method, path, body, token string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+to.callerAddress+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+callerSecret)
	r.Header.Set("Content-Type", "application/json")
	if token != "" {
		r.Header.Set("Idempotency-Token", token)
	}
	return x.client.Do(r)
}

// errorOutcome returns the outcome that an error response reports, and its status and body.
func errorOutcome(r *http.Response) (load.Outcome, string) {
	b, _ := io.ReadAll(io.LimitReader(r.Body, maxErrorBytes))
	detail := r.Status + " " + string(b)
	if r.Header.Get("X-Outcome") == "not-run" {
		return load.NotRun, detail
	}
	return load.Unknown, detail
}
