// Package front is the callers' HTTP interface.
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
	"chicoryhoist.example/hoist/metric"
	"chicoryhoist.example/hoist/value"
)

// Router is what the interface needs from the router process; every method is cheap and safe for concurrent use.
type Router interface {
	// View returns the configuration in force, or nil before there is one.
	View() *config.View
	// Draining reports whether new requests are refused.
	Draining() bool
	// Shard returns the shard that a new request for one of the pools joins.
	Shard(pools []string) (string, bool)
	// Admit checks the limits of class and workspace; it returns the refusal when one is used up.
	Admit(class config.Class, workspace value.Workspace, tokens int32) (value.Refusal, bool)
	// Release ends a request that Admit let in and charges its output tokens.
	Release(class config.Class, workspace value.Workspace, tokens int32)
	// Quarantined reports whether the content fingerprint is refused.
	Quarantined(fingerprint uint64) bool
	// Window returns the current window for idempotency tokens.
	Window() uint64
}

// Server answers callers.
type Server struct {
	source      Router
	gateway     *gate.Gateway
	clock       hoist.Clock
	metrics     *metric.Set
	input       value.Input
	datacentre  string
	incarnation uint64
	calls       ServiceRunner
}

// ServiceRunner runs calls to plain services, with their idempotency rules.
type ServiceRunner interface {
	// Run runs the call or returns the stored answer of an earlier arrival.
	Run(ctx context.Context, c ServiceCall, sink gate.Sink) call.Result
}

// ServiceCall is one arrival of a call to a plain service.
type ServiceCall struct {
	// Ask is the template of the call's asks.
	Ask value.Ask
	// Call is the call as it goes to the backend server.
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

// Options holds what a server is made of.
type Options struct {
	Router      Router
	Gateway     *gate.Gateway
	Services    ServiceRunner
	Clock       hoist.Clock
	Metrics     *metric.Set
	Settings    value.Settings
	Incarnation uint64
}

// New returns the handler of the callers' interface.
func New(o Options) http.Handler {
	s := &Server{
		source: o.Router, gateway: o.Gateway, clock: o.Clock, metrics: o.Metrics, calls: o.Services,
		input: o.Settings.Input(), datacentre: o.Settings.Datacentre(), incarnation: o.Incarnation,
	}
	mux := http.NewServeMux()
	api := humago.New(mux, huma.DefaultConfig("chicoryhoist", "1"))
	s.stream(api, http.MethodPost, "/v1/chat/completions", "Run a chat completion", s.completion)
	s.stream(api, http.MethodPost, "/v1/completions", "Run a text completion", s.completion)
	s.stream(api, http.MethodGet, "/v1/models", "List the models and adapters", s.models)
	s.stream(api, http.MethodGet, "/v1/token", "Name the issuer and window for idempotency tokens", s.token)
	for _, m := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		s.stream(api, m, "/v1/services/{name}/{path...}", "Call a plain service", s.service)
	}
	mux.HandleFunc("/", s.unknown)
	return mux
}

// unknown answers a call that no operation matches.
func (s *Server) unknown(w http.ResponseWriter, r *http.Request) {
	id := s.identity(w)
	s.refuse(w, faultPath, engine.RequestID(id))
}

// stream registers an operation whose handler writes the answer itself.
func (s *Server) stream(api huma.API, method, path, summary string, handle http.HandlerFunc) {
	op := huma.Operation{OperationID: method + " " + path, Method: method, Path: path, Summary: summary}
	huma.Register(api, op, func(context.Context, *struct{}) (*huma.StreamResponse, error) {
		return &huma.StreamResponse{Body: func(c huma.Context) {
			r, w := humago.Unwrap(c)
			handle(w, r)
		}}, nil
	})
}

// refuse answers a request that reached no dispatcher.
func (s *Server) refuse(w http.ResponseWriter, f ErrorResponse, request string) {
	s.metrics.CountRefusal(f.code)
	f.write(w, request)
}

// identity writes the headers that every answer carries and returns the identity of a new request.
func (s *Server) identity(w http.ResponseWriter) value.Attempt {
	id := s.gateway.NextRequest()
	h := w.Header()
	h.Set("X-Request-Id", engine.RequestID(id))
	h.Set("X-Token-Issuer", strconv.FormatUint(s.incarnation, 16))
	h.Set("X-Token-Window", strconv.FormatUint(s.source.Window(), 10))
	return id
}

// accept gives a request its identity and authenticates its caller; it answers the request and reports false when that fails.
func (s *Server) accept(w http.ResponseWriter, r *http.Request) (caller, value.Attempt, bool) {
	id := s.identity(w)
	c, fault := s.authenticate(r)
	if fault != nil {
		s.refuse(w, *fault, engine.RequestID(id))
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

// authenticate returns the caller of a request, or the fault to answer with.
func (s *Server) authenticate(r *http.Request) (caller, *ErrorResponse) {
	view := s.source.View()
	switch {
	case s.source.Draining():
		return caller{}, &faultDraining
	case view == nil:
		return caller{}, &faultNotReady
	case s.gateway.Active() >= s.input.Concurrent():
		return caller{}, &faultBusy
	}
	secret, ok := bearer(r.Header.Get("Authorization"))
	if !ok {
		return caller{}, &faultCredential
	}
	credential, err := view.Authenticate(secret, s.clock.Now())
	if err != nil {
		return caller{}, &faultCredential
	}
	class, known := view.Class(credential.Class())
	workspace, listed := view.Workspace(credential.Workspace())
	if !known || !listed {
		return caller{}, &faultCredential
	}
	return caller{view, credential, class, workspace}, nil
}

// bearer returns the secret of an Authorization header.
func bearer(header string) (string, bool) {
	const prefix = "Bearer "
	if len(header) <= len(prefix) || header[:len(prefix)] != prefix {
		return "", false
	}
	return header[len(prefix):], true
}
