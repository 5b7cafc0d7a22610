// Package peer carries messages between routers over gRPC.
package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

const (
	// incarnationKey is the metadata key under which a gateway announces its incarnation, in decimal.
	incarnationKey = "hoist-incarnation"
	// pingInterval is the silence on a connection after which the server checks it.
	pingInterval = 2 * hoist.Second
	// pingTimeout is the time without a response to the check after which the connection is closed.
	pingTimeout = 1 * hoist.Second
	// maxMessageBytes is the size of the largest message; a configuration bundle takes at most a few megabytes.
	maxMessageBytes = 16 << 20
	// windowBytes is the flow-control window; a fixed one avoids a ping for each message.
	windowBytes = 1 << 20
	// maxStreams is the number of calls that one peer may have open.
	maxStreams = 1024
)

// Handler handles the calls of other routers; Dispatch must not block.
type Handler interface {
	// Dispatch handles one message of the gateway process with the incarnation.
	Dispatch(gateway uint64, body value.GatewayMessageBody)
	// Exchange merges the items of a peer and returns those that the peer lacks.
	Exchange(ctx context.Context, g value.Gossip) (value.Gossip, error)
	// Fetch returns the configuration in force if it is newer than that of the requester.
	Fetch(ctx context.Context, r value.FetchRequest) (value.Bundle, error)
	// Forward executes a call whose token was issued by this router.
	Forward(ctx context.Context, r value.ForwardRequest) (value.ForwardAnswer, error)
}

// outbox is the send queue of a gateway's stream.
type outbox = queue[value.DispatcherMessageBody]

// Server implements the Peer service; its methods are safe for concurrent use.
type Server struct {
	wire.UnimplementedPeerServer
	handler  Handler
	server   *grpc.Server
	gateways table[uint64, *outbox]
}

// NewServer returns a server that passes calls to the handler.
func NewServer(h Handler) *Server {
	s := &Server{handler: h}
	s.server = grpc.NewServer(
		grpc.KeepaliveParams(keepalive.ServerParameters{
			Time:    pingInterval.Duration(),
			Timeout: pingTimeout.Duration(),
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             (pingInterval / 2).Duration(),
			PermitWithoutStream: true,
		}),
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.MaxRecvMsgSize(maxMessageBytes),
	)
	wire.RegisterPeerServer(s.server, s)
	return s
}

// Serve accepts connections until Stop.
func (s *Server) Serve(l net.Listener) error { return s.server.Serve(l) }

// Stop ends the streams, waits for other calls until the context ends, and closes the listener.
func (s *Server) Stop(ctx context.Context) {
	for _, o := range s.gateways.all() {
		o.close(ErrClosed)
	}
	done := make(chan struct{})
	go func() {
		s.server.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		s.server.Stop()
		<-done
	}
}

// Send queues a message to the gateway process with the incarnation; it never blocks.
func (s *Server) Send(gateway uint64, body value.DispatcherMessageBody) error {
	o, ok := s.gateways.get(gateway)
	if !ok {
		return ErrNoStream
	}
	return o.push(body)
}

// Gateways returns the incarnations of the gateway processes that have a stream.
func (s *Server) Gateways() []uint64 {
	m := s.gateways.all()
	ids := make([]uint64, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	return ids
}

// Dispatch serves the stream of a gateway; a newer stream of the same incarnation replaces an older one.
func (s *Server) Dispatch(stream grpc.BidiStreamingServer[wire.GatewayMessage, wire.DispatcherMessage]) error {
	id, err := incarnationOf(stream.Context())
	if err != nil {
		return err
	}
	o := newQueue[value.DispatcherMessageBody]()
	if old, ok := s.gateways.swap(id, o); ok {
		old.close(ErrClosed)
	}
	defer s.gateways.remove(id, o)
	go s.receiveMessages(id, stream, o)
	o.drain(func(b value.DispatcherMessageBody) error {
		return stream.Send(wire.DispatcherMessageWire(value.DispatcherMessage{}.WithBody(b)))
	})
	return streamStatus(o.err)
}

// receiveMessages passes the messages of a stream to the handler until the stream ends.
func (s *Server) receiveMessages(id uint64, stream grpc.BidiStreamingServer[wire.GatewayMessage, wire.DispatcherMessage], o *outbox) {
	for {
		m, err := stream.Recv()
		if err != nil {
			o.close(err)
			return
		}
		if b := wire.GatewayMessageValue(m).Body(); b != nil {
			s.handler.Dispatch(id, b)
		}
	}
}

// streamStatus returns the status with which a stream ends; an end by the peer is not an error.
func streamStatus(err error) error {
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case errors.Is(err, ErrQueueFull):
		return status.Error(codes.ResourceExhausted, err.Error())
	default:
		return status.Error(codes.Unavailable, err.Error())
	}
}

// incarnationOf returns the incarnation announced by the gateway.
func incarnationOf(ctx context.Context) (uint64, error) {
	md, _ := metadata.FromIncomingContext(ctx)
	values := md.Get(incarnationKey)
	if len(values) != 1 {
		return 0, status.Error(codes.InvalidArgument, "missing "+incarnationKey)
	}
	id, err := strconv.ParseUint(values[0], 10, 64)
	if err != nil {
		return 0, status.Error(codes.InvalidArgument, "malformed "+incarnationKey)
	}
	return id, nil
}

// Exchange implements wire.PeerServer.
func (s *Server) Exchange(ctx context.Context, g *wire.Gossip) (*wire.Gossip, error) {
	r, err := s.handler.Exchange(ctx, wire.GossipValue(g))
	if err != nil {
		return nil, err
	}
	return wire.GossipWire(r), nil
}

// Fetch implements wire.PeerServer.
func (s *Server) Fetch(ctx context.Context, f *wire.FetchRequest) (*wire.Bundle, error) {
	r, err := s.handler.Fetch(ctx, wire.FetchRequestValue(f))
	if err != nil {
		return nil, err
	}
	return wire.BundleWire(r), nil
}

// Forward implements wire.PeerServer.
func (s *Server) Forward(ctx context.Context, f *wire.ForwardRequest) (*wire.ForwardAnswer, error) {
	r, err := s.handler.Forward(ctx, wire.ForwardRequestValue(f))
	if err != nil {
		return nil, err
	}
	return wire.ForwardAnswerWire(r), nil
}
