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
	"chicoryhoist.example/hoist/value"
)

// idlePerHost is the number of idle connections kept for each backend server: a little over its usual slots.
const idlePerHost = 32

// probeDelay bounds the check whether a server that broke a connection still listens.
const probeDelay = 250 * time.Millisecond

// Client runs attempts on backend servers; it is safe for concurrent use.
type Client struct {
	clock  hoist.Clock
	limits Limits
	pooled *http.Transport
	fresh  *http.Transport
	// OnForeign is called for each frame of another attempt that was dropped; it must not block. It is set before the first Run.
	OnForeign func(server string)
	// Foreign counts frames that carried the identity of another attempt and were dropped.
	Foreign atomic.Uint64
}

// NewClient returns a client with the limits.
func NewClient(clock hoist.Clock, limits Limits) *Client {
	dialer := &net.Dialer{Timeout: limits.Connect.Duration(), KeepAlive: 15 * time.Second}
	transport := func() *http.Transport {
		return &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout:     90 * time.Second,
			DisableCompression:  true,
		}
	}
	c := &Client{clock: clock, limits: limits, pooled: transport(), fresh: transport()}
	c.fresh.DisableKeepAlives = true
	return c
}

// Close releases the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Run runs one attempt on the server at address and passes its parts to sink; it returns how the attempt ended.
//
// Run returns EndKindCancelled when ctx ends or sink returns false.
func (c *Client) Run(ctx context.Context, address string, id value.Attempt, call Call, sink func(Item) bool) value.EndKind {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{Client: c, address: address, id: id, sink: sink, cancel: cancel}
	switch call := call.(type) {
	case Completion:
		return r.complete(ctx, call)
	case ServiceCall:
		return r.exchange(ctx, call)
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
	// connected is set once a connection was available, after which bytes may have been sent.
	connected atomic.Bool
	// expired is set when the attempt was ended because a limit ran out.
	expired atomic.Bool
}

// watch ends the attempt when the returned timer runs out.
func (r *run) watch(limit hoist.Millis) *time.Timer {
	return time.AfterFunc(limit.Duration(), func() {
		r.expired.Store(true)
		r.cancel()
	})
}

// trace returns a context that records when a connection is available.
func (r *run) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { r.connected.Store(true) },
	})
}

// broken returns how an attempt ended whose connection failed.
func (r *run) broken(ctx context.Context) value.EndKind {
	expired := r.expired.Load()
	switch {
	case ctx.Err() != nil && !expired:
		return value.EndKindCancelled
	case !r.connected.Load():
		return value.EndKindUnreachable
	case !expired && r.refuses():
		return value.EndKindCrashed
	}
	return value.EndKindFailed
}

// refuses reports whether nothing listens at the server's address any more.
//
// Silence is no crash: a lost network path would otherwise charge the content of every attempt behind it.
func (r *run) refuses() bool {
	conn, err := net.DialTimeout("tcp", r.address, probeDelay)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// rejected reports whether an engine's status says that the request itself is invalid, which holds for every engine.
func rejected(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnsupportedMediaType, http.StatusUnprocessableEntity:
		return true
	default:
		return false
	}
}

// refusal returns the end of an attempt that was answered with an error status, and whether it is one; an answer of success is never a refusal.
func refusal(resp *http.Response) (value.EndKind, bool) {
	switch {
	case resp.StatusCode < http.StatusBadRequest || resp.Header.Get("X-Not-Started") != "true":
		return value.EndKindUnspecified, false
	case resp.Header.Get("X-Leaving") == "true":
		return value.EndKindLeaving, true
	default:
		return value.EndKindRefused, true
	}
}

// foreign counts a frame or an answer of another attempt.
func (r *run) foreign() {
	r.Foreign.Add(1)
	if r.OnForeign != nil {
		r.OnForeign(r.address)
	}
}
