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

// blockedTime is the time for which a held direction must stay silent, and soon the time within which bytes must arrive.
const (
	blockedTime    = 100 * time.Millisecond
	arrivalTimeout = 5 * time.Second
)

// connect returns a connection through a proxy to a target that echoes.
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

// echo sends one byte and reads it within the time.
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

// Guards against a soak whose faults do nothing, or that loses bytes which TCP would transmit again.
var _ = DescribeTable("held directions", func(f proxy.Fault) {
	p, c := connect()
	p.SetFault(f)
	Expect(errors.Is(echo(c, blockedTime), os.ErrDeadlineExceeded)).To(BeTrue())
	p.SetFault(proxy.PassThrough{})
	Expect(read(c, arrivalTimeout)).To(Succeed())
},
	Entry("both", proxy.HoldAll{}),
	Entry("requests", proxy.HoldRequests{}),
	Entry("answers", proxy.HoldResponses{}),
)

var _ = Describe("other faults", func() {
	// Guards against a delay that is not there.
	It("delay bytes", func() {
		p, c := connect()
		p.SetFault(proxy.Delay{By: blockedTime})
		sent := time.Now()
		Expect(echo(c, arrivalTimeout)).To(Succeed())
		Expect(time.Since(sent)).To(BeNumerically(">=", 2*blockedTime))
	})

	// Guards against connections that survive a reset.
	It("reset connections", func() {
		p, c := connect()
		p.SetFault(proxy.Reset{})
		Expect(errors.Is(read(c, arrivalTimeout), syscall.ECONNRESET)).To(BeTrue())
	})
})
