package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"google.golang.org/protobuf/proto"

	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

// maxSnapshotBytes limits the size of a snapshot that an operator sends; snapshots larger than one value of the platform are allowed.
const maxSnapshotBytes = 16 << 20

// readTimeout is the time limit for reading a request body from an operator.
const readTimeout = 30 * time.Second

// Options holds the dependencies and settings of the handler.
type Options struct {
	Router Router
	// Key of the published configuration; the values of a bundle are published under it.
	Key string
	// Operators whose credentials are accepted; without operators, every request is rejected.
	Operators value.List[value.Operator]
	// Metrics handles /metrics.
	Metrics http.Handler
	Log     *event.Log
}

// server handles requests of operators.
type server struct {
	router Router
	key    string
}

// New returns the HTTP handler of the administration interface.
func New(o Options) http.Handler {
	s := &server{o.Router, o.Key}
	inner := http.NewServeMux()
	c := huma.DefaultConfig("chicoryhoist administration", "1")
	// The hooks would add links to schemas that do not exist, and the documentation page loads scripts from a remote host.
	c.CreateHooks = nil
	c.DocsPath = ""
	c.Transformers = []huma.Transformer{convertError}
	s.register(humago.New(inner, c))

	mux := http.NewServeMux()
	mux.Handle("GET /metrics", o.Metrics)
	mux.HandleFunc("GET /live", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /ready", s.ready)
	mux.Handle("/", operators{o.Operators, o.Log}.requireCredential(inner))
	return mux
}

// ready handles readiness checks: status 200 if the router accepts new requests, otherwise 503.
func (s *server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.router.Ready() {
		newErrorResponse(http.StatusServiceUnavailable, "not_ready", "this router takes no new work").write(w)
	}
}

// response is a response of an operation, in the form that huma expects.
type response[M proto.Message] struct {
	Body responseBody[M]
}

// newResponse returns a response with the message as its body.
func newResponse[M proto.Message](m M) (*response[M], error) {
	return &response[M]{responseBody[M]{m}}, nil
}

// register registers the operations.
func (s *server) register(api huma.API) {
	get(api, "/v1/status", "State of this router", func() *wire.RouterStatus {
		return wire.RouterStatusWire(s.router.Status())
	})
	get(api, "/v1/instances", "Instances in this router's view, with the generation in force on each router", func() *wire.InstanceReport {
		return wire.InstanceReportWire(s.router.Instances())
	})
	get(api, "/v1/servers", "Backend servers of this router's shards, with state and reason", func() *wire.ServerReport {
		return wire.ServerReportWire(s.router.Servers())
	})
	get(api, "/v1/queues", "Queues of this router's shards, by tier and class", func() *wire.QueueReport {
		return wire.QueueReportWire(s.router.Queues())
	})
	get(api, "/v1/quarantine", "Quarantined content fingerprints", func() *wire.QuarantineReport {
		return wire.QuarantineReportWire(s.router.Quarantines())
	})
	huma.Register(api, operation(http.MethodGet, "/v1/requests/{id}", "Why a recent request of this router was placed or refused"), s.request)
	huma.Register(api, operation(http.MethodPost, "/v1/drain", "Drain this router"), s.drain)
	huma.Register(api, operation(http.MethodPost, "/v1/dry-run", "Check a snapshot and compare it with the one in force"), s.dryRun)
	huma.Register(api, operation(http.MethodPost, "/v1/bundle", "Return the values to publish for a snapshot"), s.bundle)
}

// operation returns the description of an operation.
func operation(method, path, summary string) huma.Operation {
	return huma.Operation{
		OperationID: operationID(method, path), Method: method, Path: path, Summary: summary,
		MaxBodyBytes: maxSnapshotBytes, BodyReadTimeout: readTimeout,
		Responses: map[string]*huma.Response{"default": {
			Description: "Error",
			Content:     map[string]*huma.MediaType{"application/json": {Schema: responseBody[*wire.ErrorBody]{}.Schema(nil)}},
		}},
	}
}

// get registers a GET operation without input.
func get[M proto.Message](api huma.API, path, summary string, read func() M) {
	huma.Register(api, operation(http.MethodGet, path, summary), func(context.Context, *struct{}) (*response[M], error) {
		return newResponse(read())
	})
}

// requestInput is the input of the request operation.
type requestInput struct {
	ID string `path:"id" doc:"Request identifier, as in X-Request-Id" maxLength:"128"`
}

// request returns the record of a recent request, which says why it was placed or refused.
func (s *server) request(_ context.Context, in *requestInput) (*response[*wire.RequestRecord], error) {
	record, ok := s.router.Request(in.ID)
	if !ok {
		return nil, newErrorResponse(http.StatusNotFound, "unknown_request", "this router has no recent record of the request; ask the router that received it")
	}
	return newResponse(wire.RequestRecordWire(record))
}

// drain starts a graceful shutdown of this router.
func (s *server) drain(context.Context, *struct{}) (*response[*wire.DrainAnswer], error) {
	s.router.Drain()
	status := s.router.Status()
	return newResponse(wire.DrainAnswerWire(value.DrainAnswer{}.WithPhase(status.Phase()).WithRequests(status.Requests())))
}
