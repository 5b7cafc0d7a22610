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

// maxSnapshotBytes bounds a snapshot that an operator sends; it leaves room for one of several parts.
const maxSnapshotBytes = 16 << 20

// readTimeout bounds the time to read a snapshot from an operator.
const readTimeout = 30 * time.Second

// Options holds what the handler is made of.
type Options struct {
	Router Router
	// Key of the published configuration, which names the values of a bundle.
	Key string
	// Operators whose credentials are accepted; without any, every call is refused.
	Operators value.List[value.Operator]
	// Metrics answers /metrics.
	Metrics http.Handler
	Log     *event.Log
}

// server answers operators.
type server struct {
	source Router
	key    string
}

// New returns the handler of the administration interface.
func New(o Options) http.Handler {
	s := &server{o.Router, o.Key}
	inner := http.NewServeMux()
	c := huma.DefaultConfig("chicoryhoist administration", "1")
	// The hooks would add links to schemas that do not exist, and the page of documents loads scripts from elsewhere.
	c.CreateHooks = nil
	c.DocsPath = ""
	c.Transformers = []huma.Transformer{uniform}
	s.register(humago.New(inner, c))

	mux := http.NewServeMux()
	mux.Handle("GET /metrics", o.Metrics)
	mux.HandleFunc("GET /live", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /ready", s.ready)
	mux.Handle("/", operators{o.Operators, o.Log}.require(inner))
	return mux
}

// ready answers whether the router takes new work.
func (s *server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.source.Ready() {
		newFault(http.StatusServiceUnavailable, "not_ready", "this router takes no new work").write(w)
	}
}

// output is an answer with its body.
type output[M proto.Message] struct {
	Body answer[M]
}

// reply returns the answer with the message as its body.
func reply[M proto.Message](m M) (*output[M], error) {
	return &output[M]{answer[M]{m}}, nil
}

// register adds the operations.
func (s *server) register(api huma.API) {
	get(api, "/v1/status", "State of this router", func() *wire.RouterStatus {
		return wire.RouterStatusWire(s.source.Status())
	})
	get(api, "/v1/instances", "Instances in this router's view, with the generation in force on each router", func() *wire.InstanceReport {
		return wire.InstanceReportWire(s.source.Instances())
	})
	get(api, "/v1/servers", "Backend servers of this router's shards, with state and reason", func() *wire.ServerReport {
		return wire.ServerReportWire(s.source.Servers())
	})
	get(api, "/v1/queues", "Queues of this router's shards, by tier and class", func() *wire.QueueReport {
		return wire.QueueReportWire(s.source.Queues())
	})
	get(api, "/v1/quarantine", "Quarantined content fingerprints", func() *wire.QuarantineReport {
		return wire.QuarantineReportWire(s.source.Quarantines())
	})
	huma.Register(api, operation(http.MethodGet, "/v1/requests/{id}", "Why a recent request of this router was placed or refused"), s.request)
	huma.Register(api, operation(http.MethodPost, "/v1/drain", "Drain this router"), s.drain)
	huma.Register(api, operation(http.MethodPost, "/v1/dry-run", "Check a snapshot and compare it with the one in force"), s.dryRun)
	huma.Register(api, operation(http.MethodPost, "/v1/bundle", "Return the values to publish for a snapshot"), s.bundle)
}

// operation describes one operation.
func operation(method, path, summary string) huma.Operation {
	return huma.Operation{
		OperationID: operationID(method, path), Method: method, Path: path, Summary: summary,
		MaxBodyBytes: maxSnapshotBytes, BodyReadTimeout: readTimeout,
		Responses: map[string]*huma.Response{"default": {
			Description: "Error",
			Content:     map[string]*huma.MediaType{"application/json": {Schema: answer[*wire.ErrorBody]{}.Schema(nil)}},
		}},
	}
}

// get registers an operation that reads state.
func get[M proto.Message](api huma.API, path, summary string, read func() M) {
	huma.Register(api, operation(http.MethodGet, path, summary), func(context.Context, *struct{}) (*output[M], error) {
		return reply(read())
	})
}

// requestInput names a request.
type requestInput struct {
	ID string `path:"id" doc:"Request identifier, as in X-Request-Id" maxLength:"128"`
}

// request answers why a request was placed or refused.
func (s *server) request(_ context.Context, in *requestInput) (*output[*wire.RequestRecord], error) {
	record, ok := s.source.Request(in.ID)
	if !ok {
		return nil, newFault(http.StatusNotFound, "unknown_request", "this router has no recent record of the request; ask the router that received it")
	}
	return reply(wire.RequestRecordWire(record))
}

// drain begins a graceful shutdown of this router.
func (s *server) drain(context.Context, *struct{}) (*output[*wire.DrainAnswer], error) {
	s.source.Drain()
	status := s.source.Status()
	return reply(wire.DrainAnswerWire(value.DrainAnswer{}.WithPhase(status.Phase()).WithRequests(status.Requests())))
}
