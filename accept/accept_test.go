package accept_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/accept"
	"chicoryhoist.example/hoist/intake"
)

func TestAccept(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bounds of an HTTP server")
}

// eventual bounds the wait for a state that the server reaches in its own time.
const eventual = 10 * time.Second

// bodyLimit is the limit of a body.
const bodyLimit = 100 << 10

// server is a server whose handler reports how the body of each request was read.
type server struct {
	listener *accept.Listener
	account  *intake.Account
	results  chan string
}

// serve starts a server until the end of the test.
func serve(o accept.Options, rate accept.Rate) *server {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	o.Clock = hoist.NewBootClock()
	s := &server{account: intake.NewAccount(o.Clock, 64<<10, 48<<10), results: make(chan string, 100)}
	o.Account = s.account
	s.listener = accept.Listen(n, o)
	h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t := accept.Open(s.account, w, r)
		defer t.Release()
		blocks, err := accept.ReadBody(w, r, t, bodyLimit, rate)
		length := 0
		for _, b := range blocks {
			length += len(b)
		}
		s.results <- describe(length, err)
	})}
	accept.Attach(h)
	go func() { _ = h.Serve(s.listener) }()
	DeferCleanup(h.Close)
	return s
}

// describe names the result of reading a body.
func describe(length int, err error) string {
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return fmt.Sprint(length)
	case errors.As(err, &large):
		return "too large"
	case errors.Is(err, accept.ErrSlow):
		return "slow"
	case errors.Is(err, intake.ErrDisplaced):
		return "displaced"
	case errors.Is(err, intake.ErrFull):
		return "full"
	case errors.Is(err, intake.ErrAddressFull):
		return "address full"
	}
	return "broken"
}

// dial connects from the address and sends the text.
func (s *server) dial(from, text string) net.Conn {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := d.Dial("tcp", s.listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
	return c
}

// closed reports whether the server closes the connection.
func closed(c net.Conn) bool {
	Expect(c.SetReadDeadline(time.Now().Add(eventual))).To(Succeed())
	_, err := io.Copy(io.Discard, c)
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

const (
	chunked   = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	announced = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
)

// chunk returns a chunk of n bytes.
func chunk(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n)) }

// lenient is a rate that no body of these tests is below.
var lenient = accept.Rate{BytesPerSecond: 1, Grace: hoist.Minute}

var _ = Describe("a server with bounds", func() {
	// Guards against a body that is changed by the blocks it is read into, and against a limit that is off by one.
	DescribeTable("reads a body", func(text, result string) {
		s := serve(accept.Options{Connections: 10}, lenient)
		s.dial("127.0.0.1", text)
		Eventually(s.results).WithTimeout(eventual).Should(Receive(Equal(result)))
		Eventually(func() int64 { return s.account.State().Used() }).WithTimeout(eventual).Should(BeZero())
	},
		Entry("announced", fmt.Sprintf(announced, 5000)+strings.Repeat("x", 5000), "5000"),
		Entry("as long as one block", fmt.Sprintf(announced, 4096)+strings.Repeat("x", 4096), "4096"),
		Entry("chunked, as long as two blocks", chunked+chunk(20<<10)+"0\r\n\r\n", "20480"),
		Entry("chunks of one byte", chunked+strings.Repeat(chunk(1), 9000)+"0\r\n\r\n", "9000"),
		Entry("without bytes", chunked+"0\r\n\r\n", "0"),
		Entry("announced above the limit", fmt.Sprintf(announced, bodyLimit+1), "too large"),
		Entry("above the share of its address", chunked+chunk(90<<10), "address full"),
		Entry("malformed", chunked+"zz\r\n", "broken"),
	)

	// Guards against a body that holds its memory for as long as its caller keeps the connection open.
	It("ends a body that is too slow", func() {
		s := serve(accept.Options{Connections: 10}, accept.Rate{BytesPerSecond: 1 << 20, Grace: 1})
		c := s.dial("127.0.0.1", chunked+chunk(10))
		Eventually(s.results).WithTimeout(eventual).Should(Receive(Equal("slow")))
		Expect(closed(c)).To(BeTrue())
	})

	// Guards against an account that stays full because the body that gives way is not interrupted.
	It("interrupts the body that gives way", func() {
		s := serve(accept.Options{Connections: 10}, lenient)
		for i := range 3 {
			s.dial(fmt.Sprintf("127.0.0.%d", i+2), chunked+chunk(19<<10))
			Eventually(func() int64 { return s.account.State().Used() }).WithTimeout(eventual).Should(BeEquivalentTo((i + 1) * 20 << 10))
		}
		s.dial("127.0.0.5", fmt.Sprintf(announced, 6000)+strings.Repeat("x", 6000))
		var results []string
		for range 2 {
			var r string
			Eventually(s.results).WithTimeout(eventual).Should(Receive(&r))
			results = append(results, r)
		}
		Expect(results).To(ConsistOf("displaced", "6000"))
	})

	// Guards against a new caller that finds no connection because others hold all of them without using them.
	It("closes the connection that has been idle longest", func() {
		s := serve(accept.Options{Connections: 2}, lenient)
		first := s.dial("127.0.0.1", "")
		Eventually(s.listener.Count).WithTimeout(eventual).Should(BeEquivalentTo(1))
		time.Sleep(5 * time.Millisecond) // The clock counts milliseconds.
		busy := s.dial("127.0.0.1", chunked+chunk(10))
		Eventually(func() int { return s.account.State().Holdings() }).WithTimeout(eventual).Should(Equal(1))
		third := s.dial("127.0.0.1", fmt.Sprintf(announced, 1)+"x")
		Expect(closed(first)).To(BeTrue())
		Eventually(s.results).WithTimeout(eventual).Should(Receive(Equal("1")))
		_, err := http.ReadResponse(bufio.NewReader(third), nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(busy, "0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(s.results).WithTimeout(eventual).Should(Receive(Equal("10")))
		Expect(s.listener.Evicted.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a connection that is closed in the middle of a request, and against one more than the bound.
	It("accepts nothing while every connection has a request", func() {
		s := serve(accept.Options{Connections: 1}, lenient)
		busy := s.dial("127.0.0.1", chunked+chunk(10))
		Eventually(func() int { return s.account.State().Holdings() }).WithTimeout(eventual).Should(Equal(1))
		s.dial("127.0.0.1", fmt.Sprintf(announced, 1)+"x")
		Consistently(s.results).WithTimeout(100 * time.Millisecond).ShouldNot(Receive())
		_, err := io.WriteString(busy, "0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(s.results).WithTimeout(eventual).Should(Receive(Equal("10")))
		Eventually(s.results).WithTimeout(eventual).Should(Receive(Equal("1")))
	})

	// Guards against headers that hold memory or a connection without a bound.
	It("bounds the size and the time of a header", func() {
		limits := accept.HeaderLimits{Bytes: 16 << 10, Timeout: 50}
		s := serve(accept.Options{Connections: 10, Header: func() accept.HeaderLimits { return limits }}, lenient)
		go s.listener.Sweep(GinkgoT().Context())
		late := s.dial("127.0.0.1", "GET / HTTP/1.1\r\nHost: a\r\nX: ")
		Expect(closed(late)).To(BeTrue())
		Expect(s.listener.Late.Load()).To(BeEquivalentTo(1))
		c := s.dial("127.0.0.1", "")
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 40<<10)) // The server may close it before the end.
		Expect(closed(c)).To(BeTrue())
		Expect(s.listener.Long.Load()).To(BeEquivalentTo(1))
		Eventually(func() int { return s.account.State().Holdings() }).WithTimeout(eventual).Should(BeZero())
	})

	// Guards against a connection that is closed while its request runs, because the charge for its long header counts as a body
	// that makes no progress.
	It("keeps a request with a long header while others need memory", func() {
		s := serve(accept.Options{Connections: 10}, lenient)
		header := strings.Repeat("X: "+strings.Repeat("x", 1000)+"\r\n", 12)
		c := s.dial("127.0.0.2", "POST / HTTP/1.1\r\nHost: a\r\n"+header+"Transfer-Encoding: chunked\r\n\r\n"+chunk(1))
		Eventually(func() int { return s.account.State().Holdings() }).WithTimeout(eventual).Should(Equal(1))
		Eventually(func() int64 { return s.account.State().Used() }).WithTimeout(eventual).Should(BeNumerically(">", 8<<10))
		time.Sleep(1100 * time.Millisecond) // A holding counts as stalled after 1 s.
		_, err := io.WriteString(c, chunk(1))
		Expect(err).NotTo(HaveOccurred())
		for i := range 3 { // Two of these bodies have room.
			s.dial(fmt.Sprintf("127.0.0.%d", i+3), chunked+chunk(19<<10))
		}
		Eventually(s.results).WithTimeout(eventual).Should(Receive(Equal("full")))
		_, err = io.WriteString(c, "0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(s.results).WithTimeout(eventual).Should(Receive(Equal("2")))
	})

	// Guards against callers that hold many times the memory that they are charged, because each field of a header takes more
	// than its bytes, however the header arrives.
	DescribeTable("charges the fields of a header", func(before string) {
		s := serve(accept.Options{Connections: 10}, lenient)
		fields := strings.Repeat("X:\r\n", 130)
		s.dial("127.0.0.1", before+"POST / HTTP/1.1\r\nHost: a\r\n"+fields+"Transfer-Encoding: chunked\r\n\r\n"+chunk(1))
		Eventually(func() int64 { return s.account.State().Used() }).WithTimeout(eventual).Should(BeNumerically(">", 25<<10))
	},
		Entry("alone", ""),
		Entry("together with an earlier request", fmt.Sprintf(announced, 1)+"x"),
	)

	// Guards against headers that keep their memory until their callers end, because only bodies give way.
	It("makes a request give way by its header while its body arrives", func() {
		s := serve(accept.Options{Connections: 10}, lenient)
		c := s.dial("127.0.0.2", "POST / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("X:\r\n", 180)+"Transfer-Encoding: chunked\r\n\r\n"+chunk(1))
		Eventually(func() int64 { return s.account.State().Used() }).WithTimeout(eventual).Should(BeNumerically(">", 38<<10))
		s.dial("127.0.0.3", fmt.Sprintf(announced, 24<<10)+strings.Repeat("x", 24<<10))
		Eventually(s.results).WithTimeout(eventual).Should(Receive(Equal("displaced")))
		Eventually(s.results).WithTimeout(eventual).Should(Receive(Equal(fmt.Sprint(24 << 10))))
		Expect(closed(c)).To(BeTrue())
	})

	// Guards against a request that is charged for the lines of its body.
	It("does not charge the lines of a body as fields", func() {
		s := serve(accept.Options{Connections: 10}, lenient)
		s.dial("127.0.0.1", fmt.Sprintf(announced, 3000)+strings.Repeat("\n", 2999))
		Eventually(func() int64 { return s.account.State().Used() }).WithTimeout(eventual).Should(BeEquivalentTo(3000))
	})

	// Guards against callers that take all connections with small bodies that they do not end, so that others find none.
	It("closes a connection whose body stays incomplete", func() {
		s := serve(accept.Options{Connections: 2}, lenient)
		first := s.dial("127.0.0.1", chunked+chunk(10))
		Eventually(func() int { return s.account.State().Holdings() }).WithTimeout(eventual).Should(Equal(1))
		time.Sleep(5 * time.Millisecond) // The clock counts milliseconds.
		s.dial("127.0.0.1", chunked+chunk(10))
		Eventually(func() int { return s.account.State().Holdings() }).WithTimeout(eventual).Should(Equal(2))
		s.dial("127.0.0.1", fmt.Sprintf(announced, 1)+"x")
		var results []string
		for range 2 {
			var r string
			Eventually(s.results).WithTimeout(eventual).Should(Receive(&r))
			results = append(results, r)
		}
		Expect(results).To(ConsistOf("broken", "1"))
		Expect(closed(first)).To(BeTrue())
		Expect(s.listener.Evicted.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a process that says it is ready while it accepts no connection.
	It("is full while a connection waits and no other one may be closed", func() {
		gate := make(chan struct{})
		n := open()
		l := accept.Listen(n, accept.Options{Clock: hoist.NewBootClock(), Connections: 1})
		h := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-gate })}
		accept.Attach(h)
		go func() { _ = h.Serve(l) }()
		DeferCleanup(h.Close)
		for range 2 {
			_, err := io.WriteString(connect(n), "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(l.IsFull).WithTimeout(eventual).Should(BeTrue())
		close(gate)
		Eventually(l.IsFull).WithTimeout(eventual).Should(BeFalse())
	})
})
