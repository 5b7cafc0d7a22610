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
	// trafficRate is the number of requests per second, below half of what the engines can do.
	trafficRate = 40
	// resends bounds the sends of one plain call.
	resends = 4
	// resendDelay is the time before a plain call is sent again.
	resendDelay = 400 * hoist.Millis(1)
	// errorBytes bounds the part of an error body that is kept.
	errorBytes = 400
)

// record is one request as its caller saw it; a plain call has one for all of its sends.
type record struct {
	number int
	// router took the first send; issuer named the token of a plain call.
	router, issuer *router
	plain          bool
	begun          hoist.Millis
	outcome        load.Outcome
	// refused is set when every send was answered as not run.
	refused bool
	note    string
}

// String returns the record for a violation's note.
func (r record) String() string {
	kind := "completion"
	if r.plain {
		kind = "call with a token of " + r.issuer.name
	}
	return fmt.Sprintf("%s %d through %s: %s %s", kind, r.number, r.router.name, r.outcome, r.note)
}

// touches reports whether the request depends on the router's process.
func (r record) touches(x *router) bool { return r.router == x || r.plain && r.issuer == x }

// token is the issuer and window of a router's idempotency tokens.
type token struct{ issuer, window string }

// traffic sends a steady mix of completions and plain calls through all routers.
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

// traffic starts the mix; prefix keeps the numbers of plain calls apart from those of other scenarios.
func (t *trial) traffic(ctx context.Context, length hoist.Millis) *traffic {
	x := &traffic{
		fleet: t.fleet, prefix: t.name, done: make(chan struct{}), tokens: map[*router]token{},
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: trafficRate}},
	}
	x.retarget(t.routers...)
	for _, r := range t.routers {
		k, err := x.token(ctx, r)
		t.check(err == nil, "token of %s: %v", r.name, err)
		x.tokens[r] = k
	}
	go func() {
		defer close(x.done)
		defer x.client.CloseIdleConnections()
		x.run(ctx, length)
	}()
	return x
}

// retarget replaces the routers that new requests go to, as a load balancer does.
func (x *traffic) retarget(rs ...*router) { x.targets.Store(&rs) }

// without returns the routers but one.
func (f *fleet) without(r *router) []*router {
	var rest []*router
	for _, o := range f.routers {
		if o != r {
			rest = append(rest, o)
		}
	}
	return rest
}

// wait waits for the end of the traffic and returns its records.
func (x *traffic) wait() []record {
	<-x.done
	return x.records
}

// run sends requests for the length and returns when all have ended.
func (x *traffic) run(ctx context.Context, length hoist.Millis) {
	var all sync.WaitGroup
	defer all.Wait()
	begun := x.clock.Now()
	for i := range int(length) * trafficRate / int(hoist.Second) {
		due := begun + hoist.Millis(i)*hoist.Second/trafficRate
		select {
		case <-x.clock.After(max(0, due-x.clock.Now())):
		case <-ctx.Done():
			return
		}
		all.Go(func() { x.send(ctx, i) })
	}
}

// send sends one request; every fourth is a plain call.
func (x *traffic) send(ctx context.Context, number int) {
	targets := *x.targets.Load()
	r := record{number: number, router: targets[number%len(targets)], begun: x.clock.Now()}
	if number%4 == 3 {
		r.plain, r.issuer = true, r.router
		if number%3 == 0 {
			r.issuer = x.routers[(number/3)%len(x.routers)]
		}
		x.call(ctx, &r, targets)
	} else {
		// Some answers are long enough to be in progress at any fault.
		text := fmt.Sprintf("Question %d of %s. [[tokens=%d]]", number, x.prefix, 20+number*37%140)
		r.outcome, r.note = x.complete(ctx, r.router, text)
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.records = append(x.records, r)
}

// complete sends a streamed completion and checks the answer byte for byte.
func (x *traffic) complete(ctx context.Context, r *router, text string) (load.Outcome, string) {
	user := &wire.ChatMessage{}
	user.SetRole("user")
	user.SetContent(text)
	m := &wire.CompletionRequest{}
	m.SetModel(model)
	m.SetStream(true)
	m.SetMessages([]*wire.ChatMessage{user})
	answer, err := x.do(ctx, r, http.MethodPost, "/v1/chat/completions", string(pbjson.Marshal(m)), "")
	if err != nil {
		return load.Unreached, err.Error()
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return refusal(answer)
	}
	got, want := load.ReadStream(answer.Body, x.clock), llmsrv.ResponseText(m)
	switch {
	case !strings.HasPrefix(want, got.Text):
		return load.Wrong, fmt.Sprintf("got %q, want %q", got.Text, want)
	case got.Err != "" || !got.Done || got.Text != want:
		return load.Truncated, fmt.Sprintf("%d of %d bytes %s", len(got.Text), len(want), got.Err)
	default:
		return load.Complete, ""
	}
}

// id returns the number under which the plain service counts a call.
func (x *traffic) id(number int) string { return fmt.Sprintf("%s-%d", x.prefix, number) }

// call sends a plain call with an idempotency token, and again through other routers until it is answered;
// every other call is also sent through two routers at once.
func (x *traffic) call(ctx context.Context, r *record, targets []*router) {
	k := x.tokens[r.issuer]
	header := fmt.Sprintf("%s.%s.%s", k.issuer, k.window, x.id(r.number))
	var twin sync.WaitGroup
	twinRefused := true
	if r.number%2 == 1 && r.number%8 == 3 {
		twin.Go(func() {
			o, _ := x.callOnce(ctx, targets[(r.number+1)%len(targets)], r.number, header)
			twinRefused = o == load.NotRun
		})
	}
	r.refused = true
	for i := range resends {
		to := r.router
		if i > 0 {
			<-x.clock.After(resendDelay)
			now := *x.targets.Load()
			to = now[(r.number+i)%len(now)]
		}
		r.outcome, r.note = x.callOnce(ctx, to, r.number, header)
		r.refused = r.refused && r.outcome == load.NotRun
		if r.outcome == load.Complete {
			break
		}
	}
	twin.Wait()
	r.refused = r.refused && twinRefused
}

// callOnce sends a plain call and checks its answer.
func (x *traffic) callOnce(ctx context.Context, to *router, number int, token string) (load.Outcome, string) {
	path := fmt.Sprintf("/v1/services/%s/visits?call=%s", serviceName, x.id(number))
	answer, err := x.do(ctx, to, http.MethodPost, path, "visit", token)
	if err != nil {
		return load.Unreached, err.Error()
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return refusal(answer)
	}
	b, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return load.Truncated, err.Error()
	}
	if want := appsrv.ResponseBody(http.MethodPost, "/visits", x.id(number)); string(b) != want {
		return load.Wrong, fmt.Sprintf("got %q, want %q", b, want)
	}
	return load.Complete, ""
}

// token reads the issuer and window of a router.
func (x *traffic) token(ctx context.Context, r *router) (token, error) {
	answer, err := x.do(ctx, r, http.MethodGet, "/v1/token", "", "")
	if err != nil {
		return token{}, err
	}
	defer func() { _ = answer.Body.Close() }()
	return token{answer.Header.Get("X-Token-Issuer"), answer.Header.Get("X-Token-Window")}, nil
}

// do sends one request of a caller.
func (x *traffic) do(ctx context.Context, to *router, method, path, body, token string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+to.callers+path, strings.NewReader(body))
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

// refusal reads the outcome of an error answer.
func refusal(r *http.Response) (load.Outcome, string) {
	b, _ := io.ReadAll(io.LimitReader(r.Body, errorBytes))
	note := r.Status + " " + string(b)
	if r.Header.Get("X-Outcome") == "not-run" {
		return load.NotRun, note
	}
	return load.Unknown, note
}
