package front

import (
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/accept"
	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/engine"
	"chicoryhoist.example/hoist/idem"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// routerHeaders are reserved for the router; values from callers and backend servers are not forwarded.
var routerHeaders = []string{
	"Authorization", "X-Unrepeatable", "X-Request-Id", "X-Outcome", "X-Token-Issuer", "X-Token-Window",
}

// service forwards a call to a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	arrivedAt := s.clock.Now()
	c, id, ok := s.begin(w, r)
	if !ok {
		return
	}
	requestID := engine.RequestID(id)
	service, ok := c.view.Service(r.PathValue("name"))
	if !ok {
		s.reject(w, errorUnknownService, requestID)
		return
	}
	ticket := accept.Open(s.account, w, r)
	defer ticket.Release()
	body, rejection := s.readBody(w, r, ticket)
	if rejection != nil {
		s.reject(w, *rejection, requestID)
		return
	}
	shard, ok := s.router.Shard([]string{service.Pool()})
	if !ok {
		s.reject(w, errorNoServer, requestID)
		return
	}
	x := newServiceCall(r, service, body)
	if rejection := checkToken(x); rejection != nil {
		s.reject(w, *rejection, requestID)
		return
	}
	x.Credential = c.credential
	x.Ask = x.Ask.WithAttempt(id).WithShard(shard).WithClass(c.class.Name()).
		WithWorkspace(c.workspace.Name()).WithDatacentre(s.datacentre)
	if refusal, ok := s.router.Admit(c.class, c.workspace, 0); !ok {
		s.reject(w, refusalError(refusal.Reason()).WithRetryAfter(hoist.Millis(refusal.RetryMs())), requestID)
		return
	}
	sink := &serviceSink{}
	result := s.services.Run(r.Context(), x, sink)
	s.router.Release(c.class, c.workspace, 0)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(hoist.Millis(s.limits.IdleMs()).Duration()))
	sink.finish(w, result, requestID)
	s.observe(c, result, s.clock.Now(), arrivedAt)
}

// newServiceCall returns the service call for a request; the caller's fields are not set yet.
func newServiceCall(r *http.Request, service value.Service, body []byte) ServiceCall {
	token, key := r.Header.Get("Idempotency-Token"), r.Header.Get("Idempotency-Key")
	unrepeatable := markedUnrepeatable(r.Header) || token != "" || key != "" ||
		slices.Contains(unrepeatableMethods(service), r.Method)
	return ServiceCall{
		Ask:     value.Ask{}.WithRepeatable(!unrepeatable),
		Call:    engine.ServiceCall{Method: r.Method, Path: servicePath(r.URL), Header: forwardedHeaders(r.Header), Body: body, NoReuse: unrepeatable},
		Service: service, Token: token, Key: key,
	}
}

// markedUnrepeatable reports whether the caller marks the call as unrepeatable. Any value except "false" counts, because that is the safe interpretation of a mistyped value.
func markedUnrepeatable(h http.Header) bool {
	for _, v := range h.Values("X-Unrepeatable") {
		if v = strings.TrimSpace(v); v != "" && !strings.EqualFold(v, "false") {
			return true
		}
	}
	return false
}

// servicePath returns the path below /v1/services/NAME, escaped as in the request, with the query.
func servicePath(u *url.URL) string {
	const parts = 5
	path := "/"
	if p := strings.SplitN(u.EscapedPath(), "/", parts); len(p) == parts {
		path += p[parts-1]
	}
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return path
}

// checkToken returns the error response to a call for which at-most-once execution cannot be guaranteed.
//
// An idempotency key without a token is rejected: the router that runs the call would be chosen
// by hash, and a process can pause between the check of that choice and the sending of the
// call, until another router has been chosen.
func checkToken(x ServiceCall) *ErrorResponse {
	if x.Token == "" {
		if x.Key != "" {
			return &errorTokenRequired
		}
		return nil
	}
	if _, err := idem.ParseToken(x.Token); err != nil {
		return &errorInvalidToken
	}
	return nil
}

// unrepeatableMethods returns the HTTP methods of a service that run at most once.
func unrepeatableMethods(service value.Service) []string {
	return slices.Collect(service.UnrepeatableMethods().All())
}

// forwardedHeaders returns a copy of the headers without hop-by-hop headers and routerHeaders.
func forwardedHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for n := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(n))
		}
	}
	for _, n := range hopByHopHeaders {
		out.Del(n)
	}
	for _, n := range routerHeaders {
		out.Del(n)
	}
	return out
}

// serviceSink stores the response of a plain service until the outcome is known.
type serviceSink struct {
	response engine.Answer
}

// Frame rejects a frame, because plain services do not stream.
func (s *serviceSink) Frame([]byte) error { return errUnexpectedPart }

// Answer stores the response.
func (s *serviceSink) Answer(a engine.Answer) error {
	s.response = a
	return nil
}

// finish writes the stored response or an error response.
func (s *serviceSink) finish(w http.ResponseWriter, r call.Result, request string) {
	if r.Outcome != value.OutcomeRan || s.response.Status == 0 {
		resultError(r).write(w, request)
		return
	}
	h := w.Header()
	for name, values := range forwardedHeaders(s.response.Header) {
		if name != "Content-Length" {
			h[name] = values
		}
	}
	h.Set("X-Request-Id", request)
	h.Set("X-Outcome", call.OutcomeName(value.OutcomeRan))
	w.WriteHeader(s.response.Status)
	_, _ = w.Write(s.response.Body)
}

// models lists the models and adapters of the configuration in force.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	c, _, ok := s.begin(w, r)
	if !ok {
		return
	}
	var models []value.ModelInfo
	for m := range c.view.Models().All() {
		models = append(models, value.ModelInfo{}.WithId(m.Name()).WithObject("model"))
	}
	for a := range c.view.Adapters().All() {
		models = append(models, value.ModelInfo{}.WithId(a.Name()).WithObject("model"))
	}
	list := value.ModelList{}.WithObject("list").WithData(value.ListOf(models...))
	s.writeMessage(w, wire.ModelListWire(list))
}

// token returns the issuer and the current window for idempotency tokens.
func (s *Server) token(w http.ResponseWriter, r *http.Request) {
	if _, _, ok := s.begin(w, r); !ok {
		return
	}
	info := value.TokenInfo{}.WithIssuer(strconv.FormatUint(s.incarnation, 16)).WithWindow(s.router.Window())
	s.writeMessage(w, wire.TokenInfoWire(info))
}

// writeMessage writes a message as a JSON response.
func (s *Server) writeMessage(w http.ResponseWriter, m proto.Message) {
	body, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, body)
}
