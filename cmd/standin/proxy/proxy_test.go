package proxy_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist/cmd/standin/proxy"
)

func TestProxy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "proxy")
}

// blockedTime is the time during which no byte may arrive in a blocked direction, and arrivalTimeout the time within which
// a forwarded byte must arrive.
const (
	blockedTime    = 100 * time.Millisecond
	arrivalTimeout = 5 * time.Second
)

// connect returns a proxy in front of an echo server, and a connection through it.
func connect() (*proxy.Proxy, net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	p, err := proxy.New(l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(p.Close)
	c, err := net.Dial("tcp", p.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	Expect(echo(c, arrivalTimeout)).To(Succeed())
	return p, c
}

// echo sends one byte and reads it back within the time.
func echo(c net.Conn, within time.Duration) error {
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	return read(c, within)
}

// read reads one byte within the time.
func read(c net.Conn, within time.Duration) error {
	if err := c.SetReadDeadline(time.Now().Add(within)); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// Guards against a soak without effect, which occurs when a fault doesn't block its direction, and against lost bytes that
// TCP would retransmit, which occurs when blocked bytes are dropped.
var _ = DescribeTable("blocked directions", func(f proxy.Fault) {
	p, c := connect()
	p.SetFault(f)
	Expect(errors.Is(echo(c, blockedTime), os.ErrDeadlineExceeded)).To(BeTrue())
	p.SetFault(proxy.PassThrough{})
	Expect(read(c, arrivalTimeout)).To(Succeed())
},
	Entry("both", proxy.HoldAll{}),
	Entry("requests", proxy.HoldRequests{}),
	Entry("responses", proxy.HoldResponses{}),
)

var _ = Describe("other faults", func() {
	// Guards against a delay without effect, which occurs when a direction is forwarded at once.
	It("delay bytes in both directions", func() {
		p, c := connect()
		p.SetFault(proxy.Delay{By: blockedTime})
		sent := time.Now()
		Expect(echo(c, arrivalTimeout)).To(Succeed())
		Expect(time.Since(sent)).To(BeNumerically(">=", 2*blockedTime))
	})

	// Guards against connections that survive a reset, which occurs when the proxy doesn't track both sides.
	It("reset open connections", func() {
		p, c := connect()
		p.SetFault(proxy.Reset{})
		Expect(errors.Is(read(c, arrivalTimeout), syscall.ECONNRESET)).To(BeTrue())
	})
})
