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
	// datacentres and regions are the numbers of them in the target fleet.
	datacentres = 9
	regions     = 3
	// heartbeatInterval is the default interval between the heartbeats of a router.
	heartbeatInterval hoist.Millis = 500
	// settlingTime is the time before the measurement in which every router learns of all others.
	settlingTime = 12 * hoist.Second
	// measuredTime is the length of the measurement; it must be a multiple of the interval of every kind of exchange.
	measuredTime = 6 * hoist.Second
	// shardsPerRouter is the number of shards that a router owns at the target size: 375 shards on 520 routers.
	shardsPerRouter = 0.72
)

// fleet holds the membership states of all routers, which exchange gossip without loss or delay.
type fleet struct {
	states       []member.State
	index        map[string]int
	sentBytes    int
	sentMessages int
	// decisionTime is the total time that the Decide calls of all routers took.
	decisionTime time.Duration
}

// newFleet starts n routers, spread over the data centres of the target fleet.
func newFleet(n int, now hoist.Millis) *fleet {
	f := &fleet{index: map[string]int{}}
	var instances []value.Instance
	for i := range n {
		datacentre := i % datacentres
		name := fmt.Sprintf("router-%03d", i)
		self := value.Member{}.WithName(name).WithIncarnation(uint64(now)<<12 | uint64(i)).
			WithAddress(fmt.Sprintf("10.%d.%d.%d:7000", datacentre, i/250, i%250)).
			WithRegion(fmt.Sprintf("region-%d", datacentre%regions)).WithDatacentre(fmt.Sprintf("centre-%d", datacentre))
		instances = append(instances, value.Instance{}.WithName(name).WithKind(member.KindRouter).WithPeer(self.Address()).
			WithRegion(self.Region()).WithDatacentre(self.Datacentre()))
		f.index[name] = i
		f.states = append(f.states, member.New(self, value.Timing{}, now))
	}
	list := value.InstanceList{}.WithVersion(1).WithInstances(value.ListOf(instances...))
	for i := range f.states {
		f.decide(i, member.InstancesListed{List: list}, now)
	}
	return f
}

// decide passes an event to a router, delivers the gossip that it sends to the peers, and returns its response.
func (f *fleet) decide(i int, e member.Event, now hoist.Millis) value.Gossip {
	start := time.Now()
	state, effects := f.states[i].Decide(e, now)
	f.decisionTime += time.Since(start)
	f.states[i] = state
	var response value.Gossip
	for _, x := range effects {
		switch x := x.(type) {
		case member.Exchange:
			j, ok := f.index[x.Peer.Name()]
			if !ok {
				continue
			}
			f.countMessage(x.Gossip)
			peerResponse := f.decide(j, member.GossipReceived{Gossip: x.Gossip, Request: true}, now)
			f.countMessage(peerResponse)
			f.decide(i, member.GossipReceived{Gossip: peerResponse}, now)
		case member.Reply:
			response = x.Gossip
		case member.Publish, member.Deliver, member.Log:
		}
	}
	return response
}

// countMessage counts one message and its encoded size.
func (f *fleet) countMessage(g value.Gossip) {
	f.sentBytes += proto.Size(wire.GossipWire(g)) + gossip.MessageOverheadBytes
	f.sentMessages++
}

// run simulates heartbeats and published load summaries until the end.
func (f *fleet) run(now, end hoist.Millis) hoist.Millis {
	for ; now < end; now += heartbeatInterval {
		for i := range f.states {
			// Routers start at different times, so their heartbeats are spread evenly over the interval.
			tickTime := now + hoist.Millis(i)*heartbeatInterval/hoist.Millis(len(f.states))
			f.decide(i, member.Ticked{Elapsed: heartbeatInterval}, tickTime)
			if now%hoist.Second == 0 && float64(i%25) < shardsPerRouter*25 {
				f.decide(i, member.ItemPublished{Body: backlog(i)}, tickTime)
			}
		}
	}
	return now
}

// backlog returns the load summary of shard i.
func backlog(i int) value.Backlog {
	return value.Backlog{}.WithShard(fmt.Sprintf("assistant/region-%d/%d", i%regions, i)).
		WithWaiting(value.ListOf[int32](3, 14, 15, 92, 65, 35)).WithBusy(180).WithSlots(192)
}

// measureMembership measures membership and gossip against the number of routers.
func measureMembership(w io.Writer) {
	for _, n := range []int{58, 200, 520} {
		start := hoist.Millis(1_000_000)
		var f *fleet
		setupCost := measure(func() any {
			f = newFleet(n, start)
			f.run(start, start+settlingTime)
			return f
		})
		f.sentBytes, f.sentMessages, f.decisionTime = 0, 0, 0
		f.run(start+settlingTime, start+settlingTime+measuredTime)
		routerSeconds := float64(n) * float64(measuredTime) / float64(hoist.Second)
		name := fmt.Sprintf("member.%d", n)
		report(w, name+".sent", float64(f.sentBytes)/routerSeconds, "bytes/s")
		report(w, name+".messages", float64(f.sentMessages)/routerSeconds, "messages/s")
		report(w, name+".processor", f.decisionTime.Seconds()/routerSeconds*1000, "permille")
		report(w, name+".memory", setupCost.heapBytes/float64(n)/(1<<20), "MiB")
		report(w, name+".known", float64(len(f.states[0].View().Members())), "routers")
	}
}
