package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/test/bufconn"

	"chicoryhoist.example/hoist/peer"
	"chicoryhoist.example/hoist/value"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

// received is one message that was passed to a handler.
type received struct {
	gateway uint64
	body    value.GatewayMessageBody
}

// handler records the messages of streams and echoes the other calls.
type handler struct{ messages chan received }

func (h handler) Dispatch(gateway uint64, body value.GatewayMessageBody) {
	h.messages <- received{gateway, body}
}

func (h handler) Exchange(_ context.Context, g value.Gossip) (value.Gossip, error) {
	return g.WithSender("owner"), nil
}

func (h handler) Fetch(_ context.Context, r value.FetchRequest) (value.Bundle, error) {
	return value.Bundle{}.WithGeneration(r.Generation() + 1), nil
}

func (h handler) Forward(_ context.Context, r value.ForwardRequest) (value.ForwardAnswer, error) {
	return value.ForwardAnswer{}.WithBody(r.Body()), nil
}

var _ = Describe("Client and Server", func() {
	var (
		listener *bufconn.Listener
		server   *peer.Server
		client   *peer.Client
		h        handler
		bodies   chan value.DispatcherMessageBody
		broken   chan string
	)
	owner := value.Member{}.WithName("owner").WithIncarnation(7).WithAddress("owner")
	ask := value.Ask{}.WithAttempt(value.Attempt{}.WithIncarnation(42).WithRequest(1).WithNumber(1)).WithShard("chat/north/1")

	start := func() {
		listener = bufconn.Listen(1 << 16)
		server = peer.NewServer(h)
		go func() { _ = server.Serve(listener) }()
	}
	BeforeEach(func() {
		h = handler{make(chan received, 10000)}
		bodies = make(chan value.DispatcherMessageBody, 10)
		broken = make(chan string, 10)
		start()
		dial := func(ctx context.Context, _ string) (net.Conn, error) { return listener.DialContext(ctx) }
		client = peer.NewClient(42, peer.Callbacks{
			OnMessage:   func(_ value.Member, b value.DispatcherMessageBody) { bodies <- b },
			OnStreamEnd: func(m value.Member, _ error) { broken <- m.Name() },
		}, grpc.WithContextDialer(dial))
	})
	AfterEach(func() {
		client.Close()
		server.Stop(context.Background())
	})

	// Guards against messages that are attributed or delivered to the wrong gateway.
	It("carries messages both ways under the announced incarnation", func(ctx context.Context) {
		Expect(client.Send(ctx, owner, ask)).To(Succeed())
		Eventually(h.messages).Should(Receive(Equal(received{42, ask})))
		Expect(server.Gateways()).To(Equal([]uint64{42}))
		grant := value.Grant{}.WithAttempt(ask.Attempt()).WithServer("e1")
		Expect(server.Send(42, grant)).To(Succeed())
		Eventually(bodies).Should(Receive(Equal(value.DispatcherMessageBody(grant))))
		Expect(server.Send(43, grant)).To(MatchError(peer.ErrNoStream))
	})

	// Guards against a gateway that waits forever for a grant, which occurs when it does not learn that its owner has failed.
	It("reports the owner of a broken stream and opens a new one on the next send", func(ctx context.Context) {
		Expect(client.Send(ctx, owner, ask)).To(Succeed())
		Eventually(h.messages).Should(Receive())
		server.Stop(ctx)
		Eventually(broken).Should(Receive(Equal("owner")))
		start()
		Eventually(func(g Gomega) {
			g.Expect(client.Send(ctx, owner, ask)).To(Succeed())
			g.Eventually(h.messages).Within(100 * time.Millisecond).Should(Receive())
		}).WithTimeout(10 * time.Second).Should(Succeed())
	})

	// Guards against a request path that blocks, or a queue that grows without limit, when an owner is unreachable.
	It("limits the queue to an owner that does not respond", func(ctx context.Context) {
		stuck := peer.NewClient(42, peer.Callbacks{OnStreamEnd: func(m value.Member, _ error) { broken <- m.Name() }},
			grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}))
		defer stuck.Close()
		var err error
		for i := 0; err == nil && i < 100000; i++ {
			err = stuck.Send(ctx, owner, ask)
		}
		Expect(err).To(MatchError(peer.ErrQueueFull))
		Eventually(broken).Should(Receive(Equal("owner")))
	})

	// Guards against messages to the former process of an owner that has restarted under the same name.
	It("opens a new stream when the owner has a new incarnation", func(ctx context.Context) {
		Expect(client.Send(ctx, owner, ask)).To(Succeed())
		Eventually(h.messages).Should(Receive())
		Expect(client.Send(ctx, owner.WithIncarnation(8), ask)).To(Succeed())
		Eventually(broken).Should(Receive(Equal("owner")))
		Eventually(h.messages).Should(Receive())
	})

	// Guards against streams and connections that stay open to routers that are no longer in the view.
	It("closes the streams to routers that are not retained", func(ctx context.Context) {
		Expect(client.Send(ctx, owner, ask)).To(Succeed())
		Eventually(h.messages).Should(Receive())
		client.CloseExcept([]value.Member{owner})
		Consistently(broken).Within(50 * time.Millisecond).ShouldNot(Receive())
		client.CloseExcept(nil)
		Eventually(broken).Should(Receive(Equal("owner")))
		Eventually(server.Gateways).Should(BeEmpty())
	})

	It("carries the unary calls", func(ctx context.Context) {
		g, err := client.Exchange(ctx, owner, value.Gossip{}.WithSender("me"))
		Expect(err).NotTo(HaveOccurred())
		Expect(g.Sender()).To(Equal("owner"))
		b, err := client.Fetch(ctx, owner, value.FetchRequest{}.WithGeneration(4))
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Generation()).To(Equal(uint64(5)))
		a, err := client.Forward(ctx, owner, value.ForwardRequest{}.WithBody("x"))
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Body()).To(Equal("x"))
	})
})
