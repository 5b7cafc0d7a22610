// Package http1 sends HTTP/1.1 requests to backend servers over connections that it reuses under strict rules.
//
// A connection carries one request at a time, and nothing that arrives between two requests is ever taken for an
// answer. The transport of net/http repeats requests on its own and hides whether a byte was written, so it cannot
// tell a request that was not run from one whose outcome is unknown.
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
	// unackedTime is the time after which the kernel gives up on bytes that the peer does not acknowledge; it exceeds a few retransmissions on a lossy link.
	unackedTime = 2 * hoist.Second
	// probeInterval and probeCount find a silent peer behind an idle connection.
	probeInterval = hoist.Second
	probeCount    = 2
	// headerBytes bounds the header of an answer; longer ones are no answer.
	headerBytes = 64 << 10
	// bufferBytes is the read buffer of a connection.
	bufferBytes = 4 << 10
)

// Limits bound the connections of a client.
type Limits struct {
	// Connect is the longest time to open a connection.
	Connect hoist.Millis
	// Idle is the longest time for which an idle connection is kept when the server announces none.
	Idle hoist.Millis
}

// Request is one request to a backend server.
type Request struct {
	// Method, Target and Host are sent as they are; Target is the path with its query.
	Method, Target, Host string
	// Header is sent in the order of its names.
	Header http.Header
	// Body is sent with its length; nil sends no body.
	Body []byte
	// Fresh asks for a connection that has carried no request.
	Fresh bool
	// IDHeader is the header in which the server returns ID; answers with another mark are dropped.
	IDHeader, ID string
}

// ErrUnsent says that no byte of the request has left, so it has not run.
var ErrUnsent = errors.New("request was not sent")

// ErrResponseLost says that the request was sent and its answer is lost, so it may have run.
var ErrResponseLost = errors.New("answer of a sent request is lost")

// Client keeps connections to backend servers.
type Client struct {
	clock  hoist.Clock
	limits Limits
	dialer net.Dialer
	lanes  atomic.Pointer[map[string]*lane]
	// Opened counts the connections that were opened, Mismatched the answers of other requests that were dropped.
	Opened, Mismatched atomic.Int64
}

// lane holds the idle connections to one address as an immutable list, the last used first.
type lane struct {
	idle atomic.Pointer[idle]
}

// idle is one entry of a list of idle connections.
type idle struct {
	conn *conn
	next *idle
}

// NewClient returns a client without connections.
func NewClient(clock hoist.Clock, limits Limits) *Client {
	c := &Client{clock: clock, limits: limits}
	c.dialer = net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeInterval.Duration(), Interval: probeInterval.Duration(), Count: probeCount,
		},
		Control: setUnacked,
	}
	c.lanes.Store(&map[string]*lane{})
	return c
}

// setUnacked bounds the time for which sent bytes may stay without acknowledgement.
func setUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTime))
	})
	return errors.Join(err, failed)
}

// lane returns the idle connections to the address.
func (c *Client) lane(address string) *lane {
	if l, ok := (*c.lanes.Load())[address]; ok {
		return l
	}
	lanes := hoist.Update(&c.lanes, func(old map[string]*lane) map[string]*lane {
		if _, ok := old[address]; ok {
			return old
		}
		next := make(map[string]*lane, len(old)+1)
		for k, v := range old {
			next[k] = v
		}
		next[address] = &lane{}
		return next
	})
	return lanes[address]
}

// Retain closes the idle connections to every address that keep does not report.
func (c *Client) Retain(keep func(address string) bool) {
	var gone []*lane
	hoist.Update(&c.lanes, func(old map[string]*lane) map[string]*lane {
		gone = gone[:0]
		next := make(map[string]*lane, len(old))
		for k, v := range old {
			if keep(k) {
				next[k] = v
			} else {
				gone = append(gone, v)
			}
		}
		return next
	})
	for _, l := range gone {
		l.clear()
	}
}

// Close closes every idle connection.
func (c *Client) Close() { c.Retain(func(string) bool { return false }) }

// clear closes the idle connections of the lane.
func (l *lane) clear() {
	for i := l.idle.Swap(nil); i != nil; i = i.next {
		i.conn.close()
	}
}

// take returns an idle connection that may be used at the time, or nil.
func (l *lane) take(now hoist.Millis) *conn {
	for {
		head := l.idle.Load()
		if head == nil {
			return nil
		}
		if !l.idle.CompareAndSwap(head, head.next) {
			continue
		}
		if now < head.conn.until && head.conn.quiet() {
			return head.conn
		}
		head.conn.close()
	}
}

// put adds an idle connection.
func (l *lane) put(x *conn) {
	for {
		head := l.idle.Load()
		if l.idle.CompareAndSwap(head, &idle{conn: x, next: head}) {
			return
		}
	}
}

// Do sends the request and returns the header of the answer; the error wraps ErrUnsent or ErrResponseLost.
//
// The end of ctx breaks the exchange off and closes its connection, also while the body of the answer is read.
func (c *Client) Do(ctx context.Context, address string, r Request) (*Response, error) {
	l := c.lane(address)
	var x *conn
	if !r.Fresh {
		x = l.take(c.clock.Now())
	}
	if x == nil {
		var err error
		if x, err = c.open(ctx, address); err != nil {
			return nil, errors.Join(ErrUnsent, err)
		}
	}
	x.lane = l
	a := &Response{conn: x, client: c, sent: make(chan struct{})}
	a.detach = context.AfterFunc(ctx, x.abort)
	if !x.begin() {
		a.Discard()
		return nil, errors.Join(ErrUnsent, context.Cause(ctx))
	}
	go a.send(encode(r))
	if err := a.receive(r); err != nil {
		a.Discard()
		<-a.sent
		if !x.wrote() {
			return nil, errors.Join(ErrUnsent, err)
		}
		return nil, errors.Join(ErrResponseLost, err)
	}
	return a, nil
}

// open connects to the address.
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

// Refused reports whether the address refuses connections; a connection that opens is kept for the next request.
func (c *Client) Refused(ctx context.Context, address string) bool {
	x, err := c.open(ctx, address)
	if err != nil {
		return errors.Is(err, unix.ECONNREFUSED)
	}
	x.lane = c.lane(address)
	x.until = c.clock.Now() + c.limits.Idle*reuseMargin/10
	x.lane.put(x)
	return false
}

// buffers holds the encoded requests that are not in use.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// encode returns the bytes of a request in a pooled buffer.
func encode(r Request) *bytes.Buffer {
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
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b
}

// past is a deadline that has always passed.
var past = time.Unix(1, 0)
