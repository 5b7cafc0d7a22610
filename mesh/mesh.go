// Package mesh connects the instances of the forwarding router by datagrams: it finds them, keeps a view of the live
// ones, spreads versioned items, and carries the messages of other parts.
package mesh

import (
	"context"
	"net"
	"net/netip"
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
	// heartbeat is the interval of heartbeats; suspect is the silence after which an instance counts as failed.
	heartbeat = 300 * hoist.Millis(1)
	suspect   = 1200 * hoist.Millis(1)
	// pause is the gap in the own running after which the view counts as stale.
	pause = 700 * hoist.Millis(1)
	// answerTime is the time after which an exchange without an answer has failed.
	answerTime = 500 * hoist.Millis(1)
	// joinInterval is the time between two requests for all members in the first joinTime, and syncInterval the time afterwards;
	// a list of 520 members takes about 45 KB.
	joinInterval = hoist.Second
	joinTime     = 8 * hoist.Second
	syncInterval = 10 * hoist.Second
	// settleTime is the time after the start in which an instance that knows no other still expects to meet them: two
	// requests for all members, and the heartbeats that follow.
	settleTime = 2500 * hoist.Millis(1)
	// seedTurns is the number of these requests of which one goes to a seed.
	seedTurns = 3
	// coreThousandths and linkThousandths are the capacities of one core and of a link of one megabit per second; the
	// scarcer of the two bounds what the instance can do for others.
	coreThousandths = 1000
	linkThousandths = 10
	// datagramBytes bounds one datagram.
	datagramBytes = 64 << 10
	// inboxSize bounds the datagrams that wait for the goroutine of the membership.
	inboxSize = 256
)

// Body is what a part sends to another instance.
type Body = value.DatagramBody

// Options are the parts that a mesh works with.
type Options struct {
	Clock    hoist.Clock
	Log      *event.Log
	Settings value.ForwardSettings
	// OnMessage gets the messages of other parts, from the goroutine that reads the socket; it must not block.
	OnMessage func(sender string, from netip.AddrPort, b Body)
	// OnItems gets the new items that other instances have spread, and OnView the change of the view; both must not block.
	OnItems func(items []value.Item)
	OnView  func(old, v *member.View)
}

// input is an event for the goroutine of the membership, with the exchange and address that it came from.
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
	inbox  chan input
	// begun is the time at which the instance was made.
	begun hoist.Millis
	// Sent and SentBytes count datagrams; Invalid counts those that could not be read.
	Sent, SentBytes, Invalid atomic.Int64

	// The fields below belong to the goroutine of Run.
	state     member.State
	exchanges map[uint64]exchange
	number    uint64
	joined    hoist.Millis
	turn      int
}

// exchange is a request that waits for its answer.
type exchange struct {
	peer string
	sent hoist.Millis
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
	m := &Mesh{Options: o, socket: socket, inbox: make(chan input, inboxSize), begun: o.Clock.Now(), exchanges: map[uint64]exchange{}}
	// The time of day only has to exceed that of an earlier process of this instance; renew repairs the case in which it doesn't.
	m.begin(uint64(time.Now().UnixMilli()))
	return m, nil
}

// begin starts the membership under an incarnation.
func (m *Mesh) begin(incarnation uint64) {
	s := m.Settings
	self := value.Member{}.WithName(s.Name()).WithIncarnation(incarnation).WithAddress(s.Peers().Address()).
		WithRegion(s.Region()).WithDatacentre(s.Datacentre()).WithCapacity(capacity(s.Resources()))
	t := value.Timing{}.WithHeartbeatMs(int64(heartbeat)).WithSuspectMs(int64(suspect)).WithPauseMs(int64(pause))
	m.state = member.New(self, t, m.Clock.Now())
	m.view.Store(m.state.View())
}

// capacity returns what the instance can carry, in thousandths of a core.
func capacity(r value.ForwardResources) int64 {
	return int64(min(r.CoreShare()*coreThousandths, r.LinkMbps()*linkThousandths))
}

// View returns the latest view of the live instances.
func (m *Mesh) View() *member.View { return m.view.Load() }

// Run exchanges heartbeats until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	go m.read()
	defer func() { _ = m.socket.Close() }() // Nothing is pending on a datagram socket.
	tick := time.NewTicker(heartbeat.Duration())
	defer tick.Stop()
	last := m.Clock.Now()
	m.join(last)
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
			m.expire(now)
			m.join(now)
		}
		m.decide(in)
	}
}

// Submit passes an event to the membership.
func (m *Mesh) Submit(e member.Event) {
	select {
	case m.inbox <- input{event: e}:
	default:
		m.Log.Write(event.MeshFull, nil)
	}
}

// read receives datagrams until the socket is closed.
func (m *Mesh) read() {
	b := make([]byte, datagramBytes)
	for {
		n, from, err := m.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			if eris.Is(err, net.ErrClosed) {
				return
			}
			m.Log.Write(event.MeshReadFailed, logrus.Fields{"error": err.Error()})
			continue
		}
		d := &wire.Datagram{}
		if err := proto.Unmarshal(b[:n], d); err != nil {
			m.Invalid.Add(1)
			continue
		}
		m.dispatch(wire.DatagramValue(d), from)
	}
}

// dispatch hands a datagram to its part.
func (m *Mesh) dispatch(d value.Datagram, from netip.AddrPort) {
	switch b := d.Body().(type) {
	case value.MeetRequest:
		m.enqueue(input{member.GossipReceived{Gossip: b.Gossip(), Request: true}, d.Number(), from})
	case value.MeetAnswer:
		m.enqueue(input{member.GossipReceived{Gossip: b.Gossip()}, d.Number(), from})
	case nil:
		m.Invalid.Add(1)
	default:
		m.OnMessage(d.Sender(), from, b)
	}
}

// enqueue passes an input to the membership; a full inbox drops it like a lost datagram.
func (m *Mesh) enqueue(in input) {
	select {
	case m.inbox <- in:
	default:
		m.Invalid.Add(1)
	}
}

// Send sends a message to an instance.
func (m *Mesh) Send(to netip.AddrPort, b Body) { m.send(to, 0, b) }

// SendTo sends a message to a live instance by its name.
func (m *Mesh) SendTo(name string, b Body) {
	if x, ok := m.View().Member(name); ok {
		if a, err := netip.ParseAddrPort(x.Address()); err == nil {
			m.send(a, 0, b)
		}
	}
}

// send sends one datagram; a failed one counts as lost.
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
