package mesh_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/mesh"
	"chicoryhoist.example/hoist/value"
)

func TestMesh(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "mesh")
}

// port returns a port that is free on a loopback address.
func port() int {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 2, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	return c.LocalAddr().(*net.UDPAddr).Port
}

// start starts the instance with the number; the first instance is the only seed.
func start(ctx context.Context, number, port int, receive func(string, mesh.Body)) *mesh.Mesh {
	return startQuarantined(ctx, number, port, receive, nil, func([]value.Quarantine) {})
}

// startQuarantined starts an instance that knows quarantined content and passes what others know to learn.
func startQuarantined(ctx context.Context, number, port int, receive func(string, mesh.Body), known []value.Quarantine, learn func([]value.Quarantine)) *mesh.Mesh {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := value.ForwardSettings{}.WithName(fmt.Sprint("n", number)).WithRegion("r").WithDatacentre(fmt.Sprint("x", number%2)).
		WithPeers(value.ForwardPeers{}.WithAddress(fmt.Sprintf("127.2.0.%d:%d", number, port)).WithSeeds(value.ListOf("127.2.0.1:1")))
	m, err := mesh.New(mesh.Options{
		Clock: hoist.NewBootClock(), Log: event.NewLog(logger), Settings: s,
		OnMessage:     func(sender string, _ netip.AddrPort, b mesh.Body) { receive(sender, b) },
		OnItems:       func([]value.Item) {},
		OnView:        func(_, _ *member.View) {},
		Quarantined:   func() []value.Quarantine { return known },
		OnQuarantined: learn,
	})
	Expect(err).NotTo(HaveOccurred())
	go m.Run(ctx)
	return m
}

// liveCount returns the number of live instances in a view.
func liveCount(m *mesh.Mesh) func() int { return func() int { return len(m.View().Members()) } }

var _ = Describe("an instance", func() {
	// Guards against a message that ends the process of its receiver.
	It("serves on after a datagram whose handling panics", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		p := port()
		got := make(chan string, 1)
		first := start(ctx, 1, p, func(_ string, b mesh.Body) {
			n, ok := b.(value.PlaceNote)
			if ok && n.Shard() == "bad" {
				panic("unexpected")
			}
			if ok {
				got <- n.Shard()
			}
		})
		second := start(ctx, 2, p, func(string, mesh.Body) {})
		Eventually(liveCount(second)).WithTimeout(20 * time.Second).Should(Equal(2))
		second.SendTo("n1", value.PlaceNote{}.WithShard("bad"))
		second.SendTo("n1", value.PlaceNote{}.WithShard("good"))
		Eventually(got).WithTimeout(5 * time.Second).Should(Receive(Equal("good")))
		Expect(first.Invalid.Load()).To(BeNumerically(">=", 1))
	})
})

var _ = Describe("instances", func() {
	// Guards against instances that do not discover each other, messages that do not arrive, and ended instances that
	// remain in the view.
	It("find each other through one seed and notice an end", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		p := port()
		got := make(chan string, 1)
		ignore := func(string, mesh.Body) {}
		first := start(ctx, 1, p, func(sender string, b mesh.Body) {
			if n, ok := b.(value.PlaceNote); ok {
				got <- sender + " " + n.Shard()
			}
		})
		var others []*mesh.Mesh
		for i := 2; i <= 4; i++ {
			others = append(others, start(ctx, i, p, ignore))
		}
		last, end := context.WithCancel(ctx)
		others = append(others, start(last, 5, p, ignore))
		for _, m := range append(others, first) {
			Eventually(liveCount(m)).WithTimeout(20 * time.Second).Should(Equal(5))
		}
		others[0].SendTo("n1", value.PlaceNote{}.WithShard("s"))
		Eventually(got).Should(Receive(Equal("n2 s")))
		end()
		Eventually(liveCount(first)).WithTimeout(20 * time.Second).Should(Equal(4))
	})
})

var _ = Describe("a starting instance", func() {
	// Guards against a restarted instance that sends quarantined content to servers, because the instance that has published
	// the quarantine has been restarted too and its gossip items ended with its process.
	It("learns what is quarantined from an instance that has not published it", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		p := port()
		ignore := func(string, mesh.Body) {}
		known := []value.Quarantine{value.Quarantine{}.WithFingerprint(7)}
		startQuarantined(ctx, 1, p, ignore, known, func([]value.Quarantine) {})
		learnt := make(chan []value.Quarantine, 100)
		startQuarantined(ctx, 2, p, ignore, nil, func(list []value.Quarantine) { learnt <- list })
		Eventually(learnt).WithTimeout(20 * time.Second).Should(Receive(Equal(known)))
	})
})
