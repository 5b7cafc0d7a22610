package member_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/value"
)

func TestMember(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "member")
}

// servers returns n servers of one pool and region in each of the data centres.
func servers(sizes ...int) []value.Instance {
	var is []value.Instance
	for c, n := range sizes {
		for i := range n {
			is = append(is, value.Instance{}.WithName(fmt.Sprintf("e%d-%d", c, i)).WithKind("engine").
				WithPool("chat").WithRegion("north").WithDatacentre(fmt.Sprintf("dc%d", c)))
		}
	}
	return is
}

// shardKeys maps each server to the key of its shard.
func shardKeys(is []value.Instance) map[string]string {
	m := map[string]string{}
	for _, s := range member.Layout(value.ListOf(is...)) {
		for i := range s.Servers.All() {
			m[i.Name()] = s.Key
		}
	}
	return m
}

// routers returns n routers of the region north.
func routers(n int) []value.Member {
	ms := make([]value.Member, n)
	for i := range ms {
		ms[i] = value.Member{}.WithName(fmt.Sprintf("r%d", i)).WithIncarnation(1).WithRegion("north")
	}
	return ms
}

var _ = Describe("Layout", func() {
	// Guards against shards whose queue is too short to even out bursts or too long for its owner.
	It("keeps every shard between the bounds and every server in one shard", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			sizes := rapid.SliceOfN(rapid.IntRange(0, 150), 1, 5).Draw(t, "sizes")
			is := servers(sizes...)
			seen := 0
			for _, s := range member.Layout(value.ListOf(is...)) {
				n := s.Servers.Len()
				seen += n
				if n > member.MaxShardServers || (n < member.MinShardServers && len(is) >= member.MinShardServers) {
					t.Fatalf("shard %s has %d servers", s.Key, n)
				}
			}
			if seen != len(is) || len(shardKeys(is)) != len(is) {
				t.Fatalf("%d of %d servers have a shard", seen, len(is))
			}
		})
	})

	// Guards against rebuilding the state of many shards each time a single server is added or removed.
	It("moves few servers when one goes", func() {
		is := servers(125, 125, 125)
		before := shardKeys(is)
		moved := 0
		for i := range is {
			rest := append(append([]value.Instance{}, is[:i]...), is[i+1:]...)
			for name, key := range shardKeys(rest) {
				if before[name] != key {
					moved++
				}
			}
		}
		Expect(float64(moved) / float64(len(is))).To(BeNumerically("<", 2))
	})

	It("does not divide a pool that fits one queue, whatever its data centres", func() {
		Expect(member.Layout(value.ListOf(servers(3, 3, 3, 3)...))).To(HaveLen(1))
		Expect(member.Layout(value.ListOf(servers(16, 16)...))).To(HaveLen(1))
	})

	It("divides at data-centre boundaries if each shard has enough servers", func() {
		var keys []string
		for _, s := range member.Layout(value.ListOf(servers(20, 15, 5)...)) {
			keys = append(keys, fmt.Sprint(s.Key, " ", s.Servers.Len()))
		}
		Expect(keys).To(Equal([]string{"chat/north/dc0.0 25", "chat/north/dc1.0 15"}))
	})
})

var _ = Describe("View", func() {
	// Guards against shards that change their owner although the owner is still live.
	It("moves only the shards of a router that goes", func() {
		is := value.ListOf(servers(125, 125, 125)...)
		all := routers(20)
		before := member.NewView(all[0], all, is)
		after := member.NewView(all[0], all[:19], is)
		for _, s := range before.Shards() {
			a, _ := before.Owner(s.Key)
			b, _ := after.Owner(s.Key)
			if a.Name() != "r19" {
				Expect(b.Name()).To(Equal(a.Name()))
			}
		}
	})

	It("gives no shard to a leaving router or to one of another region", func() {
		is := value.ListOf(servers(12)...)
		leaving := routers(1)[0].WithLeaving(true)
		far := value.Member{}.WithName("far").WithRegion("south")
		v := member.NewView(far, []value.Member{leaving}, is)
		_, ok := v.Owner("chat/north/0")
		Expect(ok).To(BeFalse())
		Expect(v.Members()).To(HaveLen(2))
	})

	It("lists the shards of the local region first", func() {
		south := servers(12)
		for i := range south {
			south[i] = south[i].WithName("s" + south[i].Name()).WithRegion("south")
		}
		v := member.NewView(value.Member{}.WithName("r").WithRegion("south"), nil, value.ListOf(append(servers(12), south...)...))
		Expect(v.PoolShards("chat")[0].Region).To(Equal("south"))
		Expect(v.PoolShards("chat")).To(HaveLen(2))
	})
})
