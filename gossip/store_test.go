package gossip_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/golden"
	"chicoryhoist.example/hoist/gossip"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

func init() { golden.FixSeed() }

func TestGossip(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gossip")
}

// drawItem draws an item from a small set of origins, incarnations, versions and keys.
func drawItem(t *rapid.T) value.Item {
	i := value.Item{}.WithOrigin(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "origin")).
		WithIncarnation(rapid.Uint64Range(1, 3).Draw(t, "incarnation")).
		WithVersion(rapid.Uint64Range(1, 5).Draw(t, "version"))
	name := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name")
	bodies := []value.ItemBody{
		value.Member{}.WithName(i.Origin()), value.Departure{}.WithServer(name), value.Backlog{}.WithShard(name),
		value.Usage{}.WithKey(name), value.Quarantine{}.WithRemainingMs(600_000), value.Roster{}.WithDatacentre(name),
		value.Lease{}.WithKey(name).WithLengthMs(5000), nil,
	}
	return i.WithBody(rapid.SampledFrom(bodies).Draw(t, "body"))
}

// versions returns the versions in a store by origin, incarnation and key.
func versions(s gossip.Store) map[string]uint64 {
	m := map[string]uint64{}
	for k := gossip.KindMember; k <= gossip.KindBacklog; k++ {
		for i := range s.All(k) {
			m[fmt.Sprint(i.Origin(), i.Incarnation(), gossip.KeyOf(i.Body()))] = i.Version()
		}
	}
	return m
}

// allBulk classifies every item as bulk.
func allBulk(gossip.Record) gossip.Class { return gossip.Bulk }

var _ = Describe("Store", func() {
	// Guards against stores that differ because the same messages arrived in another order or more than once.
	It("merges idempotently and commutatively", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			items := rapid.SliceOfN(rapid.Custom(drawItem), 0, 30).Draw(t, "items")
			shuffled := rapid.Permutation(items).Draw(t, "shuffled")
			one, _ := gossip.New("self", 1, 0).Merge(value.ListOf(items...), 0)
			two, _ := gossip.New("self", 1, 0).Merge(value.ListOf(shuffled...), 0)
			again, fresh := one.Merge(value.ListOf(shuffled...), 0)
			if a, b := versions(one), versions(two); fmt.Sprint(a) != fmt.Sprint(b) {
				t.Fatalf("%v differs from %v", a, b)
			}
			if len(fresh) > 0 || again.Bytes() != one.Bytes() || one.Bytes() != two.Bytes() {
				t.Fatalf("a repetition changed the store: %v", fresh)
			}
		})
	})

	// Guards against items that never reach a peer, which occurs when a batch was truncated or lost.
	It("hands over everything in batches of any size", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			from, to := gossip.New("a", 1, 100), gossip.New("z", 1, 0)
			n := rapid.IntRange(0, 40).Draw(t, "items")
			for i := range n {
				from = from.Put(value.Departure{}.WithServer(fmt.Sprint("e", i)), "", 0)
			}
			budget := rapid.IntRange(50, 500).Draw(t, "budget")
			var after uint64
			for range n + 1 {
				b := from.Delta(after, after, budget, 0, allBulk)
				if b.Bytes > budget {
					t.Fatalf("%d bytes for a budget of %d", b.Bytes, budget)
				}
				if rapid.Bool().Draw(t, "arrives") || b.End == from.Sequence() {
					to, _ = to.Merge(value.ListOf(b.Items...), 0)
					after = b.End
				}
			}
			for after < from.Sequence() {
				b := from.Delta(after, after, budget, 0, allBulk)
				to, _ = to.Merge(value.ListOf(b.Items...), 0)
				after = b.End
			}
			if len(versions(to)) != n {
				t.Fatalf("%d of %d items have arrived", len(versions(to)), n)
			}
		})
	})

	// Guards against a burst of urgent items, such as the quarantine items after a server's crash, that fills thin links in
	// every exchange, and against urgent items that never fit into a limited batch.
	It("limits the urgent items of a batch and sends all of them", func() {
		urgent := func(gossip.Record) gossip.Class { return gossip.Urgent }
		from, to := gossip.New("a", 1, 0), gossip.New("z", 1, 0)
		const n = 500
		for i := range n {
			from = from.Put(value.Quarantine{}.WithFingerprint(uint64(i)), "", 0)
		}
		var known uint64
		for range n {
			b := from.Delta(0, known, 0, 0, urgent)
			Expect(b.Bytes).To(BeNumerically("<=", gossip.MaxUrgentBytes))
			to, _ = to.Merge(value.ListOf(b.Items...), 0)
			known = b.UrgentEnd
		}
		Expect(known).To(Equal(from.Sequence()))
		Expect(versions(to)).To(HaveLen(n))
	})

	// Guards against a token bucket that counts fewer bytes than are sent.
	It("never estimates an item below its encoded size", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			i := drawItem(t).WithIncarnation(rapid.Uint64().Draw(t, "in")).WithVersion(rapid.Uint64Max(1<<40).Draw(t, "v"))
			if n := proto.Size(wire.ItemWire(i)); n > gossip.Size(i) {
				t.Fatalf("%v takes %d bytes, estimated %d", i, n, gossip.Size(i))
			}
		})
	})

	It("removes items that have expired or whose origin has failed", func() {
		s, _ := gossip.New("self", 1, 0).Merge(value.ListOf(
			value.Item{}.WithOrigin("a").WithIncarnation(1).WithVersion(1).WithBody(value.Member{}.WithName("a")),
			value.Item{}.WithOrigin("a").WithIncarnation(1).WithVersion(2).WithBody(value.Backlog{}.WithShard("x")),
			value.Item{}.WithOrigin("a").WithIncarnation(1).WithVersion(3).WithBody(value.Departure{}.WithServer("e")),
		), 0)
		Expect(versions(s.RemoveFailed("a"))).To(HaveLen(2))
		Expect(versions(s.Expire(31 * hoist.Second))).To(HaveLen(2))
		Expect(versions(s.Expire(11 * hoist.Minute))).To(BeEmpty())
		Expect(s.Expire(11 * hoist.Minute).Bytes()).To(BeZero())
	})

	// Guards against a single faulty origin that fills the memory of every router.
	It("limits its memory", func() {
		s := gossip.New("self", 1, 0)
		for o := range 20 {
			items := make([]value.Item, 5000)
			for i := range items {
				items[i] = value.Item{}.WithOrigin(fmt.Sprint("o", o)).WithIncarnation(1).WithVersion(uint64(i + 1)).
					WithBody(value.Usage{}.WithKey(fmt.Sprint("workspace ", i)))
			}
			s, _ = s.Merge(value.ListOf(items...), 0)
		}
		Expect(s.Bytes()).To(BeNumerically("<=", gossip.MaxBytes))
	})
})

// FuzzMerge guards against messages of a peer that crash a router or make its store inconsistent.
func FuzzMerge(f *testing.F) {
	seed := value.Gossip{}.WithSender("a").WithItems(value.ListOf(
		value.Item{}.WithOrigin("a").WithIncarnation(2).WithVersion(3).WithBody(value.Member{}.WithName("a")),
		value.Item{}.WithOrigin("b").WithIncarnation(1).WithVersion(1).WithBody(value.Backlog{}.WithShard("x").WithWaiting(value.ListOf[int32](1, 2))),
		value.Item{}.WithOrigin("b").WithIncarnation(1).WithVersion(1),
	)).WithPulse(value.Pulse{}.WithIncarnation(2).WithSequence(9).WithSpan(10))
	b, err := proto.Marshal(wire.GossipWire(seed))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		m := &wire.Gossip{}
		if proto.Unmarshal(b, m) != nil {
			return
		}
		g := wire.GossipValue(m)
		s, _ := gossip.New("self", 1, 0).Merge(g.Items(), 0)
		again, fresh := s.Merge(g.Items(), 0)
		if len(fresh) > 0 || again.Bytes() != s.Bytes() || s.Bytes() > gossip.MaxBytes {
			t.Fatalf("a repetition changed the store: %v", fresh)
		}
		size := 0
		for _, i := range s.Delta(0, 0, gossip.MaxBytes, 0, allBulk).Items {
			size += gossip.Size(i)
		}
		if size != s.Bytes() {
			t.Fatalf("the store counts %d bytes and sends %d", s.Bytes(), size)
		}
	})
}
