package member_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/golden"
	"chicoryhoist.example/hoist/gossip"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/value"
)

func init() { golden.FixSeed() }

// injectFault injects a random fault into the fleet.
func injectFault(t *rapid.T, f *fleet) string {
	name := rapid.SampledFrom(f.names).Draw(t, "router")
	other := rapid.SampledFrom(f.names).Draw(t, "other")
	kind := rapid.SampledFrom([]string{"stop", "restart", "pause", "cut", "split", "loss", "heal", "config", "list"}).Draw(t, "kind")
	switch kind {
	case "stop":
		f.stop(name)
	case "restart":
		f.restart(name)
	case "pause":
		f.pause(name, hoist.Millis(rapid.IntRange(100, 20000).Draw(t, "length")))
	case "cut":
		f.blocked[[2]string{name, other}] = true
	case "split":
		dc := f.nodes[name].self.Datacentre()
		for _, x := range f.names {
			for _, y := range f.names {
				if (f.nodes[x].self.Datacentre() == dc) != (f.nodes[y].self.Datacentre() == dc) {
					f.blocked[[2]string{x, y}] = true
				}
			}
		}
	case "loss":
		f.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
	case "heal":
		f.heal()
	case "config":
		g := rapid.Uint64Range(1, 9).Draw(t, "generation")
		d := rapid.Uint64Range(1, 3).Draw(t, "digest")
		f.platform[f.nodes[name].self.Datacentre()] = config.Version{Generation: g, Digest: d}
	case "list":
		f.relist()
		for _, n := range f.names {
			f.decide(f.nodes[n], f.nodes[n].self.Incarnation(), member.InstancesListed{List: f.list})
		}
	}
	return kind
}

var _ = Describe("State", func() {
	// Guards against views that stay different after faults, shards with two owners, ended incarnations that become live
	// again, and routers that return to an older configuration.
	It("converges after any faults", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			sizes := rapid.SliceOfN(rapid.IntRange(1, 5), 1, 4).Draw(t, "sizes")
			f := newFleet(rapid.Uint64().Draw(t, "seed"), sizes...)
			f.run(6 * hoist.Second)
			for range rapid.IntRange(0, 12).Draw(t, "faults") {
				injectFault(t, f)
				f.run(hoist.Millis(rapid.IntRange(0, 6000).Draw(t, "time")))
			}
			f.heal()
			f.run(40 * hoist.Second)
			if ds := f.differences(); len(ds) > 0 {
				t.Fatalf("after healing: %v", ds)
			}
			if len(f.violations) > 0 {
				t.Fatalf("%v", f.violations)
			}
			newest := config.Version{}
			for _, name := range f.names {
				if h := f.nodes[name].configSync.Held(); h.Newer(newest) {
					newest = h
				}
			}
			for _, name := range f.names {
				if f.nodes[name].configSync.Held() != newest {
					t.Fatalf("%s holds %v, others %v", name, f.nodes[name].configSync.Held(), newest)
				}
			}
		})
	})

	// Guards against lost heartbeats, which occur when the quarantine items of a crashed server's requests fill thin links.
	It("publishes a burst of quarantine items within a tenth of a link of 10 Mbit/s", func() {
		f := newFleet(1, 20, 20, 20, 20)
		f.run(20 * hoist.Second)
		f.measure = encodedBytes
		for i := range 450 {
			n := f.nodes[f.names[i%len(f.names)]]
			f.decide(n, n.self.Incarnation(), member.ItemPublished{Body: value.Quarantine{}.WithFingerprint(uint64(i))})
		}
		const tenthOfLinkBytes = 125_000
		for range 15 {
			for _, n := range f.nodes {
				n.sentBytes = 0
			}
			f.run(hoist.Second)
			for _, n := range f.nodes {
				Expect(n.sentBytes).To(BeNumerically("<=", tenthOfLinkBytes))
			}
		}
		for _, name := range f.names {
			known := 0
			for range f.nodes[name].state.Store().All(gossip.KindQuarantine) {
				known++
			}
			Expect(known).To(Equal(450), name)
		}
	})

	// Guards against leaving routers that still own shards, and leaving servers that get new requests, after 3 s.
	It("knows a departure everywhere within 3 s", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			sizes := rapid.SliceOfN(rapid.IntRange(1, 6), 1, 4).Draw(t, "sizes")
			f := newFleet(rapid.Uint64().Draw(t, "seed"), sizes...)
			f.delay = 100
			f.run(12 * hoist.Second)
			n := f.nodes[rapid.SampledFrom(f.names).Draw(t, "router")]
			f.decide(n, n.self.Incarnation(), member.DrainStarted{})
			f.decide(n, n.self.Incarnation(), member.ServerLeaving{Server: "e0-3"})
			f.run(3 * hoist.Second)
			for _, name := range f.names {
				v := f.nodes[name].state.View()
				if m, ok := v.Member(n.self.Name()); !ok || !m.Leaving() {
					t.Fatalf("%s does not know that %s is leaving", name, n.self.Name())
				}
				if !leaving(v, "e0-3") {
					t.Fatalf("%s does not know that the server is leaving", name)
				}
			}
		})
	})

	// Guards against a configuration that comes into force late, also in a data centre that cannot reach the platform.
	It("puts a configuration into force within 2 s, and within 5 s without the platform in one data centre", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			sizes := rapid.SliceOfN(rapid.IntRange(1, 6), 2, 4).Draw(t, "sizes")
			f := newFleet(rapid.Uint64().Draw(t, "seed"), sizes...)
			f.delay = 50
			f.run(12 * hoist.Second)
			away := rapid.Bool().Draw(t, "away")
			v := config.Version{Generation: 3, Digest: 4}
			for d := range sizes {
				if d > 0 || !away {
					f.platform[fmt.Sprintf("dc%d", d)] = v
				}
			}
			if away {
				f.run(5 * hoist.Second)
			} else {
				f.run(2 * hoist.Second)
			}
			for _, name := range f.names {
				if f.nodes[name].configSync.Held() != v {
					t.Fatalf("%s holds %v", name, f.nodes[name].configSync.Held())
				}
			}
		})
	})
})

// leaving reports whether a view shows the server as leaving.
func leaving(v *member.View, server string) bool {
	for _, s := range v.Shards() {
		for i := range s.Servers.All() {
			if i.Name() == server {
				return i.Leaving()
			}
		}
	}
	return false
}
