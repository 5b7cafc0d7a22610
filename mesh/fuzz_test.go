package mesh_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"chicoryhoist.example/hoist/assign"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

// FuzzDatagram guards against a datagram whose content makes a decision of its receiver panic.
func FuzzDatagram(f *testing.F) {
	work := value.Work{}.WithId(7).WithOrigin("n2").WithParts(value.ListOf(value.PromptPart{}.WithId(1).WithTokens(-5))).WithEndMs(-1)
	self := value.Member{}.WithName("n1").WithRegion("r").WithDatacentre("x").WithIncarnation(1).WithAddress("127.0.0.1:1")
	for _, b := range []value.DatagramBody{
		value.MeetRequest{}.WithGossip(value.Gossip{}.WithSender("n2").WithItems(value.ListOf(value.Item{}.WithOrigin("n2").WithIncarnation(3)))),
		value.MeetAnswer{}.WithGossip(value.Gossip{}.WithSender("n2").WithPulse(value.Pulse{}.WithIncarnation(3).WithBeat(1))),
		value.PlaceAsk{}.WithShard("s/0").WithWork(work),
		value.PlaceNote{}.WithShard("s/0").WithId(7).WithChange(value.PlaceChangeBegan).WithLoad(value.ServerLoad{}.WithSlowness(-100)),
		value.PlaceHolding{}.WithShard("s/0").WithRuns(value.ListOf(value.PlaceRun{}.WithWork(work).WithServer("a"))).WithGranted(value.ListOf(uint64(7))),
	} {
		content, err := proto.Marshal(wire.DatagramWire(value.Datagram{}.WithSender("n2").WithBody(b)))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
		f.Add(content[:len(content)/2])
	}
	servers := value.ListOf(value.BackendServer{}.WithId("a").WithSlots(2), value.BackendServer{}.WithId("b"))
	timing := value.Timing{}.WithHeartbeatMs(300).WithSuspectMs(1200).WithPauseMs(700)
	f.Fuzz(func(t *testing.T, content []byte) {
		d := &wire.Datagram{}
		if proto.Unmarshal(content, d) != nil {
			return
		}
		now := member.New(self, timing, 1000)
		shard, _ := assign.New().Decide(assign.ServersUpdated{Servers: servers}, 1000)
		switch b := wire.DatagramValue(d).Body().(type) {
		case value.MeetRequest:
			now, _ = now.Decide(member.GossipReceived{Gossip: b.Gossip(), Request: true}, 1001)
			now.Decide(member.Ticked{Elapsed: 300}, 1301)
		case value.MeetAnswer:
			now, _ = now.Decide(member.GossipReceived{Gossip: b.Gossip()}, 1001)
			now.Decide(member.Ticked{Elapsed: 300}, 1301)
		case value.PlaceAsk:
			shard, _ = shard.Decide(assign.Submitted{Work: assign.WithAbsoluteTimes(b.Work(), 1001)}, 1001)
			shard.Decide(assign.Finished{ID: b.Work().Id(), Result: assign.Result(-1)}, 1002)
		case value.PlaceNote:
			shard.Decide(assign.Responded{ID: b.Id(), Load: b.Load(), Loaded: b.Loaded()}, 1001)
			shard.Decide(assign.Finished{ID: b.Id(), Result: assign.Result(b.Result())}, 1001)
		case value.PlaceHolding:
			shard, _ = shard.Decide(assign.RunsReported{Origin: "n2", Granted: b.Granted(), Runs: b.Runs()}, 1001)
			shard.Decide(assign.InstanceLost{Origin: "n2"}, 1002)
		default:
		}
	})
}
