// Package mesh connects the instances of the forwarding router by UDP datagrams: it discovers them, maintains a view of the
// live ones, publishes versioned items, and carries the messages of other components.
package mesh

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

const (
	// heartbeatInterval is the interval of heartbeats; suspectTime is the silence after which an instance has failed.
	heartbeatInterval = 300 * hoist.Millis(1)
	suspectTime       = 1200 * hoist.Millis(1)
	// pauseTime is the time without activity of this process after which its view is stale.
	pauseTime = 700 * hoist.Millis(1)
	// exchangeTimeout is the time after which an exchange without a response has failed.
	exchangeTimeout = 500 * hoist.Millis(1)
	// joinInterval is the time between two requests for all members during the first joinPhaseTime, and syncInterval the
	// time afterwards; a list of 520 members takes about 45 KB.
	joinInterval  = hoist.Second
	joinPhaseTime = 8 * hoist.Second
	syncInterval  = 10 * hoist.Second
	// aloneJoinInterval is the time between two requests of an instance that knows no other during the first joinPhaseTime.
	aloneJoinInterval = 200 * hoist.Millis(1)
	// convergenceTime is the time after the start in which an instance that knows no other still expects to discover one: two
	// requests for all members, and the heartbeats that follow.
	convergenceTime = 2500 * hoist.Millis(1)
	// joinRequestsPerSeed is the number of requests for all members of which one goes to a seed.
	joinRequestsPerSeed = 3
	// capacityPerCore and capacityPerMbps are the capacities of one core and of a link of one megabit per second, in
	// thousandths of a core; the scarcer resource limits the work that the instance can do for others.
	capacityPerCore = 1000
	capacityPerMbps = 10
	// maxDatagramBytes is the size of the receive buffer for a datagram.
	maxDatagramBytes = 64 << 10
	// inboxLength limits the inputs that wait for the membership goroutine.
	inboxLength = 256
)

// Body is the message of a component to another instance.
type Body = value.DatagramBody

// Options are the dependencies of a mesh.
type Options struct {
	Clock    hoist.Clock
	Log      *event.Log
	Settings value.ForwardSettings
	// OnMessage receives the messages of other components, in the goroutine that reads the socket; it must not block.
	OnMessage func(sender string, from netip.AddrPort, b Body)
	// OnItems receives the new items that other instances have published, and OnView each change of the view; both must not
	// block.
	OnItems func(items []value.Item)
	OnView  func(old, v *member.View)
	// Quarantined returns the quarantined content that a starting instance needs, and OnQuarantined receives it there. Gossip
	// alone is not enough: the items of an instance end with its process.
	Quarantined   func() []value.Quarantine
	OnQuarantined func([]value.Quarantine)
}

// input is an event for the membership goroutine, with the number and the sender of its exchange.
type input struct {
	event  member.Event
	number uint64
	from   netip.AddrPort
}

// Mesh connects one instance to the others.
type Mesh struct {
	Options
	socket *net.UDPConn
	view   atomic.Pointer[member.View]
	// readerPlan follows from the view.
	readerPlan atomic.Pointer[member.ReaderPlan]
	inbox      chan input
	// startedAt is the time at which the mesh was created.
	startedAt hoist.Millis
	// Sent and SentBytes count the datagrams sent and their bytes; Invalid counts the received datagrams that were
	// unreadable or dropped because the inbox was full.
	Sent, SentBytes, Invalid atomic.Int64

	// The fields below are used by the goroutine of Run only.
	state           member.State
	exchanges       map[uint64]pendingExchange
	lastNumber      uint64
	joinRequestedAt hoist.Millis
	joinRequests    int
}

// pendingExchange is a request without a response.
type pendingExchange struct {
	peer   string
	sentAt hoist.Millis
}

// New opens the socket of an instance.
func New(o Options) (*Mesh, error) {
	a, err := netip.ParseAddrPort(o.Settings.Peers().Address())
	if err != nil {
		return nil, eris.Wrap(err, "address of the instance")
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, eris.Wrap(err, "listen for other instances")
	}
	m := &Mesh{Options: o, socket: socket, inbox: make(chan input, inboxLength), startedAt: o.Clock.Now(), exchanges: map[uint64]pendingExchange{}}
	// The clock time must exceed that of an earlier process of this instance; raiseIncarnation handles the case in which it
	// does not.
	m.startMembership(uint64(time.Now().UnixMilli()))
	return m, nil
}

// startMembership creates the membership state under an incarnation.
func (m *Mesh) startMembership(incarnation uint64) {
	s := m.Settings
	self := value.Member{}.WithName(s.Name()).WithIncarnation(incarnation).WithAddress(s.Peers().Address()).
		WithRegion(s.Region()).WithDatacentre(s.Datacentre()).WithCapacity(capacity(s.Resources()))
	t := value.Timing{}.WithHeartbeatMs(int64(heartbeatInterval)).WithSuspectMs(int64(suspectTime)).WithPauseMs(int64(pauseTime))
	m.state = member.New(self, t, m.Clock.Now())
	m.setView(m.state.View())
}

// capacity returns the capacity of the instance, in thousandths of a core.
func capacity(r value.ForwardResources) int64 {
	return int64(min(r.CoreShare()*capacityPerCore, r.LinkMbps()*capacityPerMbps))
}

// View returns the current view of the live instances.
func (m *Mesh) View() *member.View { return m.view.Load() }

// Run runs the membership until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	go m.readDatagrams()
	defer func() { _ = m.socket.Close() }() // Nothing is pending on a datagram socket.
	tick := time.NewTicker(heartbeatInterval.Duration())
	defer tick.Stop()
	last := m.Clock.Now()
	m.requestMembers(last)
	for {
		var in input
		select {
		case <-ctx.Done():
			return
		case in = <-m.inbox:
		case <-tick.C:
			now := m.Clock.Now()
			in.event = member.Ticked{Elapsed: now - last}
			last = now
			m.expireExchanges(now)
			m.requestMembers(now)
		}
		m.Log.Contain("membership", func() { m.decide(in) })
	}
}

// Submit queues an event for the membership goroutine; a full inbox drops it with a log event.
func (m *Mesh) Submit(e member.Event) {
	select {
	case m.inbox <- input{event: e}:
	default:
		m.Log.Write(event.MeshFull, nil)
	}
}

// readDatagrams receives datagrams until the socket is closed.
func (m *Mesh) readDatagrams() {
	b := make([]byte, maxDatagramBytes)
	for {
		n, from, err := m.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			if eris.Is(err, net.ErrClosed) {
				return
			}
			m.Log.Write(event.MeshReadFailed, logrus.Fields{"error": err.Error()})
			continue
		}
		if !m.Log.Contain("datagram", func() { m.receive(b[:n], from) }) {
			m.Invalid.Add(1)
		}
	}
}

// receive decodes and dispatches one datagram.
func (m *Mesh) receive(b []byte, from netip.AddrPort) {
	d := &wire.Datagram{}
	if err := proto.Unmarshal(b, d); err != nil {
		m.Invalid.Add(1)
		return
	}
	m.dispatch(wire.DatagramValue(d), from)
}

// dispatch passes a datagram to the membership or to OnMessage.
func (m *Mesh) dispatch(d value.Datagram, from netip.AddrPort) {
	switch b := d.Body().(type) {
	case value.MeetRequest:
		m.enqueue(input{member.GossipReceived{Gossip: b.Gossip(), Request: true}, d.Number(), from})
	case value.MeetAnswer:
		if b.Quarantined().Len() > 0 {
			m.OnQuarantined(slices.Collect(b.Quarantined().All()))
		}
		m.enqueue(input{member.GossipReceived{Gossip: b.Gossip()}, d.Number(), from})
	case nil:
		m.Invalid.Add(1)
	default:
		m.OnMessage(d.Sender(), from, b)
	}
}

// enqueue queues an input for the membership goroutine; a full inbox drops it, as the network may drop a datagram.
func (m *Mesh) enqueue(in input) {
	select {
	case m.inbox <- in:
	default:
		m.Invalid.Add(1)
	}
}

// Send sends a message to an instance.
func (m *Mesh) Send(to netip.AddrPort, b Body) { m.send(to, 0, b) }

// SendTo sends a message to the live instance with the name.
func (m *Mesh) SendTo(name string, b Body) {
	if x, ok := m.View().Member(name); ok {
		if a, err := netip.ParseAddrPort(x.Address()); err == nil {
			m.send(a, 0, b)
		}
	}
}

// send sends one datagram; a send error is logged and the datagram is lost.
func (m *Mesh) send(to netip.AddrPort, number uint64, b Body) {
	d := value.Datagram{}.WithSender(m.Settings.Name()).WithNumber(number).WithBody(b)
	content, err := proto.Marshal(wire.DatagramWire(d))
	if err == nil {
		_, err = m.socket.WriteToUDPAddrPort(content, to)
	}
	if err != nil {
		m.Log.Write(event.MeshSendFailed, logrus.Fields{"to": to.String(), "error": err.Error()})
		return
	}
	m.Sent.Add(1)
	m.SentBytes.Add(int64(len(content)))
}
