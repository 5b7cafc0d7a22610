package accept

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/intake"
)

const (
	// freeHeaderBytes and freeFields are the part of a header that is not charged; ordinary headers are below it.
	freeHeaderBytes = 4 << 10
	freeFields      = 32
	// fieldBytes is charged for each further field, however short: the server holds a field in a map, and a request is
	// forwarded with two copies of that map. Fields of 6 bytes take 92 bytes in the first map and 72 in each copy.
	fieldBytes = 256
	// headerSlackBytes is what a connection may send beyond the limit of a header before it is closed, because the server
	// reads ahead and responds with an error just above the limit.
	headerSlackBytes = 8 << 10
	// slowTime is the age at which an incomplete header or body counts as idle; a header usually comes in one packet, and an
	// ordinary body in a few.
	slowTime = hoist.Second
	// sweepInterval is the interval at which late headers are looked for.
	sweepInterval = 500 * hoist.Millis(1)
)

// errHeaderSize means that a header exceeds its limit.
var errHeaderSize = eris.New("header of a request is too long")

// Phases of a connection.
const (
	phaseIdle int64 = iota
	phaseHeader
	// phaseBody means that the body of a request is being read, so that the request does not run yet.
	phaseBody
	phaseServing
	phaseClosed
)

// phaseBits is the number of bits of a phase.
const phaseBits = 3

// state is a phase of a connection and the time at which it began. Both are one value, so that a connection whose phase has just
// changed is not judged by the time of its last one.
type state int64

// newState returns the state of a phase that begins now.
func newState(phase int64, now hoist.Millis) state { return state(int64(now)<<phaseBits | phase) }

// phase returns the phase.
func (s state) phase() int64 { return int64(s) & (1<<phaseBits - 1) }

// since returns the time at which the phase began.
func (s state) since() hoist.Millis { return hoist.Millis(s >> phaseBits) }

// HeaderLimits bounds the header of a request; zero values set no bound.
type HeaderLimits struct {
	Bytes   int64
	Timeout hoist.Millis
}

// Options are the dependencies and limits of a listener.
type Options struct {
	Clock hoist.Clock
	// Connections is the largest number of connections.
	Connections int64
	// Account is charged for long headers; nil charges nothing.
	Account *intake.Account
	// Header returns the current limits of a header; nil sets none.
	Header func() HeaderLimits
}

// Listener accepts a bounded number of connections. Beyond it, the connection that has been idle longest is closed, then one
// whose header or body is incomplete after slowTime. If there is none, no connection is accepted until one ends.
type Listener struct {
	net.Listener
	options Options
	conns   sync.Map
	count   atomic.Int64
	// changed receives a value when a connection ends or becomes idle.
	changed chan struct{}
	closed  chan struct{}
	isDown  atomic.Bool
	// fullSince is the time since which a connection waits to be accepted, or zero.
	fullSince atomic.Int64
	// Evicted counts connections that were closed for new ones, Late the headers that did not end in time, Long those
	// that were too long or for which there was no memory.
	Evicted, Late, Long atomic.Int64
}

// Listen wraps a listener.
func Listen(l net.Listener, o Options) *Listener {
	return &Listener{Listener: l, options: o, changed: make(chan struct{}, 1), closed: make(chan struct{})}
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// Attach makes the server report the phases of its connections. The server must serve a Listener.
func Attach(s *http.Server) {
	next := s.Handler
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if x, ok := c.(*Conn); ok && state == http.StateIdle {
			x.becomeIdle()
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if x := connOf(r); x != nil {
			// The connection is closed already if its header was late or it was closed for a new one.
			if !x.advance(phaseServing, phaseIdle, phaseHeader) || !x.completeHeader(r.Header) {
				panic(http.ErrAbortHandler)
			}
		}
		next.ServeHTTP(w, r)
	})
}

// Count returns the number of open connections.
func (l *Listener) Count() int64 { return l.count.Load() }

// Accept returns the next connection once there is room for it.
func (l *Listener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	defer l.fullSince.Store(0)
	for l.count.Load() >= l.options.Connections && !l.evict() {
		l.fullSince.CompareAndSwap(0, int64(l.options.Clock.Now()))
		select {
		case <-l.changed:
		case <-l.options.Clock.After(slowTime):
		case <-l.closed:
			_ = n.Close() // The server is stopping.
			return nil, net.ErrClosed
		}
	}
	x := &Conn{Conn: n, listener: l}
	x.state.Store(int64(newState(phaseIdle, l.options.Clock.Now())))
	l.count.Add(1)
	l.conns.Store(x, struct{}{})
	return x, nil
}

// IsFull reports whether a connection has waited for longer than slowTime to be accepted.
func (l *Listener) IsFull() bool {
	since := hoist.Millis(l.fullSince.Load())
	return since > 0 && l.options.Clock.Now()-since > slowTime
}

// Close closes the listener; its connections stay open.
func (l *Listener) Close() error {
	if l.isDown.CompareAndSwap(false, true) {
		close(l.closed)
	}
	return l.Listener.Close()
}

// evict closes the connection that has been idle longest and has no unread input, or whose header has been incomplete longest, or
// whose incomplete body has received nothing for longest. It returns false if there is none.
func (l *Listener) evict() bool {
	for {
		x, s := l.oldest()
		if x == nil {
			return false
		}
		// A connection whose state has changed meanwhile is in use, and another one is looked for.
		if x.closeIn(s, &l.Evicted) {
			return true
		}
	}
}

// oldest returns the connection that evict closes first, and its state, or nil if there is none.
func (l *Listener) oldest() (*Conn, state) {
	now := l.options.Clock.Now()
	var oldest *Conn
	var state state
	var since hoist.Millis
	for k := range l.conns.Range {
		x := k.(*Conn)
		s := x.load()
		p, at := s.phase(), s.since()
		switch {
		case p > phaseBody, p != phaseIdle && now-at < slowTime:
			continue
		case p == phaseBody:
			at = max(at, hoist.Millis(x.lastByte.Load()))
		}
		before := oldest == nil || p < state.phase() || p == state.phase() && at < since
		if before && (p == phaseHeader || !x.hasInput()) {
			oldest, state, since = x, s, at
		}
	}
	return oldest, state
}

// Sweep closes connections whose header does not end in time, until ctx ends.
func (l *Listener) Sweep(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-l.options.Clock.After(sweepInterval):
			limit := l.headerLimits().Timeout
			if limit <= 0 {
				continue
			}
			for k := range l.conns.Range {
				x := k.(*Conn)
				if s := x.load(); s.phase() == phaseHeader && now-s.since() >= limit {
					x.closeIn(s, &l.Late) // In another state the header is complete.
				}
			}
		}
	}
}

// headerLimits returns the current limits of a header.
func (l *Listener) headerLimits() HeaderLimits {
	if l.options.Header == nil {
		return HeaderLimits{}
	}
	return l.options.Header()
}

// signal wakes the goroutine that waits for room.
func (l *Listener) signal() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// Conn is one connection of a caller.
type Conn struct {
	net.Conn
	listener *Listener
	// state holds a value of type state.
	state atomic.Int64
	// lastByte is the time at which the last bytes of the current body were read.
	lastByte atomic.Int64
	// header is the size of the current header, and charged the part of it that was charged. They are used by the goroutine that
	// reads the headers and serves the requests.
	header  headerSize
	charged int64
	// ticket is the holding of the current request, for its header and its body.
	ticket atomic.Pointer[intake.Ticket]
	ended  atomic.Bool
}

// headerSize counts the bytes and lines of a header as it arrives.
type headerSize struct {
	bytes, lines int64
	// text is set if the current line is not empty, and ended once an empty line has ended the header.
	text, ended bool
}

// plus returns the size with the bytes that follow; those behind the end of the header do not count.
func (h headerSize) plus(b []byte) headerSize {
	for len(b) > 0 && !h.ended {
		line, rest, whole := bytes.Cut(b, []byte{'\n'})
		h.text = h.text || len(bytes.Trim(line, "\r")) > 0
		h.bytes += int64(len(b) - len(rest))
		b = rest
		if whole {
			h.ended = !h.text && h.lines > 0
			h.lines, h.text = h.lines+1, false
		}
	}
	return h
}

// charge returns what a header of the size is charged.
func (h headerSize) charge() int64 {
	return max(h.bytes-freeHeaderBytes, 0) + fieldBytes*max(h.lines-freeFields, 0)
}

// load returns the state.
func (c *Conn) load() state { return state(c.state.Load()) }

// advance begins the phase now if the current one is one of those in from, and reports whether it did.
func (c *Conn) advance(phase int64, from ...int64) bool {
	next := newState(phase, c.listener.options.Clock.Now())
	for {
		s := c.load()
		if !slices.Contains(from, s.phase()) {
			return false
		}
		if c.state.CompareAndSwap(int64(s), int64(next)) {
			return true
		}
	}
}

// closeIn closes and counts the connection unless its state is another one than s, and reports whether it did.
func (c *Conn) closeIn(s state, count *atomic.Int64) bool {
	if !c.state.CompareAndSwap(int64(s), int64(newState(phaseClosed, s.since()))) {
		return false
	}
	count.Add(1)
	_ = c.Close() // The caller may have closed it.
	return true
}

// hasInput reports whether bytes of a request have arrived that the server has not read yet.
func (c *Conn) hasInput() bool {
	x, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := x.SyscallConn()
	if err != nil {
		return false // The connection is closed.
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT) // Without input, n is not above zero.
	})
	return err == nil && n > 0
}

// Read reads and charges what belongs to a header.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	switch c.load().phase() {
	case phaseServing:
		return n, err
	case phaseBody:
		c.lastByte.Store(int64(c.listener.options.Clock.Now()))
		return n, err
	}
	if n == 0 {
		return n, err
	}
	c.advance(phaseHeader, phaseIdle)
	c.header = c.header.plus(b[:n])
	if e := c.chargeHeader(); e != nil {
		c.listener.Long.Add(1)
		return 0, e
	}
	return n, err
}

// chargeHeader charges what of the header was not charged yet.
func (c *Conn) chargeHeader() error {
	limit := c.listener.headerLimits().Bytes
	if limit > 0 && c.header.bytes > limit+headerSlackBytes {
		return errHeaderSize
	}
	a, n := c.listener.options.Account, c.header.charge()-c.charged
	if a == nil || n <= 0 {
		return nil
	}
	t := c.ticket.Load()
	if t == nil {
		// The ticket of a connection that is being closed at this moment is released below.
		t = a.Open(remoteAddress(c.RemoteAddr().String()), c.interrupt)
		c.ticket.Store(t)
	}
	err := t.Grow(n)
	c.charged += n
	if c.ended.Load() {
		c.release()
		return errors.Join(err, net.ErrClosed)
	}
	return err
}

// interrupt ends the reading of a request that has to give way. Once its header has arrived, its caller gets a response.
func (c *Conn) interrupt() {
	if p := c.load().phase(); p == phaseServing || p == phaseBody {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // Fails only on a closed connection.
		return
	}
	_ = c.Close()
}

// completeHeader charges what of the header was read along with an earlier request. It returns false if the request has to
// give way. The holding is complete with the body of the request.
func (c *Conn) completeHeader(h http.Header) bool {
	lines := int64(0)
	for _, values := range h {
		lines += int64(len(values))
	}
	c.header.lines = max(c.header.lines, lines)
	if err := c.chargeHeader(); err != nil {
		c.listener.Long.Add(1)
		return false
	}
	t := c.ticket.Load()
	return t == nil || !t.Leaving()
}

// becomeIdle records that a request has ended.
func (c *Conn) becomeIdle() {
	c.release()
	c.header, c.charged = headerSize{}, 0
	// A request that the server answers by itself never leaves phaseHeader.
	if c.advance(phaseIdle, phaseServing, phaseBody, phaseHeader) {
		c.listener.signal()
	}
}

// release ends the holding for the header.
func (c *Conn) release() {
	if t := c.ticket.Swap(nil); t != nil {
		t.Release()
	}
}

// CloseWrite closes the sending side, so that a caller that is still sending can read the last response.
func (c *Conn) CloseWrite() error {
	if x, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return x.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *Conn) Close() error {
	if c.ended.CompareAndSwap(false, true) {
		c.listener.conns.Delete(c)
		c.listener.count.Add(-1)
		c.release()
		c.listener.signal()
	}
	return c.Conn.Close()
}
