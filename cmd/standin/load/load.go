// Package load drives routers as callers do and checks every answer against the expected one.
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
	// errorBytes bounds the part of an error body that is kept.
	errorBytes = 400
	// maxAnswer bounds the answer of a plain service, in bytes.
	maxAnswer = 1 << 20
)

// Caller is a class of requests with one credential.
type Caller struct {
	// Class names the caller's class in the printed figures.
	Class string
	// Secret is the bearer credential.
	Secret string
	// FirstTokenTarget is the latency target of the first token.
	FirstTokenTarget hoist.Millis
	// OutputTokens is the output length, zero leaves it to the prompt.
	OutputTokens int
	// Weight is the relative number of requests.
	Weight int
	// Service is the name of a plain service; empty means a chat completion.
	Service string
}

// Settings of one load.
type Settings struct {
	// Model that completions ask for.
	Model string
	// Rate is the number of requests per second.
	Rate int
	// Duration of the load.
	Duration hoist.Millis
	// Seed of the random choices.
	Seed uint64
	// Callers that send requests.
	Callers []Caller
}

// Generator sends requests to the targets in turn.
type Generator struct {
	settings Settings
	clock    hoist.Clock
	client   *http.Client
	targets  atomic.Pointer[[]string]
	next     atomic.Uint64
	tally    *Tally
	token    atomic.Pointer[issuer]
	repeats  atomic.Int64
}

// issuer names where and in which window new idempotency tokens are valid.
type issuer struct{ name, window string }

// New returns a load against the routers' base URLs.
func New(s Settings, clock hoist.Clock, targets []string) *Generator {
	l := &Generator{settings: s, clock: clock, tally: NewTally(), client: &http.Client{
		Timeout:   requestTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: s.Rate},
	}}
	l.SetTargets(targets)
	return l
}

// SetTargets replaces the routers that new requests go to.
func (l *Generator) SetTargets(targets []string) { l.targets.Store(&targets) }

// Tally returns the counts.
func (l *Generator) Tally() *Tally { return l.tally }

// RepeatedCalls returns the number of calls that were sent twice with the same token.
func (l *Generator) RepeatedCalls() int64 { return l.repeats.Load() }

// Run sends requests at the settings' rate and returns when all have ended.
func (l *Generator) Run(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	random := rand.New(rand.NewPCG(l.settings.Seed, 0))
	count := int(l.settings.Duration) * l.settings.Rate / int(hoist.Second)
	start := l.clock.Now()
	for i := range count {
		due := start + hoist.Millis(i)*hoist.Second/hoist.Millis(l.settings.Rate)
		select {
		case <-l.clock.After(max(0, due-l.clock.Now())):
		case <-ctx.Done():
			return
		}
		c := l.pick(random)
		all.Go(func() { l.send(ctx, c, i) })
	}
}

// pick chooses a caller by share.
func (l *Generator) pick(r *rand.Rand) Caller {
	sum := 0
	for _, c := range l.settings.Callers {
		sum += c.Weight
	}
	n := r.IntN(sum)
	for _, c := range l.settings.Callers {
		if n -= c.Weight; n < 0 {
			return c
		}
	}
	return l.settings.Callers[0]
}

// send sends one request and counts its outcome.
func (l *Generator) send(ctx context.Context, c Caller, number int) {
	start := l.clock.Now()
	var o Outcome
	var first hoist.Millis
	var note string
	if c.Service != "" {
		o, note = l.call(ctx, c, number)
		first = l.clock.Now()
	} else {
		o, first, note = l.chat(ctx, c, number)
	}
	l.tally.Add(c.Class, o, first-start, c.FirstTokenTarget, fmt.Sprintf("request %d: %s", number, note))
}

// chat sends a streamed chat completion and checks the answer.
func (l *Generator) chat(ctx context.Context, c Caller, number int) (Outcome, hoist.Millis, string) {
	system, user := &wire.ChatMessage{}, &wire.ChatMessage{}
	system.SetRole("system")
	system.SetContent(strings.Repeat("You help technicians of class "+c.Class+". ", 16))
	user.SetRole("user")
	user.SetContent(fmt.Sprintf("Question %d of seed %d.", number, l.settings.Seed))
	if c.OutputTokens > 0 {
		user.SetContent(user.GetContent() + fmt.Sprintf(" [[tokens=%d]]", c.OutputTokens))
	}
	m := &wire.CompletionRequest{}
	m.SetModel(l.settings.Model)
	m.SetStream(true)
	m.SetMessages([]*wire.ChatMessage{system, user})
	r, err := l.do(ctx, c, http.MethodPost, "/v1/chat/completions", string(pbjson.Marshal(m)), nil)
	if err != nil {
		return Unreached, 0, err.Error()
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		o, note := refused(r)
		return o, 0, note
	}
	got, want := ReadStream(r.Body, l.clock), llmsrv.ResponseText(m)
	switch {
	case !strings.HasPrefix(want, got.Text):
		return Wrong, got.FirstFrameAt, fmt.Sprintf("got %q, want %q", got.Text, want)
	case got.Err != "" || !got.Done || got.Text != want:
		return Truncated, got.FirstFrameAt, fmt.Sprintf("%d of %d bytes %s", len(got.Text), len(want), got.Err)
	default:
		return Complete, got.FirstFrameAt, ""
	}
}

// call sends a call to a plain service; with a token, every second one is sent twice.
func (l *Generator) call(ctx context.Context, c Caller, number int) (Outcome, string) {
	path := fmt.Sprintf("/v1/services/%s/visits?call=%d", c.Service, number)
	header := map[string]string{"X-Unrepeatable": "true"}
	sends := 1
	if t := l.token.Load(); t != nil {
		header["Idempotency-Token"] = fmt.Sprintf("%s.%s.%d", t.name, t.window, number)
		sends += number % 2
	}
	l.repeats.Add(int64(sends - 1))
	var o Outcome
	var note string
	for range sends {
		if o, note = l.callOnce(ctx, c, path, header, number); o != Complete {
			return o, note
		}
	}
	return o, note
}

// callOnce sends a call and checks its answer.
func (l *Generator) callOnce(ctx context.Context, c Caller, path string, header map[string]string, number int) (Outcome, string) {
	r, err := l.do(ctx, c, http.MethodPost, path, "visit", header)
	if err != nil {
		return Unreached, err.Error()
	}
	defer func() { _ = r.Body.Close() }()
	if name := r.Header.Get("X-Token-Issuer"); name != "" {
		l.token.Store(&issuer{name, r.Header.Get("X-Token-Window")})
	}
	if r.StatusCode != http.StatusOK {
		return refused(r)
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, maxAnswer))
	if err != nil {
		return Truncated, err.Error()
	}
	if want := appsrv.ResponseBody(http.MethodPost, "/visits", fmt.Sprint(number)); string(b) != want {
		return Wrong, fmt.Sprintf("got %q, want %q", b, want)
	}
	return Complete, ""
}

// refused reads the outcome of an error answer.
func refused(r *http.Response) (Outcome, string) {
	b, _ := io.ReadAll(io.LimitReader(r.Body, errorBytes))
	note := r.Status + " " + string(b)
	if r.Header.Get("X-Outcome") == "not-run" {
		return NotRun, note
	}
	return Unknown, note
}

// do sends a request to the next target; a router that refuses the connection is passed over.
func (l *Generator) do(ctx context.Context, c Caller, method, path, body string, header map[string]string) (*http.Response, error) {
	targets := *l.targets.Load()
	first := l.next.Add(1)
	var last error
	for i := range targets {
		base := targets[(first+uint64(i))%uint64(len(targets))]
		r, err := http.NewRequestWithContext(ctx, method, base+path, strings.NewReader(body))
		if err != nil {
			return nil, err
		}
		r.Header.Set("Authorization", "Bearer "+c.Secret)
		r.Header.Set("Content-Type", "application/json")
		for k, v := range header {
			r.Header.Set(k, v)
		}
		answer, err := l.client.Do(r)
		if err == nil {
			return answer, nil
		}
		last = err
		if !strings.Contains(err.Error(), "connection refused") {
			break
		}
	}
	return nil, last
}
