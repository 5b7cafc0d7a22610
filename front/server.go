// Package front serves the HTTP API for callers.
package front

import (
	"context"
	"net/http"
	"strconv"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/engine"
	"chicoryhoist.example/hoist/gate"
	"chicoryhoist.example/hoist/intake"
	"chicoryhoist.example/hoist/metric"
	"chicoryhoist.example/hoist/value"
)

// Router gives the server access to the router process. Its methods are cheap and safe for concurrent use.
type Router interface {
	// View returns the configuration in force, or nil before there is one.
	View() *config.View
	// Draining reports whether new requests are rejected because the router is shutting down.
	Draining() bool
	// Shard returns the shard to which a new request for one of the pools is sent, or false if there is none.
	Shard(pools []string) (string, bool)
	// Admit charges the limits of class and workspace; it returns a refusal and false if a limit is exhausted.
	Admit(class config.Class, workspace value.Workspace, tokens int32) (value.Refusal, bool)
	// Release ends an admitted request and charges its output tokens.
	Release(class config.Class, workspace value.Workspace, tokens int32)
	// Quarantined reports whether requests with the content fingerprint are rejected.
	Quarantined(fingerprint uint64) bool
	// Window returns the current window for idempotency tokens.
	Window() uint64
}

// Server handles callers' requests.
type Server struct {
	router      Router
	gateway     *gate.Gateway
	clock       hoist.Clock
	metrics     *metric.Set
	limits      value.Input
	datacentre  string
	incarnation uint64
	services    ServiceRunner
	account     *intake.Account
}

// ServiceRunner runs calls to plain services under the rules of idempotency tokens.
type ServiceRunner interface {
	// Run runs the call, or writes the recorded response of an earlier call with the same token to the sink.
	Run(ctx context.Context, c ServiceCall, sink gate.Sink) call.Result
}

// ServiceCall is a call to a plain service as received from a caller.
type ServiceCall struct {
	// Ask is the template of the call's placement requests.
	Ask value.Ask
	// Call is the call as it is sent to the backend server.
	Call engine.ServiceCall
	// Service of the call.
	Service value.Service
	// Credential of the caller.
	Credential value.Credential
	// Token is the idempotency token, or empty.
	Token string
	// Key is the idempotency key, or empty.
	Key string
}

// Options holds the dependencies and settings of a server.
type Options struct {
	Router      Router
	Gateway     *gate.Gateway
	Services    ServiceRunner
	Clock       hoist.Clock
	Metrics     *metric.Set
	Settings    value.Settings
	Incarnation uint64
	// Account is the memory for request bodies; its limits follow from the settings.
	Account *intake.Account
}

// NewAccount returns the account of the settings for request bodies.
func NewAccount(clock hoist.Clock, s value.Settings) *intake.Account {
	return intake.NewAccount(clock, s.Input().MemoryBytes(), s.Input().AddressBytes())
}

// New returns the HTTP handler for callers.
func New(o Options) http.Handler {
	s := &Server{
		router: o.Router, gateway: o.Gateway, clock: o.Clock, metrics: o.Metrics, services: o.Services,
		limits: o.Settings.Input(), datacentre: o.Settings.Datacentre(), incarnation: o.Incarnation, account: o.Account,
	}
	mux := http.NewServeMux()
	api := humago.New(mux, huma.DefaultConfig("chicoryhoist", "1"))
	s.handle(api, http.MethodPost, "/v1/chat/completions", "Run a chat completion", s.completion)
	s.handle(api, http.MethodPost, "/v1/completions", "Run a text completion", s.completion)
	s.handle(api, http.MethodGet, "/v1/models", "List the models and adapters", s.models)
	s.handle(api, http.MethodGet, "/v1/token", "Name the issuer and window for idempotency tokens", s.token)
	for _, m := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		s.handle(api, m, "/v1/services/{name}/{path...}", "Call a plain service", s.service)
	}
	mux.HandleFunc("/", s.notFound)
	return mux
}

// notFound rejects a request that matches no operation.
func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	id := s.assignID(w)
	s.reject(w, errorUnknownPath, engine.RequestID(id))
}

// handle registers an operation whose handler writes the response itself.
func (s *Server) handle(api huma.API, method, path, summary string, handle http.HandlerFunc) {
	op := huma.Operation{OperationID: method + " " + path, Method: method, Path: path, Summary: summary}
	huma.Register(api, op, func(context.Context, *struct{}) (*huma.StreamResponse, error) {
		return &huma.StreamResponse{Body: func(c huma.Context) {
			r, w := humago.Unwrap(c)
			handle(w, r)
		}}, nil
	})
}

// reject sends the error response to a request that reached no dispatcher, and counts it.
func (s *Server) reject(w http.ResponseWriter, e ErrorResponse, requestID string) {
	s.metrics.CountRefusal(e.code)
	e.write(w, requestID)
}

// assignID assigns an ID to a new request and sets the headers that every response has.
func (s *Server) assignID(w http.ResponseWriter) value.Attempt {
	id := s.gateway.NextRequest()
	h := w.Header()
	h.Set("X-Request-Id", engine.RequestID(id))
	h.Set("X-Token-Issuer", strconv.FormatUint(s.incarnation, 16))
	h.Set("X-Token-Window", strconv.FormatUint(s.router.Window(), 10))
	return id
}

// begin assigns an ID to the request and authenticates its caller. If that fails, it sends the error response and returns false.
func (s *Server) begin(w http.ResponseWriter, r *http.Request) (caller, value.Attempt, bool) {
	id := s.assignID(w)
	c, rejection := s.authenticate(r)
	if rejection != nil {
		s.reject(w, *rejection, engine.RequestID(id))
		return caller{}, id, false
	}
	return c, id, true
}

// caller is an authenticated caller.
type caller struct {
	view       *config.View
	credential value.Credential
	class      config.Class
	workspace  value.Workspace
}

// authenticate returns the caller of a request, or the error response to send.
func (s *Server) authenticate(r *http.Request) (caller, *ErrorResponse) {
	view := s.router.View()
	switch {
	case s.router.Draining():
		return caller{}, &errorDraining
	case view == nil:
		return caller{}, &errorNotReady
	case s.gateway.Active() >= s.limits.Concurrent():
		return caller{}, &errorBusy
	}
	secret, ok := bearer(r.Header.Get("Authorization"))
	if !ok {
		return caller{}, &errorInvalidCredential
	}
	credential, err := view.Authenticate(secret, s.clock.Now())
	if err != nil {
		return caller{}, &errorInvalidCredential
	}
	class, known := view.Class(credential.Class())
	workspace, listed := view.Workspace(credential.Workspace())
	if !known || !listed {
		return caller{}, &errorInvalidCredential
	}
	return caller{view, credential, class, workspace}, nil
}

// bearer returns the bearer token of an Authorization header.
func bearer(header string) (string, bool) {
	const prefix = "Bearer "
	if len(header) <= len(prefix) || header[:len(prefix)] != prefix {
		return "", false
	}
	return header[len(prefix):], true
}
