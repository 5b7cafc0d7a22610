package front_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/engine"
	"chicoryhoist.example/hoist/front"
	"chicoryhoist.example/hoist/gate"
	"chicoryhoist.example/hoist/metric"
	"chicoryhoist.example/hoist/value"
)

const snapshot = `generation = 1
[[tiers]]
name = "live"
rank = 1
[[classes]]
name = "guidance"
tier = "live"
first_token_ms = 690
[[workspaces]]
name = "hearth"
[[credentials]]
name = "field"
workspace = "hearth"
class = "guidance"
sha256 = "%x"
[[credentials]]
name = "former"
workspace = "hearth"
class = "guidance"
sha256 = "%x"
expires_ms = 1
[[models]]
name = "stove"
[[pools]]
name = "engines"
kind = "engine"
models = ["stove"]
slots = 4
[[pools]]
name = "orders"
kind = "service"
slots = 4
[[services]]
name = "orders"
pool = "orders"
unrepeatable_methods = ["POST"]
`

// fakeRouter is a router process whose dispatcher grants every placement request at once.
type fakeRouter struct {
	view                *config.View
	gateway             *gate.Gateway
	client              *engine.Client
	backend             string
	draining, limited   bool
	quarantined, refuse bool
	released            atomic.Int64
}

func (h *fakeRouter) View() *config.View            { return h.view }
func (h *fakeRouter) Draining() bool                { return h.draining }
func (h *fakeRouter) Quarantined(uint64) bool       { return h.quarantined }
func (h *fakeRouter) Window() uint64                { return 3 }
func (h *fakeRouter) Shard([]string) (string, bool) { return "s", h.backend != "" }

func (h *fakeRouter) Admit(config.Class, value.Workspace, int32) (value.Refusal, bool) {
	return value.Refusal{}.WithReason(value.RefusalReasonLimit).WithRetryMs(1500), !h.limited
}

func (h *fakeRouter) Release(config.Class, value.Workspace, int32) { h.released.Add(1) }

// Ask implements gate.Sender.
func (h *fakeRouter) Ask(_ context.Context, a value.Ask) (gate.Dispatcher, error) {
	r := gate.Dispatcher{Name: "owner"}
	if h.refuse {
		h.gateway.Deliver(r, value.Refusal{}.WithAttempt(a.Attempt()).WithReason(value.RefusalReasonLate).WithRetryMs(250))
		return r, nil
	}
	h.gateway.Deliver(r, value.Grant{}.WithAttempt(a.Attempt()).WithServer("v").WithAddress(h.backend))
	return r, nil
}

// Send implements gate.Sender.
func (h *fakeRouter) Send(gate.Dispatcher, value.GatewayMessageBody) {}

// Run implements front.ServiceRunner.
func (h *fakeRouter) Run(ctx context.Context, c front.ServiceCall, sink gate.Sink) call.Result {
	return h.gateway.Run(ctx, c.Ask, c.Call, sink)
}

// newFakeRouter returns a router process that sends all requests to the backend server.
func newFakeRouter(backend string) *fakeRouter {
	text := fmt.Sprintf(snapshot, sha256.Sum256([]byte("secret")), sha256.Sum256([]byte("expired")))
	view, findings := config.LoadView("snapshot.toml", []byte(text))
	if len(findings) > 0 {
		panic(findings)
	}
	h := &fakeRouter{view: view, backend: backend}
	h.client = engine.NewClient(hoist.NewSystemClock(), engine.Limits{
		Connect: hoist.Second, FirstFrame: 10 * hoist.Second, Stall: 10 * hoist.Second, MaxBody: 4096,
	})
	h.gateway = gate.New(hoist.NewSystemClock(), h.client, h, 0xa7)
	return h
}

// serve starts the HTTP server for callers as package router does. It returns the address and a function that stops the server.
func (h *fakeRouter) serve(idle int64) (string, func()) {
	input := value.Input{}.WithBodyBytes(2000).WithHeaderBytes(2000).WithPromptTokens(100).WithOutputTokens(50).
		WithMessages(3).WithIdleMs(idle).WithConcurrent(8).WithMemoryBytes(16000).WithAddressBytes(6000)
	settings := value.Settings{}.WithInput(input).WithDatacentre("d")
	s := &http.Server{
		Handler: front.New(front.Options{
			Account: front.NewAccount(hoist.NewSystemClock(), settings),
			Router:  h, Gateway: h.gateway, Services: h, Clock: hoist.NewSystemClock(), Metrics: metric.New(),
			Settings: settings, Incarnation: 0xa7,
		}),
		ReadTimeout:    hoist.Millis(idle).Duration(),
		MaxHeaderBytes: int(input.HeaderBytes()),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), func() { _ = s.Close(); h.client.Close() }
}

// completionRequest returns a raw chat completion request with the given body.
func completionRequest(body string) string {
	return "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\nContent-Length: " +
		fmt.Sprint(len(body)) + "\r\n\r\n" + strings.TrimSpace(body)
}
