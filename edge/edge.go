// Package edge speaks HTTP with the callers of a forwarding router.
package edge

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/relay"
	"chicoryhoist.example/hoist/value"
)

const (
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes = 64 << 10
	// defaultBodyBytes bounds the body of a request when the route table sets no bound.
	defaultBodyBytes = 4 << 20
	// unreadyPause is the time after which a caller of an instance without a route table should try again.
	unreadyPause = 500 * hoist.Millis(1)
	// lateNew is the time after the start of a drain up to which every request is taken; the platform's balancer and callers move within it.
	lateNew = 3 * hoist.Second
	// exitTime is the time before the kill at which a draining process has ended.
	exitTime = 500 * hoist.Millis(1)
)

// Server forwards the requests of callers to a relay.
type Server struct {
	relay   *relay.Relay
	clock   hoist.Clock
	dialect value.Dialect
	log     *event.Log
	// draining is the time at which the drain began, or zero.
	draining atomic.Int64
}

// New returns a server that forwards to the relay.
func New(r *relay.Relay) *Server {
	return &Server{relay: r, clock: r.Clock, dialect: r.Dialect, log: r.Log}
}

// Drain makes the server ask callers to close their connections.
func (s *Server) Drain() { s.draining.CompareAndSwap(0, int64(s.clock.Now())) }

// Draining reports whether the drain has begun.
func (s *Server) Draining() bool { return s.draining.Load() > 0 }

// Ready answers a readiness check.
func (s *Server) Ready(w http.ResponseWriter, _ *http.Request) {
	if s.Draining() || !s.relay.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ServeHTTP forwards one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := s.clock.Now()
	c := &caller{writer: w, control: http.NewResponseController(w)}
	defer c.finish()
	if s.Draining() {
		w.Header().Set("Connection", "close")
	}
	body, err := s.body(w, r)
	if err != nil {
		s.rejectBody(c, r, err)
		return
	}
	q := s.decode(r, body, arrived)
	if !s.accepts(q) {
		c.Refuse(relay.Overloaded{After: 0})
		s.log.Write(event.RequestEnded, logrus.Fields{"request": q.ID, "result": "draining"})
		return
	}
	s.relay.Serve(r.Context(), q, c)
}

// accepts reports whether a request may begin: late in a drain, only one that surely ends before the process does.
func (s *Server) accepts(q relay.Request) bool {
	at := hoist.Millis(s.draining.Load())
	if at == 0 || q.Arrived-at <= lateNew {
		return true
	}
	left := at + hoist.Millis(s.relay.Settings.Bounds().GraceMs()) - exitTime - q.Arrived
	return q.Timeout > 0 && q.Timeout <= left
}

// body reads the whole body within its bound; it returns nil when the request has none.
func (s *Server) body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength == 0 {
		if r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
			return []byte{}, nil
		}
		return nil, nil
	}
	limit := int64(defaultBodyBytes)
	if t := s.relay.Follower.View().Table; t != nil && t.BodyBytes() > 0 {
		limit = t.BodyBytes()
	}
	reader := http.MaxBytesReader(w, r.Body, limit)
	if r.ContentLength < 0 || r.ContentLength > limit {
		return io.ReadAll(reader)
	}
	b := make([]byte, r.ContentLength)
	_, err := io.ReadFull(reader, b)
	return b, err
}

// rejectBody answers a request whose body is too long or broke off.
func (s *Server) rejectBody(c *caller, r *http.Request, err error) {
	status := http.StatusBadRequest
	var long *http.MaxBytesError
	if errors.As(err, &long) {
		status = http.StatusRequestEntityTooLarge
	}
	s.log.Write(event.RequestEnded, logrus.Fields{"request": r.Header.Get(s.dialect.RequestId()), "result": "body", "error": err.Error()})
	c.answer(status, "body", 0)
}

// decode turns a request into the form that the relay works with.
func (s *Server) decode(r *http.Request, body []byte, arrived hoist.Millis) relay.Request {
	d := s.dialect
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(target, "?")
	h := relay.WithoutHopByHop(r.Header)
	for _, name := range []string{d.Key(), d.Workspace(), d.ExpectServer(), d.Urgency(), d.Deadline()} {
		h.Del(name)
	}
	for name := range d.Reserved().All() {
		h.Del(name)
	}
	q := relay.Request{
		ID: r.Header.Get(d.RequestId()), Method: r.Method, Target: target, Host: r.Host, Path: path,
		Header: h, Body: body, Key: r.Header.Get(d.Key()), Arrived: arrived,
	}
	if ms, err := strconv.ParseInt(r.Header.Get(d.Deadline()), 10, 64); err == nil && ms > 0 {
		q.Timeout = hoist.Millis(ms)
	}
	if _, output, ok := strings.Cut(r.Header.Get(d.Usage()), ","); ok {
		if n, err := strconv.ParseInt(strings.TrimSpace(output), 10, 32); err == nil {
			q.Output = int32(n)
		}
	}
	q.Parts = parts(r.Header.Get(d.Parts()))
	return q
}

// parts reads the parts of a prompt; a malformed list counts as none, since it only guides the choice of a server.
func parts(text string) value.List[value.PromptPart] {
	if text == "" {
		return value.List[value.PromptPart]{}
	}
	var list []value.PromptPart
	for field := range strings.SplitSeq(text, ",") {
		id, tokens, _ := strings.Cut(strings.TrimSpace(field), ":")
		x, err := strconv.ParseUint(id, 16, 64)
		n, err2 := strconv.ParseInt(tokens, 10, 32)
		if err != nil || err2 != nil {
			return value.List[value.PromptPart]{}
		}
		list = append(list, value.PromptPart{}.WithId(x).WithTokens(int32(n)))
	}
	return value.ListOf(list...)
}

// caller writes the answer of one request.
type caller struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	started bool
	aborted bool
}

// Start sends the header.
func (c *caller) Start(status int, header http.Header, length int64) {
	c.started = true
	h := c.writer.Header()
	for name, values := range header {
		h[name] = values
	}
	// A nil value keeps net/http from adding a field that the server did not send.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			h[name] = nil
		}
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.writer.WriteHeader(status)
}

// Write sends a piece of the body at once.
func (c *caller) Write(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if _, err := c.writer.Write(b); err != nil {
		return err
	}
	return c.control.Flush()
}

// Abort breaks the answer off.
func (c *caller) Abort() { c.aborted = true }

// finish ends the handler; an aborted answer closes the connection without the end of the body.
func (c *caller) finish() {
	if c.aborted {
		panic(http.ErrAbortHandler)
	}
}

// Refuse answers with a fault.
func (c *caller) Refuse(f relay.LocalError) {
	status, after := http.StatusServiceUnavailable, hoist.Millis(0)
	switch f := f.(type) {
	case relay.NotReady:
		after = unreadyPause
	case relay.NoRoute:
		status = http.StatusNotFound
	case relay.UnknownKey:
		status = http.StatusUnauthorized
	case relay.KeysStale:
		after = f.After
	case relay.Overloaded:
		after = f.After
	case relay.Quarantined:
		after = f.After
	case relay.DeadlineExceeded:
		status = http.StatusGatewayTimeout
	case relay.ServerFailed:
		status = http.StatusBadGateway
	}
	c.answer(status, relay.LocalErrorName(f), after)
}

// answer sends an error of the router's own.
func (c *caller) answer(status int, code string, after hoist.Millis) {
	h := http.Header{"Content-Type": {"application/json"}}
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(after.Duration().Seconds(), 'f', -1, 64))
	}
	body, err := json.Marshal(map[string]string{"error": code})
	if err != nil {
		panic(err) // A map of strings always has a JSON form.
	}
	c.Start(status, h, int64(len(body)))
	_ = c.Write(body) // A caller that has left needs no answer.
}
