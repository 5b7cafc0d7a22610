// Package http1 sends HTTP/1.1 requests to backend servers over connections that it reuses under strict rules.
//
// A connection carries one request at a time, and bytes that arrive between two requests are never taken for a
// response. The transport of net/http retries requests on its own and hides whether a byte was written, so it cannot
// distinguish a request that was not run from one whose outcome is unknown.
package http1

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"chicoryhoist.example/hoist"
)

const (
	// unackedTimeout is the time after which the kernel closes a connection whose peer does not acknowledge sent
	// bytes; it exceeds a few retransmissions on a lossy link.
	unackedTimeout = 2 * hoist.Second
	// probeInterval and probeCount are the parameters of the TCP keep-alive probes that detect a lost peer of an idle
	// connection.
	probeInterval = hoist.Second
	probeCount    = 2
	// maxHeaderBytes bounds the header of a response; a response with a longer header is an error.
	maxHeaderBytes = 64 << 10
	// maxJoinedBytes is the length up to which a body is sent in one write with the header.
	maxJoinedBytes = 16 << 10
	// confirmTime is the time for which a server keeps a new connection if it has not ended. A killed process reset those that
	// it had not accepted within 4 ms of closing the others, also at a load of three processes a core.
	confirmTime = 20 * hoist.Millis(1)
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4 << 10
)

// Limits are the timeouts of the connections of a client.
type Limits struct {
	// Connect bounds the time to open a connection.
	Connect hoist.Millis
	// Idle is the idle timeout of a connection to a server that announces none, and the upper bound of an announced
	// one.
	Idle hoist.Millis
	// Header bounds the time from the first byte of a response header to its end. A server that is still at work has not
	// begun its header.
	Header hoist.Millis
	// UnframedBytes bounds a response body that states no length.
	UnframedBytes int64
}

// Request is one request to a backend server.
type Request struct {
	// Method, Target and Host are sent unchanged; Target is the path with its query.
	Method, Target, Host string
	// Header is sent sorted by field name.
	Header http.Header
	// Body holds the blocks of the body, which is sent with a Content-Length field; nil sends no body.
	Body [][]byte
	// Fresh requests a new connection instead of an idle one. A request without an ID always gets one, because the response
	// cannot be told from a late one.
	Fresh bool
	// IDHeader is the header field in which the server returns the request ID; responses with another ID are dropped, and
	// one without an ID ends the connection.
	IDHeader, ID string
}

// ErrUnsent means that no byte of the request was sent, so it has not run.
var ErrUnsent = errors.New("request was not sent")

// ErrResponseLost means that the request was sent and its response was lost, so it may have run.
var ErrResponseLost = errors.New("request was sent, but its response was lost")

// Client sends requests to backend servers and pools idle connections by address.
type Client struct {
	clock  hoist.Clock
	limits Limits
	dialer net.Dialer
	pools  atomic.Pointer[map[string]*connPool]
	// Opened counts the opened connections, Mismatched the dropped responses of other requests.
	Opened, Mismatched atomic.Int64
}

// connPool holds the idle connections to one address as an immutable linked list, the most recently used first.
type connPool struct {
	head atomic.Pointer[idleConn]
}

// idleConn is one node of the list of a connPool.
type idleConn struct {
	conn *conn
	next *idleConn
}

// NewClient returns a client without connections.
func NewClient(clock hoist.Clock, limits Limits) *Client {
	c := &Client{clock: clock, limits: limits}
	c.dialer = net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeInterval.Duration(), Interval: probeInterval.Duration(), Count: probeCount,
		},
		Control: setUserTimeout,
	}
	c.pools.Store(&map[string]*connPool{})
	return c
}

// setUserTimeout sets TCP_USER_TIMEOUT, which bounds the time for which sent bytes may remain unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout))
	})
	return errors.Join(err, failed)
}

// poolFor returns the pool of the address and creates it if necessary.
func (c *Client) poolFor(address string) *connPool {
	if l, ok := (*c.pools.Load())[address]; ok {
		return l
	}
	lanes := hoist.Update(&c.pools, func(old map[string]*connPool) map[string]*connPool {
		if _, ok := old[address]; ok {
			return old
		}
		next := make(map[string]*connPool, len(old)+1)
		for k, v := range old {
			next[k] = v
		}
		next[address] = &connPool{}
		return next
	})
	return lanes[address]
}

// Retain removes the pools of all addresses for which keep returns false and closes their idle connections.
func (c *Client) Retain(keep func(address string) bool) {
	var removed []*connPool
	hoist.Update(&c.pools, func(old map[string]*connPool) map[string]*connPool {
		removed = removed[:0]
		next := make(map[string]*connPool, len(old))
		for k, v := range old {
			if keep(k) {
				next[k] = v
			} else {
				removed = append(removed, v)
			}
		}
		return next
	})
	for _, l := range removed {
		l.closeAll()
	}
}

// Close closes all idle connections.
func (c *Client) Close() { c.Retain(func(string) bool { return false }) }

// closeAll closes the idle connections of the pool.
func (l *connPool) closeAll() {
	for i := l.head.Swap(nil); i != nil; i = i.next {
		i.conn.close()
	}
}

// take removes a reusable connection from the pool and returns it; it returns nil if there is none.
func (l *connPool) take(now hoist.Millis) *conn {
	for {
		head := l.head.Load()
		if head == nil {
			return nil
		}
		if !l.head.CompareAndSwap(head, head.next) {
			continue
		}
		if now < head.conn.reusableUntil && head.conn.isIdle() {
			return head.conn
		}
		head.conn.close()
	}
}

// put adds an idle connection to the pool.
func (l *connPool) put(x *conn) {
	for {
		head := l.head.Load()
		if l.head.CompareAndSwap(head, &idleConn{conn: x, next: head}) {
			return
		}
	}
}

// Do sends the request and returns the response once its header was read; an error wraps ErrUnsent or
// ErrResponseLost.
//
// The end of ctx aborts the exchange and closes its connection, also while the body of the response is read.
func (c *Client) Do(ctx context.Context, address string, r Request) (*Response, error) {
	l := c.poolFor(address)
	var x *conn
	if !r.Fresh && r.ID != "" {
		x = l.take(c.clock.Now())
	}
	if x != nil && x.hasCarried(r.ID) {
		x.close()
		x = nil
	}
	if x == nil {
		var err error
		if x, err = c.open(ctx, address); err != nil {
			return nil, errors.Join(ErrUnsent, err)
		}
	}
	x.pool = l
	x.carry(r.ID)
	resp := &Response{conn: x, client: c, writeDone: make(chan struct{}), confirmEnd: func() error { return c.confirmEnd(ctx, address) }}
	resp.stopAbort = context.AfterFunc(ctx, x.abort)
	if !x.beginExchange() {
		resp.Discard()
		return nil, errors.Join(ErrUnsent, context.Cause(ctx))
	}
	go resp.send(encode(r))
	if err := resp.readHeader(r); err != nil {
		resp.Discard()
		<-resp.writeDone
		if !x.wrote() {
			return nil, errors.Join(ErrUnsent, err)
		}
		return nil, errors.Join(ErrResponseLost, err)
	}
	return resp, nil
}

// open opens a connection to the address.
func (c *Client) open(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.limits.Connect.Duration())
	defer cancel()
	n, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c.Opened.Add(1)
	return newConn(n.(*net.TCPConn)), nil
}

// Refused reports whether the address refuses connections. If a connection can be opened, it is pooled for the next
// request.
func (c *Client) Refused(ctx context.Context, address string) bool {
	return errors.Is(c.probe(ctx, address), unix.ECONNREFUSED)
}

// probe opens a connection to the address and pools it for the next request.
func (c *Client) probe(ctx context.Context, address string) error {
	x, err := c.open(ctx, address)
	if err != nil {
		return err
	}
	c.pool(x, address)
	return nil
}

// confirmEnd returns an error unless the server at the address accepts a connection and keeps it for confirmTime. The kernel
// closes the connections of a process that was killed in the same way as a process that has sent its whole response, and may
// do so before it closes its listener; it resets new connections then.
func (c *Client) confirmEnd(ctx context.Context, address string) error {
	x, err := c.open(ctx, address)
	if err != nil {
		return errors.Join(errUnconfirmed, err)
	}
	if err := staysOpen(x.net, confirmTime); err != nil {
		x.close()
		return errors.Join(errUnconfirmed, err)
	}
	c.pool(x, address)
	return nil
}

// pool keeps a new connection to the address for the next request.
func (c *Client) pool(x *conn, address string) {
	x.pool = c.poolFor(address)
	x.reusableUntil = c.clock.Now() + c.limits.Idle*idleReuseTenths/10
	x.pool.put(x)
}

// buffers is a pool of buffers for encoded requests.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// encode returns the request in wire format in a pooled buffer, without the body if it is long; the blocks of a long body are
// returned beside it, so that they are not copied.
func encode(r Request) (*bytes.Buffer, [][]byte) {
	b := buffers.Get().(*bytes.Buffer)
	b.Reset()
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	names := make([]string, 0, len(r.Header))
	for n := range r.Header {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		for _, v := range r.Header[n] {
			b.WriteString(n)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if r.Body != nil {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(bodyLength(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	if length := bodyLength(r.Body); length <= maxJoinedBytes {
		for _, block := range r.Body {
			b.Write(block)
		}
		return b, nil
	}
	return b, r.Body
}

// bodyLength returns the length of a body in bytes.
func bodyLength(blocks [][]byte) int {
	n := 0
	for _, b := range blocks {
		n += len(b)
	}
	return n
}

// pastDeadline is a deadline in the past, which ends pending reads and writes immediately.
var pastDeadline = time.Unix(1, 0)
