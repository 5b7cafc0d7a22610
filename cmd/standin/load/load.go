// Package load sends requests to routers as callers do and compares every response with the expected one.
package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/appsrv"
	"chicoryhoist.example/hoist/cmd/standin/llmsrv"
	"chicoryhoist.example/hoist/cmd/standin/pbjson"
	"chicoryhoist.example/hoist/wire"
)

const (
	// requestTimeout bounds one request.
	requestTimeout = 30 * time.Second
	// maxErrorBytes bounds the part of an error response's body that is reported.
	maxErrorBytes = 400
	// maxResponseBytes bounds the response of a plain service.
	maxResponseBytes = 1 << 20
)

// Caller describes the requests of one class, which share a credential.
type Caller struct {
	// Class is the name of the caller's class in the printed figures.
	Class string
	// Secret is the bearer credential.
	Secret string
	// FirstTokenTarget is the target for the latency of the first token.
	FirstTokenTarget hoist.Millis
	// OutputTokens is the output length; zero leaves it to the prompt.
	OutputTokens int
	// Weight is the caller's relative share of the requests.
	Weight int
	// Service is the name of a plain service; empty means a chat completion.
	Service string
}

// Settings are the parameters of one load.
type Settings struct {
	// Model is the model that completions request.
	Model string
	// Rate is the number of requests per second.
	Rate int
	// Duration is the time during which requests are sent.
	Duration hoist.Millis
	// Seed is the seed of the random choices.
	Seed uint64
	// Callers are the callers that send requests.
	Callers []Caller
}

// Generator sends requests to the routers in turn.
type Generator struct {
	settings      Settings
	clock         hoist.Clock
	client        *http.Client
	targets       atomic.Pointer[[]string]
	next          atomic.Uint64
	tally         *Tally
	tokenIssuer   atomic.Pointer[issuer]
	repeatedCalls atomic.Int64
}

// issuer identifies the issuer and the window of new idempotency tokens, as a router reported them.
type issuer struct{ name, window string }

// New returns a generator that sends requests to the routers' base URLs.
func New(s Settings, clock hoist.Clock, targets []string) *Generator {
	g := &Generator{settings: s, clock: clock, tally: NewTally(), client: &http.Client{
		Timeout:   requestTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: s.Rate},
	}}
	g.SetTargets(targets)
	return g
}

// SetTargets replaces the routers that receive new requests.
func (g *Generator) SetTargets(targets []string) { g.targets.Store(&targets) }

// Tally returns the counted outcomes.
func (g *Generator) Tally() *Tally { return g.tally }

// RepeatedCalls returns the number of calls that were sent twice with the same idempotency token.
func (g *Generator) RepeatedCalls() int64 { return g.repeatedCalls.Load() }

// Run sends requests at the rate of the settings and returns when all of them have ended.
func (g *Generator) Run(ctx context.Context) {
	var requests sync.WaitGroup
	defer requests.Wait()
	random := rand.New(rand.NewPCG(g.settings.Seed, 0))
	count := int(g.settings.Duration) * g.settings.Rate / int(hoist.Second)
	start := g.clock.Now()
	for i := range count {
		sendAt := start + hoist.Millis(i)*hoist.Second/hoist.Millis(g.settings.Rate)
		select {
		case <-g.clock.After(max(0, sendAt-g.clock.Now())):
		case <-ctx.Done():
			return
		}
		c := g.pickCaller(random)
		requests.Go(func() { g.send(ctx, c, i) })
	}
}

// pickCaller chooses a caller at random in proportion to the weights.
func (g *Generator) pickCaller(r *rand.Rand) Caller {
	sum := 0
	for _, c := range g.settings.Callers {
		sum += c.Weight
	}
	n := r.IntN(sum)
	for _, c := range g.settings.Callers {
		if n -= c.Weight; n < 0 {
			return c
		}
	}
	return g.settings.Callers[0]
}

// send sends one request and adds its outcome to the tally.
func (g *Generator) send(ctx context.Context, c Caller, number int) {
	start := g.clock.Now()
	var o Outcome
	var firstTokenAt hoist.Millis
	var detail string
	if c.Service != "" {
		o, detail = g.sendCall(ctx, c, number)
		firstTokenAt = g.clock.Now()
	} else {
		o, firstTokenAt, detail = g.sendChat(ctx, c, number)
	}
	g.tally.Add(c.Class, o, firstTokenAt-start, c.FirstTokenTarget, fmt.Sprintf("request %d: %s", number, detail))
}

// sendChat sends a streamed chat completion and checks the response.
func (g *Generator) sendChat(ctx context.Context, c Caller, number int) (Outcome, hoist.Millis, string) {
	system, user := &wire.ChatMessage{}, &wire.ChatMessage{}
	system.SetRole("system")
	system.SetContent(strings.Repeat("You help technicians of class "+c.Class+". ", 16))
	user.SetRole("user")
	user.SetContent(fmt.Sprintf("Question %d of seed %d.", number, g.settings.Seed))
	if c.OutputTokens > 0 {
		user.SetContent(user.GetContent() + fmt.Sprintf(" [[tokens=%d]]", c.OutputTokens))
	}
	m := &wire.CompletionRequest{}
	m.SetModel(g.settings.Model)
	m.SetStream(true)
	m.SetMessages([]*wire.ChatMessage{system, user})
	r, err := g.do(ctx, c, http.MethodPost, "/v1/chat/completions", string(pbjson.Marshal(m)), nil)
	if err != nil {
		return Unreached, 0, err.Error()
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		o, detail := errorOutcome(r)
		return o, 0, detail
	}
	result, want := ReadStream(r.Body, g.clock), llmsrv.ResponseText(m)
	switch {
	case !strings.HasPrefix(want, result.Text):
		return Wrong, result.FirstFrameAt, fmt.Sprintf("got %q, want %q", result.Text, want)
	case result.Err != "" || !result.Done || result.Text != want:
		return Truncated, result.FirstFrameAt, fmt.Sprintf("%d of %d bytes %s", len(result.Text), len(want), result.Err)
	default:
		return Complete, result.FirstFrameAt, ""
	}
}

// sendCall sends a call to a plain service; if it has an idempotency token, every second call is sent twice.
func (g *Generator) sendCall(ctx context.Context, c Caller, number int) (Outcome, string) {
	path := fmt.Sprintf("/v1/services/%s/visits?call=%d", c.Service, number)
	header := map[string]string{"X-Unrepeatable": "true"}
	sendCount := 1
	if t := g.tokenIssuer.Load(); t != nil {
		header["Idempotency-Token"] = fmt.Sprintf("%s.%s.%d", t.name, t.window, number)
		sendCount += number % 2
	}
	g.repeatedCalls.Add(int64(sendCount - 1))
	var o Outcome
	var detail string
	for range sendCount {
		if o, detail = g.sendCallOnce(ctx, c, path, header, number); o != Complete {
			return o, detail
		}
	}
	return o, detail
}

// sendCallOnce sends a call and checks the response.
func (g *Generator) sendCallOnce(ctx context.Context, c Caller, path string, header map[string]string, number int) (Outcome, string) {
	r, err := g.do(ctx, c, http.MethodPost, path, "visit", header)
	if err != nil {
		return Unreached, err.Error()
	}
	defer func() { _ = r.Body.Close() }()
	if name := r.Header.Get("X-Token-Issuer"); name != "" {
		g.tokenIssuer.Store(&issuer{name, r.Header.Get("X-Token-Window")})
	}
	if r.StatusCode != http.StatusOK {
		return errorOutcome(r)
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, maxResponseBytes))
	if err != nil {
		return Truncated, err.Error()
	}
	if want := appsrv.ResponseBody(http.MethodPost, "/visits", fmt.Sprint(number)); string(b) != want {
		return Wrong, fmt.Sprintf("got %q, want %q", b, want)
	}
	return Complete, ""
}

// errorOutcome returns the outcome that an error response states, and its status and body.
func errorOutcome(r *http.Response) (Outcome, string) {
	b, _ := io.ReadAll(io.LimitReader(r.Body, maxErrorBytes))
	detail := r.Status + " " + string(b)
	if r.Header.Get("X-Outcome") == "not-run" {
		return NotRun, detail
	}
	return Unknown, detail
}

// do sends a request to the next router; it continues with the following one if the connection is refused.
func (g *Generator) do(ctx context.Context, c Caller, method, path, body string, header map[string]string) (*http.Response, error) {
	targets := *g.targets.Load()
	start := g.next.Add(1)
	var lastErr error
	for i := range targets {
		base := targets[(start+uint64(i))%uint64(len(targets))]
		r, err := http.NewRequestWithContext(ctx, method, base+path, strings.NewReader(body))
		if err != nil {
			return nil, err
		}
		r.Header.Set("Authorization", "Bearer "+c.Secret)
		r.Header.Set("Content-Type", "application/json")
		for k, v := range header {
			r.Header.Set(k, v)
		}
		response, err := g.client.Do(r)
		if err == nil {
			return response, nil
		}
		lastErr = err
		if !strings.Contains(err.Error(), "connection refused") {
			break
		}
	}
	return nil, lastErr
}
