// Package edge is the HTTP server for the callers of a forwarding router.
package edge

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/accept"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/intake"
	"chicoryhoist.example/hoist/relay"
	"chicoryhoist.example/hoist/value"
)

const (
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes = 64 << 10
	// defaultBodyBytes bounds the body of a request if the route table sets no bound.
	defaultBodyBytes = 4 << 20
	// notReadyRetryAfter is the delay after which a caller of an instance that is not ready should try again.
	notReadyRetryAfter = 500 * hoist.Millis(1)
	// partBytes is the size of the parts of a response that the caller has to read in time; a slow link carries it within the
	// default of clients.unread_ms.
	partBytes = 16 << 10
	// drainExitMargin is the time before the kill by which accepted requests must have ended.
	drainExitMargin = 500 * hoist.Millis(1)
)

// Server forwards the requests of callers to a relay.
type Server struct {
	relay   *relay.Relay
	clock   hoist.Clock
	dialect value.Dialect
	log     *event.Log
	limits  *Limits
	// listener is that of the callers, or nil before it is known.
	listener atomic.Pointer[accept.Listener]
}

// New returns a server that forwards to the relay within the limits.
func New(r *relay.Relay, l *Limits) *Server {
	return &Server{relay: r, clock: r.Clock, dialect: r.Dialect, log: r.Log, limits: l}
}

// Drain starts a planned stop and returns it.
func (s *Server) Drain() relay.Drain {
	start := s.clock.Now()
	d := relay.Drain{Start: start, End: start + hoist.MillisOfSeconds(s.relay.Settings.Bounds().GraceS()) - drainExitMargin}
	s.relay.StartDrain(d)
	return d
}

// Watch makes readiness depend on whether the listener of the callers accepts connections.
func (s *Server) Watch(l *accept.Listener) { s.listener.Store(l) }

// Ready handles a readiness check.
func (s *Server) Ready(w http.ResponseWriter, _ *http.Request) {
	l := s.listener.Load()
	if s.relay.Draining() || !s.relay.Ready() || l != nil && l.IsFull() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ServeHTTP forwards one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := s.clock.Now()
	c := &responseWriter{writer: w, control: http.NewResponseController(w), unread: s.limits.unread}
	defer c.finish()
	if s.relay.Draining() {
		w.Header().Set("Connection", "close")
	}
	// What is held is released at the end of the request, because the body may be sent again until then.
	ticket := accept.Open(s.limits.Account, w, r)
	defer ticket.Release()
	body, err := s.readBody(w, r, ticket)
	if err != nil {
		ticket.Release()
		s.rejectBody(c, r, err)
		return
	}
	q := s.relayRequest(r, body, arrived)
	q.Hold = ticket.Grow
	s.relay.Serve(r.Context(), q, c)
}

// readBody reads the complete body within the limits; it returns nil if the request has none.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, t *intake.Ticket) ([][]byte, error) {
	if r.ContentLength == 0 {
		if r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
			return [][]byte{}, t.Complete()
		}
		return nil, t.Complete()
	}
	limit := int64(defaultBodyBytes)
	if t := s.relay.Follower.View().Table; t != nil && t.BodyBytes() > 0 {
		limit = t.BodyBytes()
	}
	return accept.ReadBody(w, r, t, limit, s.limits.rate)
}

// relayRequest converts the request to the form that the relay uses and removes the header fields that callers must
// not set.
func (s *Server) relayRequest(r *http.Request, body [][]byte, arrived hoist.Millis) relay.Request {
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
	q.Parts = parsePromptParts(r.Header.Get(d.Parts()))
	return q
}

// parsePromptParts parses the parts of a prompt. A malformed list counts as empty, because the parts only influence
// the choice of a server.
func parsePromptParts(text string) value.List[value.PromptPart] {
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

// responseWriter writes the response to one request; it implements relay.ResponseWriter.
type responseWriter struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	// unread is the time for which the caller may leave a part of the response unread; zero sets no limit.
	unread hoist.Millis
	// ended is set once the response is complete.
	ended bool
}

// Start sends the header.
func (c *responseWriter) Start(status int, header http.Header, length int64) {
	h := c.writer.Header()
	for name, values := range header {
		h[name] = values
	}
	// A nil value prevents net/http from adding a field that the server did not send.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			h[name] = nil
		}
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.allow()
	c.writer.WriteHeader(status)
}

// allow starts the time within which the caller has to read the next part of the response.
func (c *responseWriter) allow() {
	if c.unread > 0 {
		_ = c.control.SetWriteDeadline(time.Now().Add(c.unread.Duration())) // Fails only on a closed connection.
	}
}

// Write sends a chunk of the body and flushes it.
func (c *responseWriter) Write(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	for part := range slices.Chunk(b, partBytes) {
		c.allow()
		if _, err := c.writer.Write(part); err != nil {
			return err
		}
	}
	return c.control.Flush()
}

// End implements relay.ResponseWriter. net/http sends the end of the response after it, which may be long after the last write.
func (c *responseWriter) End() {
	c.allow()
	c.ended = true
}

// finish aborts the connection unless the response is complete. When a handler returns, net/http would otherwise end the
// response as if it were: with status 200 and an empty body if it has not begun, or with the last chunk.
func (c *responseWriter) finish() {
	if !c.ended {
		panic(http.ErrAbortHandler)
	}
}

// Refuse sends a local error.
func (c *responseWriter) Refuse(e relay.LocalError) {
	status, after := http.StatusServiceUnavailable, hoist.Millis(0)
	switch e := e.(type) {
	case relay.NotReady:
		after = notReadyRetryAfter
	case relay.Stopping:
	case relay.NoRoute:
		status = http.StatusNotFound
	case relay.UnknownKey:
		status = http.StatusUnauthorized
	case relay.KeysStale:
		after = e.After
	case relay.Overloaded:
		after = e.After
	case relay.Excluded:
		after = e.After
	case relay.Quarantined:
		after = e.After
	case relay.DeadlineExceeded:
		status = http.StatusGatewayTimeout
	case relay.ServerFailed:
		status = http.StatusBadGateway
	}
	c.sendError(status, relay.LocalErrorName(e), after)
}

// sendError sends an error response of the router.
func (c *responseWriter) sendError(status int, code string, after hoist.Millis) {
	h := http.Header{"Content-Type": {"application/json"}}
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(after.Duration().Seconds(), 'f', -1, 64))
	}
	body, err := json.Marshal(map[string]string{"error": code})
	if err != nil {
		panic(err) // A map of strings can always be marshalled.
	}
	c.Start(status, h, int64(len(body)))
	_ = c.Write(body) // A disconnected caller needs no response.
	c.End()
}
