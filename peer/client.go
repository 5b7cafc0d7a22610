package peer

import (
	"context"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

const (
	// minRedialDelay is the delay before the second attempt to connect.
	minRedialDelay = 100 * hoist.Millis(1)
	// maxRedialDelay is the longest delay between attempts before jitter, which makes it up to 2.4 s. It is as long as the
	// default time after which a silent peer counts as failed, so a restarted peer may count as failed before the next attempt.
	maxRedialDelay = 2 * hoist.Second
	// dialTimeout limits one attempt to connect.
	dialTimeout = 1 * hoist.Second
	// clientPingInterval is the silence after which a client checks a connection; gRPC allows no shorter one. The membership
	// detects a failed peer earlier, and its connection is then closed through CloseExcept.
	clientPingInterval = 10 * hoist.Second
)

// Callbacks receive the messages of shard owners. They are called from the goroutine of a stream and must not block.
type Callbacks struct {
	// OnMessage receives one message of an owner.
	OnMessage func(owner value.Member, body value.DispatcherMessageBody)
	// OnStreamEnd reports that the stream to an owner has ended; queued messages may be lost.
	//
	// A message that is sent between the end and the call travels on a new stream, so an owner can receive an Ask twice; its
	// attempt identifies it.
	OnStreamEnd func(owner value.Member, err error)
}

// Client holds the connections to other routers and a Dispatch stream to each remote owner.
type Client struct {
	incarnation uint64
	callbacks   Callbacks
	options     []grpc.DialOption
	ctx         context.Context
	cancel      context.CancelFunc
	streams     table[string, *ownerStream]
	running     sync.WaitGroup
	mu          sync.Mutex
	conns       map[string]*grpc.ClientConn
}

// ownerStream is the stream to one owner.
type ownerStream struct {
	*queue[value.GatewayMessageBody]
	owner value.Member
}

// NewClient returns the client of the gateway process with the incarnation; it opens no connection yet.
func NewClient(incarnation uint64, c Callbacks, options ...grpc.DialOption) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		incarnation: incarnation,
		callbacks:   c,
		ctx:         ctx,
		cancel:      cancel,
		conns:       map[string]*grpc.ClientConn{},
		options: append([]grpc.DialOption{
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithStaticStreamWindowSize(windowBytes),
			grpc.WithStaticConnWindowSize(windowBytes),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{
				Time:    clientPingInterval.Duration(),
				Timeout: pingTimeout.Duration(),
			}),
			grpc.WithConnectParams(grpc.ConnectParams{
				Backoff: backoff.Config{
					BaseDelay:  minRedialDelay.Duration(),
					Multiplier: 2,
					Jitter:     0.2,
					MaxDelay:   maxRedialDelay.Duration(),
				},
				MinConnectTimeout: dialTimeout.Duration(),
			}),
			grpc.WithDisableServiceConfig(),
		}, options...),
	}
}

// Send queues a message to the owner, opening a stream if there is none; it never blocks.
func (cl *Client) Send(ctx context.Context, m value.Member, body value.GatewayMessageBody) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if s, ok := cl.streams.get(m.Name()); ok && s.matches(m) {
		return s.push(body)
	}
	return cl.openStream(m).push(body)
}

// matches reports whether the stream leads to the process described by the member.
func (s *ownerStream) matches(m value.Member) bool {
	return s.owner.Incarnation() == m.Incarnation() && s.owner.Address() == m.Address()
}

// openStream returns the stream to the member, starting it if there is none.
func (cl *Client) openStream(m value.Member) *ownerStream {
	if old, ok := cl.streams.get(m.Name()); ok && !old.matches(m) {
		old.close(ErrClosed)
	}
	s, created := cl.streams.getOrAdd(m.Name(), func(s *ownerStream) bool { return s.matches(m) }, func() *ownerStream {
		return &ownerStream{newQueue[value.GatewayMessageBody](), m}
	})
	if created {
		cl.running.Go(func() { cl.runStream(s) })
	}
	return s
}

// runStream runs one stream until it ends, and then calls OnStreamEnd.
func (cl *Client) runStream(s *ownerStream) {
	ctx, cancel := context.WithCancel(cl.ctx)
	received := make(chan struct{})
	go func() {
		<-s.done
		cancel()
	}()
	stream, err := cl.dialStream(ctx, s.owner)
	if err != nil {
		close(received)
		s.close(err)
	} else {
		go func() {
			defer close(received)
			cl.receiveMessages(s, stream)
		}()
		s.drain(func(b value.GatewayMessageBody) error {
			return stream.Send(wire.GatewayMessageWire(value.GatewayMessage{}.WithBody(b)))
		})
	}
	<-received
	cl.streams.remove(s.owner.Name(), s)
	if cl.callbacks.OnStreamEnd != nil {
		cl.callbacks.OnStreamEnd(s.owner, s.err)
	}
}

// dialStream opens a stream that announces the incarnation of the gateway.
func (cl *Client) dialStream(ctx context.Context, m value.Member) (grpc.BidiStreamingClient[wire.GatewayMessage, wire.DispatcherMessage], error) {
	c, err := cl.clientFor(m)
	if err != nil {
		return nil, err
	}
	return c.Dispatch(metadata.AppendToOutgoingContext(ctx, incarnationKey, strconv.FormatUint(cl.incarnation, 10)))
}

// receiveMessages passes the messages of a stream to the callback until the stream ends.
func (cl *Client) receiveMessages(s *ownerStream, stream grpc.BidiStreamingClient[wire.GatewayMessage, wire.DispatcherMessage]) {
	for {
		m, err := stream.Recv()
		if err != nil {
			s.close(err)
			return
		}
		if b := wire.DispatcherMessageValue(m).Body(); b != nil {
			cl.callbacks.OnMessage(s.owner, b)
		}
	}
}

// clientFor returns the gRPC client for the member's address; it connects in the background.
func (cl *Client) clientFor(m value.Member) (wire.PeerClient, error) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.ctx.Err() != nil {
		return nil, ErrClosed
	}
	c, ok := cl.conns[m.Address()]
	if !ok {
		var err error
		if c, err = grpc.NewClient("passthrough:///"+m.Address(), cl.options...); err != nil {
			return nil, eris.Wrapf(err, "connect to router %s at %s", m.Name(), m.Address())
		}
		cl.conns[m.Address()] = c
	}
	return wire.NewPeerClient(c), nil
}

// Exchange sends items to a peer and returns the items of its response.
func (cl *Client) Exchange(ctx context.Context, m value.Member, g value.Gossip) (value.Gossip, error) {
	c, err := cl.clientFor(m)
	if err != nil {
		return value.Gossip{}, err
	}
	r, err := c.Exchange(ctx, wire.GossipWire(g))
	return wire.GossipValue(r), err
}

// Fetch returns the configuration of a peer if it is newer than the one in the request.
func (cl *Client) Fetch(ctx context.Context, m value.Member, f value.FetchRequest) (value.Bundle, error) {
	c, err := cl.clientFor(m)
	if err != nil {
		return value.Bundle{}, err
	}
	r, err := c.Fetch(ctx, wire.FetchRequestWire(f))
	return wire.BundleValue(r), err
}

// Forward executes a call on the router that issued its token.
func (cl *Client) Forward(ctx context.Context, m value.Member, f value.ForwardRequest) (value.ForwardAnswer, error) {
	c, err := cl.clientFor(m)
	if err != nil {
		return value.ForwardAnswer{}, err
	}
	r, err := c.Forward(ctx, wire.ForwardRequestWire(f))
	return wire.ForwardAnswerValue(r), err
}

// CloseExcept closes the connections and streams to all routers other than the members.
func (cl *Client) CloseExcept(members []value.Member) {
	byName := make(map[string]value.Member, len(members))
	retained := make(map[string]bool, len(members))
	for _, m := range members {
		byName[m.Name()] = m
		retained[m.Address()] = true
	}
	for name, s := range cl.streams.all() {
		if m, ok := byName[name]; !ok || !s.matches(m) {
			s.close(ErrClosed)
		}
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for a, c := range cl.conns {
		if !retained[a] {
			delete(cl.conns, a)
			_ = c.Close()
		}
	}
}

// Close ends all streams and connections and waits for their goroutines.
func (cl *Client) Close() {
	for _, s := range cl.streams.all() {
		s.close(ErrClosed)
	}
	cl.cancel()
	cl.mu.Lock()
	for a, c := range cl.conns {
		delete(cl.conns, a)
		_ = c.Close()
	}
	cl.mu.Unlock()
	cl.running.Wait()
}
