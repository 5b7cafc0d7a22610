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
	// redialBase is the delay before the second attempt to connect.
	redialBase = 100 * hoist.Millis(1)
	// redialMax is the longest delay between attempts; it stays below the time in which a restarted peer is missed.
	redialMax = 2 * hoist.Second
	// dialTimeout is the time for one attempt to connect.
	dialTimeout = 1 * hoist.Second
	// clientPing is the silence after which a client checks a connection; gRPC allows no shorter one.
	// Membership notices a dead peer earlier and closes its connection through CloseExcept.
	clientPing = 10 * hoist.Second
)

// Callbacks receive what arrives from owners; they are called from the goroutine of a stream and must not block.
type Callbacks struct {
	// OnMessage takes one message of an owner.
	OnMessage func(owner value.Member, body value.DispatcherMessageBody)
	// OnStreamEnd says that the stream to an owner has ended; messages that were queued may be lost.
	//
	// A message that is sent between the break and the call travels on a new stream, so an
	// owner can receive an Ask twice; the attempt identifies it.
	OnStreamEnd func(owner value.Member, err error)
}

// Client holds the connections to other routers and one Dispatch stream for each remote owner.
type Client struct {
	incarnation uint64
	callbacks   Callbacks
	options     []grpc.DialOption
	ctx         context.Context
	cancel      context.CancelFunc
	streams     table[string, *link]
	running     sync.WaitGroup
	mu          sync.Mutex
	conns       map[string]*grpc.ClientConn
}

// link is the stream to one owner.
type link struct {
	*queue[value.GatewayMessageBody]
	owner value.Member
}

// NewClient returns the connections of the gateway process with the incarnation; none is opened yet.
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
			grpc.WithStaticStreamWindowSize(window),
			grpc.WithStaticConnWindowSize(window),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{
				Time:    clientPing.Duration(),
				Timeout: pingTimeout.Duration(),
			}),
			grpc.WithConnectParams(grpc.ConnectParams{
				Backoff: backoff.Config{
					BaseDelay:  redialBase.Duration(),
					Multiplier: 2,
					Jitter:     0.2,
					MaxDelay:   redialMax.Duration(),
				},
				MinConnectTimeout: dialTimeout.Duration(),
			}),
			grpc.WithDisableServiceConfig(),
		}, options...),
	}
}

// Send queues a message to the owner and opens its stream if there is none; it never blocks.
func (l *Client) Send(ctx context.Context, m value.Member, body value.GatewayMessageBody) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if k, ok := l.streams.get(m.Name()); ok && k.serves(m) {
		return k.push(body)
	}
	return l.open(m).push(body)
}

// serves reports whether the link leads to the process that the member names.
func (k *link) serves(m value.Member) bool {
	return k.owner.Incarnation() == m.Incarnation() && k.owner.Address() == m.Address()
}

// open returns the link to the member, which it starts when there is none.
func (l *Client) open(m value.Member) *link {
	if old, ok := l.streams.get(m.Name()); ok && !old.serves(m) {
		old.close(ErrClosed)
	}
	k, created := l.streams.getOrAdd(m.Name(), func(k *link) bool { return k.serves(m) }, func() *link {
		return &link{newQueue[value.GatewayMessageBody](), m}
	})
	if created {
		l.running.Go(func() { l.run(k) })
	}
	return k
}

// run serves one stream until it ends, and then reports the break.
func (l *Client) run(k *link) {
	ctx, cancel := context.WithCancel(l.ctx)
	received := make(chan struct{})
	go func() {
		<-k.done
		cancel()
	}()
	stream, err := l.dispatch(ctx, k.owner)
	if err != nil {
		close(received)
		k.close(err)
	} else {
		go func() {
			defer close(received)
			l.receive(k, stream)
		}()
		k.drain(func(b value.GatewayMessageBody) error {
			return stream.Send(wire.GatewayMessageWire(value.GatewayMessage{}.WithBody(b)))
		})
	}
	<-received
	l.streams.remove(k.owner.Name(), k)
	if l.callbacks.OnStreamEnd != nil {
		l.callbacks.OnStreamEnd(k.owner, k.err)
	}
}

// dispatch opens a stream that announces the gateway's incarnation.
func (l *Client) dispatch(ctx context.Context, m value.Member) (grpc.BidiStreamingClient[wire.GatewayMessage, wire.DispatcherMessage], error) {
	c, err := l.client(m)
	if err != nil {
		return nil, err
	}
	return c.Dispatch(metadata.AppendToOutgoingContext(ctx, incarnationKey, strconv.FormatUint(l.incarnation, 10)))
}

// receive hands the messages of a stream to the callback until the stream ends.
func (l *Client) receive(k *link, stream grpc.BidiStreamingClient[wire.GatewayMessage, wire.DispatcherMessage]) {
	for {
		m, err := stream.Recv()
		if err != nil {
			k.close(err)
			return
		}
		if b := wire.DispatcherMessageValue(m).Body(); b != nil {
			l.callbacks.OnMessage(k.owner, b)
		}
	}
}

// client returns the client of the member's address, connecting in the background.
func (l *Client) client(m value.Member) (wire.PeerClient, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return nil, ErrClosed
	}
	c, ok := l.conns[m.Address()]
	if !ok {
		var err error
		if c, err = grpc.NewClient("passthrough:///"+m.Address(), l.options...); err != nil {
			return nil, eris.Wrapf(err, "connect to router %s at %s", m.Name(), m.Address())
		}
		l.conns[m.Address()] = c
	}
	return wire.NewPeerClient(c), nil
}

// Exchange sends items to a peer and returns the items that the peer answers with.
func (l *Client) Exchange(ctx context.Context, m value.Member, g value.Gossip) (value.Gossip, error) {
	c, err := l.client(m)
	if err != nil {
		return value.Gossip{}, err
	}
	r, err := c.Exchange(ctx, wire.GossipWire(g))
	return wire.GossipValue(r), err
}

// Fetch returns the configuration of a peer when it is newer than the one in the request.
func (l *Client) Fetch(ctx context.Context, m value.Member, f value.FetchRequest) (value.Bundle, error) {
	c, err := l.client(m)
	if err != nil {
		return value.Bundle{}, err
	}
	r, err := c.Fetch(ctx, wire.FetchRequestWire(f))
	return wire.BundleValue(r), err
}

// Forward runs a call at the router that issued its token.
func (l *Client) Forward(ctx context.Context, m value.Member, f value.ForwardRequest) (value.ForwardAnswer, error) {
	c, err := l.client(m)
	if err != nil {
		return value.ForwardAnswer{}, err
	}
	r, err := c.Forward(ctx, wire.ForwardRequestWire(f))
	return wire.ForwardAnswerValue(r), err
}

// CloseExcept closes the connections and streams to routers that are not among the members.
func (l *Client) CloseExcept(members []value.Member) {
	named := make(map[string]value.Member, len(members))
	addresses := make(map[string]bool, len(members))
	for _, m := range members {
		named[m.Name()] = m
		addresses[m.Address()] = true
	}
	for name, k := range l.streams.all() {
		if m, ok := named[name]; !ok || !k.serves(m) {
			k.close(ErrClosed)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for a, c := range l.conns {
		if !addresses[a] {
			delete(l.conns, a)
			_ = c.Close()
		}
	}
}

// Close ends all streams and connections and waits for their goroutines.
func (l *Client) Close() {
	for _, k := range l.streams.all() {
		k.close(ErrClosed)
	}
	l.cancel()
	l.mu.Lock()
	for a, c := range l.conns {
		delete(l.conns, a)
		_ = c.Close()
	}
	l.mu.Unlock()
	l.running.Wait()
}
