package accept_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/accept"
)

// hookClock is a clock that the test sets. Its hook runs once, at the next reading of the time.
type hookClock struct {
	now   atomic.Int64
	hook  atomic.Pointer[func()]
	ticks chan hoist.Millis
}

// Now implements hoist.Clock.
func (c *hookClock) Now() hoist.Millis {
	if f := c.hook.Swap(nil); f != nil {
		(*f)()
	}
	return hoist.Millis(c.now.Load())
}

// After implements hoist.Clock.
func (c *hookClock) After(hoist.Millis) <-chan hoist.Millis { return c.ticks }

// gatedListener hands what its connections have read to the server only once the gate is closed.
type gatedListener struct {
	net.Listener
	read, gate chan struct{}
}

// Accept implements net.Listener.
func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return gatedConn{c, l}, err
}

// gatedConn is a connection of a gatedListener.
type gatedConn struct {
	net.Conn
	listener gatedListener
}

// Read implements net.Conn.
func (c gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.listener.read <- struct{}{}
		<-c.listener.gate
	}
	return n, err
}

// open listens on a loopback address until the end of the test.
func open() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	return l
}

// connect opens a connection until the end of the test.
func connect(l net.Listener) net.Conn {
	c, err := net.Dial("tcp", l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	return c
}

var _ = Describe("a connection that changes its phase", func() {
	// Guards against a connection that is closed as late when the first byte of a request arrives after a long idle time.
	It("is not judged by the time of its last phase", func() {
		clock := &hookClock{ticks: make(chan hoist.Millis)}
		l := accept.Listen(open(), accept.Options{
			Clock: clock, Connections: 1, Header: func() accept.HeaderLimits { return accept.HeaderLimits{Timeout: 6000} },
		})
		go l.Sweep(GinkgoT().Context())
		caller := connect(l)
		c, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		clock.now.Store(12000)
		_, err = io.WriteString(caller, "G")
		Expect(err).NotTo(HaveOccurred())
		sweep := func() {
			clock.ticks <- 12000
			clock.ticks <- 12000 // Is received after the first sweep.
		}
		clock.hook.Store(&sweep)
		_, err = c.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Late.Load()).To(BeZero())
	})

	// Guards against a request that runs although its caller can get no response, because its connection was closed for a new
	// one at the moment at which it arrived.
	It("serves no request once it is closed", func() {
		gated := gatedListener{open(), make(chan struct{}, 10), make(chan struct{})}
		l := accept.Listen(gated, accept.Options{Clock: hoist.NewBootClock(), Connections: 1})
		served := make(chan struct{}, 10)
		h := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served <- struct{}{} })}
		accept.Attach(h)
		go func() { _ = h.Serve(l) }()
		DeferCleanup(h.Close)
		_, err := io.WriteString(connect(l), "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(gated.read).WithTimeout(eventual).Should(Receive())
		connect(l)
		Eventually(l.Evicted.Load).WithTimeout(eventual).Should(BeEquivalentTo(1))
		close(gated.gate)
		Consistently(served).WithTimeout(200 * time.Millisecond).ShouldNot(Receive())
	})

	// Guards against a connection that is closed as the one that has been idle longest although a request has just arrived on it,
	// which a busy process has not read yet.
	It("is not closed for a new one with unread input", func() {
		clock := &hookClock{}
		l := accept.Listen(open(), accept.Options{Clock: clock, Connections: 2})
		var callers, conns []net.Conn
		for range 2 {
			callers = append(callers, connect(l))
			c, err := l.Accept()
			Expect(err).NotTo(HaveOccurred())
			conns = append(conns, c)
			clock.now.Add(1000)
		}
		_, err := io.WriteString(callers[0], "G")
		Expect(err).NotTo(HaveOccurred())
		connect(l)
		_, err = l.Accept()
		Expect(err).NotTo(HaveOccurred())
		Expect(closed(callers[1])).To(BeTrue())
		_, err = conns[0].Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
	})
})
