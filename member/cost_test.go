package member_test

import (
	"fmt"
	"runtime"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/gossip"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

// maxBytesPerSecond is the number of control bytes a second that a node may send.
const maxBytesPerSecond = 12_000

// encodedBytes returns the size of a message on its connection.
func encodedBytes(g value.Gossip) int {
	return proto.Size(wire.GossipWire(g)) + gossip.MessageOverheadBytes
}

// cost is the consumption of the nodes of a fleet in a steady state.
type cost struct{ meanBytes, maxBytes, messages, heapBytes int }

// measureCost runs a fleet in which three quarters of the nodes publish a backlog every 10 s and the platform a configuration
// every 15 s, as at the target size.
func measureCost(f *fleet, seconds int) cost {
	f.measure = encodedBytes
	for _, n := range f.nodes {
		n.sentBytes, n.sentMessages = 0, 0
	}
	for s := range seconds {
		for i, name := range f.names {
			if i%4 != 0 && i%10 == s%10 {
				f.decide(f.nodes[name], f.nodes[name].self.Incarnation(), member.ItemPublished{Body: backlog(i)})
			}
		}
		if s%15 == 0 {
			for _, n := range f.nodes {
				f.platform[n.self.Datacentre()] = config.Version{Generation: uint64(s + 1), Digest: uint64(s+1) << 50}
			}
		}
		f.run(hoist.Second)
	}
	var c cost
	for _, n := range f.nodes {
		c.maxBytes, c.meanBytes, c.messages = max(c.maxBytes, n.sentBytes), c.meanBytes+n.sentBytes, c.messages+n.sentMessages
	}
	c.maxBytes /= seconds
	c.meanBytes /= seconds * len(f.names)
	c.messages /= seconds * len(f.names)
	c.heapBytes = heapBytes() / len(f.names)
	runtime.KeepAlive(f)
	return c
}

var _ = Describe("Cost", func() {
	// Guards against heartbeats and items that exceed the bytes or the memory that a node may use.
	It("stays within the bytes and the memory of a node in a data centre of 58 routers", func() {
		f := newFleet(1, 58)
		f.run(20 * hoist.Second)
		Expect(f.differences()).To(BeEmpty())
		c := measureCost(f, 30)
		Expect(c.maxBytes).To(BeNumerically("<=", maxBytesPerSecond))
		Expect(c.heapBytes).To(BeNumerically("<", 32<<20))
	})
})

// BenchmarkCost reports the bytes a second that a node sends, the heap and the processor time of the decisions.
func BenchmarkCost(b *testing.B) {
	for _, sizes := range [][]int{{58}, {50, 50, 50, 50}, {58, 58, 58, 58, 58, 58, 58, 57, 57}} {
		total := 0
		for _, n := range sizes {
			total += n
		}
		b.Run(fmt.Sprint(total), func(b *testing.B) {
			f := newFleet(1, sizes...)
			f.run(20 * hoist.Second)
			if ds := f.differences(); len(ds) > 0 {
				b.Logf("%d differences after 20 s", len(ds))
			}
			const seconds = 20
			for b.Loop() {
				c := measureCost(f, seconds)
				b.ReportMetric(float64(c.meanBytes), "meanB/s")
				b.ReportMetric(float64(c.maxBytes), "mostB/s")
				b.ReportMetric(float64(c.messages), "messages/s")
				b.ReportMetric(float64(c.heapBytes), "heapB/node")
				if c.maxBytes > maxBytesPerSecond {
					b.Errorf("a node sends %d B/s, more than %d", c.maxBytes, maxBytesPerSecond)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/seconds/float64(total), "us/node/s")
		})
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// backlog returns the summary of the queue of a shard.
func backlog(shard int) value.Backlog {
	return value.Backlog{}.WithShard(fmt.Sprintf("model-a/north-1/dc1.%d", shard)).
		WithWaiting(value.ListOf[int32](0, 3, 12, 40, 2, 180)).WithBusy(412).WithSlots(512)
}
