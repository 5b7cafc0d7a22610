package engine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/http1"
	"chicoryhoist.example/hoist/value"
)

// maxIdlePerHost is the number of idle connections kept per backend server, which is more than its usual number of slots.
const maxIdlePerHost = 32

// probeTimeout is the timeout of the check whether a server still listens after it broke a connection.
const probeTimeout = 250 * time.Millisecond

// Client runs attempts on backend servers; it is safe for concurrent use.
type Client struct {
	clock    hoist.Clock
	limits   Limits
	pooled   *http1.Transport
	unpooled *http1.Transport
	// OnForeign is called for each mismatched frame or response, which belongs to another attempt and is discarded.
	// It must not block and must be set before the first Run.
	OnForeign func(server string)
	// Foreign counts the mismatched frames and responses that were discarded.
	Foreign atomic.Uint64
}

// NewClient returns a client with the limits.
func NewClient(clock hoist.Clock, limits Limits) *Client {
	dialer := &net.Dialer{Timeout: limits.Connect.Duration(), KeepAlive: 15 * time.Second}
	transport := func() *http1.Transport {
		return http1.NewTransport(&http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout:     90 * time.Second,
			DisableCompression:  true,
		})
	}
	c := &Client{clock: clock, limits: limits, pooled: transport(), unpooled: transport()}
	c.unpooled.DisableKeepAlives = true
	return c
}

// Close releases the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Run runs one attempt on the server at address, passes the parts of its response to sink and returns how it ended.
//
// Run returns EndKindCancelled if ctx is cancelled or sink returns false.
func (c *Client) Run(ctx context.Context, address string, id value.Attempt, call Call, sink func(Item) bool) value.EndKind {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{Client: c, address: address, id: id, sink: sink, cancel: cancel}
	switch call := call.(type) {
	case Completion:
		return r.streamCompletion(ctx, call)
	case ServiceCall:
		return r.callService(ctx, call)
	}
	return value.EndKindUnspecified
}

// run is one attempt in progress.
type run struct {
	*Client
	address string
	id      value.Attempt
	sink    func(Item) bool
	cancel  context.CancelFunc
	// connected is set when a connection is available; from then on bytes may have been sent.
	connected atomic.Bool
	// expired is set when a timeout has ended the attempt.
	expired atomic.Bool
}

// startTimeout starts a timer that ends the attempt when it expires.
func (r *run) startTimeout(limit hoist.Millis) *time.Timer {
	return time.AfterFunc(limit.Duration(), func() {
		r.expired.Store(true)
		r.cancel()
	})
}

// traceConnection returns a context that sets connected when a connection is available.
func (r *run) traceConnection(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { r.connected.Store(true) },
	})
}

// brokenEndKind returns how an attempt with a failed connection ended.
func (r *run) brokenEndKind(ctx context.Context) value.EndKind {
	expired := r.expired.Load()
	switch {
	case ctx.Err() != nil && !expired:
		return value.EndKindCancelled
	case !r.connected.Load():
		return value.EndKindUnreachable
	case !expired && r.portClosed():
		return value.EndKindCrashed
	}
	return value.EndKindFailed
}

// portClosed reports whether nothing listens on the server's address any more.
//
// A probe without a response is not a crash. Otherwise the loss of a network path would be attributed to the
// content of every attempt on that path.
func (r *run) portClosed() bool {
	conn, err := net.DialTimeout("tcp", r.address, probeTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// isInvalidRequest reports whether an engine's status means that the request itself is invalid, so that no other engine would accept it.
func isInvalidRequest(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnsupportedMediaType, http.StatusUnprocessableEntity:
		return true
	default:
		return false
	}
}

// refusalKind returns how an attempt ended that the server refused, or false if the response is not a refusal;
// a response with a success status is never a refusal.
func refusalKind(resp *http.Response) (value.EndKind, bool) {
	switch {
	case resp.StatusCode < http.StatusBadRequest || resp.Header.Get("X-Not-Started") != "true":
		return value.EndKindUnspecified, false
	case resp.Header.Get("X-Leaving") == "true":
		return value.EndKindLeaving, true
	default:
		return value.EndKindRefused, true
	}
}

// countMismatch counts a frame or response of another attempt.
func (r *run) countMismatch() {
	r.Foreign.Add(1)
	if r.OnForeign != nil {
		r.OnForeign(r.address)
	}
}
