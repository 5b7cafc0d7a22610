package scale

import (
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/gossip"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

const (
	// centres and regions are those of the target fleet.
	centres = 9
	regions = 3
	// heartbeat is the default interval of heartbeats.
	heartbeat hoist.Millis = 500
	// settling is the time in which all routers get to know one another before the measurement.
	settling = 12 * hoist.Second
	// window is the measured time; it must span whole intervals of every kind of exchange.
	window = 6 * hoist.Second
	// shardsPerNode is the number of shards that a router owns at the target size: 375 over 520 nodes.
	shardsPerNode = 0.72
)

// peers is a fleet of membership states that exchange their batches without loss or delay.
type peers struct {
	states []member.State
	index  map[string]int
	bytes  int
	sent   int
	// busy is the time that the decisions of all routers took.
	busy time.Duration
}

// newPeers starts n routers in the data centres of the target fleet.
func newPeers(n int, now hoist.Millis) *peers {
	p := &peers{index: map[string]int{}}
	var listed []value.Instance
	for i := range n {
		centre := i % centres
		name := fmt.Sprintf("router-%03d", i)
		m := value.Member{}.WithName(name).WithIncarnation(uint64(now)<<12 | uint64(i)).
			WithAddress(fmt.Sprintf("10.%d.%d.%d:7000", centre, i/250, i%250)).
			WithRegion(fmt.Sprintf("region-%d", centre%regions)).WithDatacentre(fmt.Sprintf("centre-%d", centre))
		listed = append(listed, value.Instance{}.WithName(name).WithKind(member.KindRouter).WithPeer(m.Address()).
			WithRegion(m.Region()).WithDatacentre(m.Datacentre()))
		p.index[name] = i
		p.states = append(p.states, member.New(m, value.Timing{}, now))
	}
	list := value.InstanceList{}.WithVersion(1).WithInstances(value.ListOf(listed...))
	for i := range p.states {
		p.decide(i, member.InstancesListed{List: list}, now)
	}
	return p
}

// decide passes an event to a router and carries its batches to the peers.
func (p *peers) decide(i int, e member.Event, now hoist.Millis) value.Gossip {
	begun := time.Now()
	state, effects := p.states[i].Decide(e, now)
	p.busy += time.Since(begun)
	p.states[i] = state
	var reply value.Gossip
	for _, x := range effects {
		switch x := x.(type) {
		case member.Exchange:
			j, ok := p.index[x.Peer.Name()]
			if !ok {
				continue
			}
			p.count(x.Gossip)
			answer := p.decide(j, member.GossipReceived{Gossip: x.Gossip, Request: true}, now)
			p.count(answer)
			p.decide(i, member.GossipReceived{Gossip: answer}, now)
		case member.Reply:
			reply = x.Gossip
		case member.Publish, member.Deliver, member.Log:
		}
	}
	return reply
}

// count adds the bytes of one message on the wire.
func (p *peers) count(g value.Gossip) {
	p.bytes += proto.Size(wire.GossipWire(g)) + gossip.MessageOverheadBytes
	p.sent++
}

// run plays heartbeats and load summaries until the end.
func (p *peers) run(now, end hoist.Millis) hoist.Millis {
	for ; now < end; now += heartbeat {
		for i := range p.states {
			// Routers are out of step, so their heartbeats spread over the interval.
			at := now + hoist.Millis(i)*heartbeat/hoist.Millis(len(p.states))
			p.decide(i, member.Ticked{Elapsed: heartbeat}, at)
			if now%hoist.Second == 0 && float64(i%25) < shardsPerNode*25 {
				p.decide(i, member.ItemPublished{Body: backlog(i)}, at)
			}
		}
	}
	return now
}

// backlog returns the load summary of one shard.
func backlog(i int) value.Backlog {
	return value.Backlog{}.WithShard(fmt.Sprintf("assistant/region-%d/%d", i%regions, i)).
		WithWaiting(value.ListOf[int32](3, 14, 15, 92, 65, 35)).WithBusy(180).WithSlots(192)
}

// members measures membership and gossip against the number of routers.
func members(w io.Writer) {
	for _, n := range []int{58, 200, 520} {
		start := hoist.Millis(1_000_000)
		var p *peers
		c := measure(func() any {
			p = newPeers(n, start)
			p.run(start, start+settling)
			return p
		})
		p.bytes, p.sent, p.busy = 0, 0, 0
		p.run(start+settling, start+settling+window)
		each := float64(n) * float64(window) / float64(hoist.Second)
		name := fmt.Sprintf("member.%d", n)
		report(w, name+".sent", float64(p.bytes)/each, "bytes/s")
		report(w, name+".messages", float64(p.sent)/each, "messages/s")
		report(w, name+".processor", p.busy.Seconds()/each*1000, "permille")
		report(w, name+".memory", c.bytes/float64(n)/(1<<20), "MiB")
		report(w, name+".known", float64(len(p.states[0].View().Members())), "routers")
	}
}
