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
	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/engine"
	"chicoryhoist.example/hoist/idem"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

// hopHeaders belong to one connection and are not passed on, as RFC 9110 section 7.6.1 lists them.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownHeaders are the router's own headers; neither backend servers nor callers see what the other side puts there.
var ownHeaders = []string{
	"Authorization", "X-Unrepeatable", "X-Request-Id", "X-Outcome", "X-Token-Issuer", "X-Token-Window",
}

// service passes a call on to a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	began := s.clock.Now()
	c, id, ok := s.accept(w, r)
	if !ok {
		return
	}
	request := engine.RequestID(id)
	service, ok := c.view.Service(r.PathValue("name"))
	if !ok {
		s.refuse(w, faultService, request)
		return
	}
	body, fault := s.read(w, r)
	if fault != nil {
		s.refuse(w, *fault, request)
		return
	}
	shard, ok := s.source.Shard([]string{service.Pool()})
	if !ok {
		s.refuse(w, faultShard, request)
		return
	}
	x := serviceCall(r, service, body)
	if fault := checkToken(x); fault != nil {
		s.refuse(w, *fault, request)
		return
	}
	x.Credential = c.credential
	x.Ask = x.Ask.WithAttempt(id).WithShard(shard).WithClass(c.class.Name()).
		WithWorkspace(c.workspace.Name()).WithDatacentre(s.datacentre)
	if refusal, ok := s.source.Admit(c.class, c.workspace, 0); !ok {
		s.refuse(w, refusalFault(refusal.Reason()).WithRetryAfter(hoist.Millis(refusal.RetryMs())), request)
		return
	}
	sink := &serviceSink{}
	result := s.calls.Run(r.Context(), x, sink)
	s.source.Release(c.class, c.workspace, 0)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(hoist.Millis(s.input.IdleMs()).Duration()))
	sink.finish(w, result, request)
	s.observe(c, result, s.clock.Now(), began)
}

// serviceCall returns the call of a request, without the identity of its caller.
func serviceCall(r *http.Request, service value.Service, body []byte) ServiceCall {
	token, key := r.Header.Get("Idempotency-Token"), r.Header.Get("Idempotency-Key")
	unrepeatable := marked(r.Header) || token != "" || key != "" ||
		slices.Contains(unrepeatableMethods(service), r.Method)
	return ServiceCall{
		Ask:     value.Ask{}.WithRepeatable(!unrepeatable),
		Call:    engine.ServiceCall{Method: r.Method, Path: servicePath(r.URL), Header: passedOn(r.Header), Body: body, NoReuse: unrepeatable},
		Service: service, Token: token, Key: key,
	}
}

// marked reports whether the caller marks the call as unrepeatable; any value but false counts, as the safe reading of a typing error.
func marked(h http.Header) bool {
	for _, v := range h.Values("X-Unrepeatable") {
		if v = strings.TrimSpace(v); v != "" && !strings.EqualFold(v, "false") {
			return true
		}
	}
	return false
}

// servicePath returns the part behind /v1/services/NAME as the caller escaped it, with the query.
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

// checkToken returns the fault of a call whose idempotency cannot be kept.
//
// A key alone is refused: routers choose by hash who would run it, and between the check of
// that choice and the sending a process can pause until another router has been chosen.
func checkToken(x ServiceCall) *ErrorResponse {
	if x.Token == "" {
		if x.Key != "" {
			return &faultKey
		}
		return nil
	}
	if _, err := idem.ParseToken(x.Token); err != nil {
		return &faultToken
	}
	return nil
}

// unrepeatableMethods returns the methods of a service that must not be repeated.
func unrepeatableMethods(service value.Service) []string {
	return slices.Collect(service.UnrepeatableMethods().All())
}

// passedOn returns the headers without those of one connection and those that the router sets itself.
func passedOn(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for n := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(n))
		}
	}
	for _, n := range hopHeaders {
		out.Del(n)
	}
	for _, n := range ownHeaders {
		out.Del(n)
	}
	return out
}

// serviceSink keeps the answer of a plain service until the outcome is known.
type serviceSink struct {
	answer engine.Answer
}

// Frame refuses the frame of a model engine.
func (s *serviceSink) Frame([]byte) error { return errPart }

// Answer keeps the answer.
func (s *serviceSink) Answer(a engine.Answer) error {
	s.answer = a
	return nil
}

// finish writes the answer or the fault.
func (s *serviceSink) finish(w http.ResponseWriter, r call.Result, request string) {
	if r.Outcome != value.OutcomeRan || s.answer.Status == 0 {
		resultFault(r).write(w, request)
		return
	}
	h := w.Header()
	for name, values := range passedOn(s.answer.Header) {
		if name != "Content-Length" {
			h[name] = values
		}
	}
	h.Set("X-Request-Id", request)
	h.Set("X-Outcome", call.OutcomeName(value.OutcomeRan))
	w.WriteHeader(s.answer.Status)
	_, _ = w.Write(s.answer.Body)
}

// models lists the models and adapters in force.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	c, _, ok := s.accept(w, r)
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
	s.answer(w, wire.ModelListWire(list))
}

// token names the issuer and the current window for idempotency tokens.
func (s *Server) token(w http.ResponseWriter, r *http.Request) {
	if _, _, ok := s.accept(w, r); !ok {
		return
	}
	info := value.TokenInfo{}.WithIssuer(strconv.FormatUint(s.incarnation, 16)).WithWindow(s.source.Window())
	s.answer(w, wire.TokenInfoWire(info))
}

// answer writes a message as JSON.
func (s *Server) answer(w http.ResponseWriter, m proto.Message) {
	body, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, body)
}
