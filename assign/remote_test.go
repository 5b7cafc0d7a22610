package assign_test

import (
	"fmt"
	"math"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist/assign"
	"chicoryhoist.example/hoist/value"
)

// Pattern: the demand of two data centres with three engines each varies by 0.55 with a period of 10 s, out of step. Guards
// against work that crosses the link although home serves it within its target, and against work that stays at home while
// the target is missed there.
var _ = It("keeps work at home while home serves it within its target", func() {
	const tokens, target, end = 3000, 1500, 40000
	run := func(rules assign.Rules) (remote, met float64) {
		l := newLab(rules, 64, 42.8, 1, 1, 1, 1, 1, 1)
		var list []value.BackendServer
		for i := range 6 {
			list = append(list, value.BackendServer{}.WithId(fmt.Sprintf("s%02d", i)).WithDatacentre([]string{"x", "y"}[i/3]).WithSlots(64))
		}
		l.state, _ = l.state.Decide(assign.ServersUpdated{Servers: value.ListOf(list...)}, 0)
		var works []value.Work
		random := rand.New(rand.NewPCG(5, 6))
		for t := int64(1); t < end; t++ {
			for i, dc := range []string{"x", "y"} {
				// 75% of the capacity of a data centre on average.
				rate := 0.75 * 3 * 42.8 / tokens * (1 + 0.55*math.Sin(2*math.Pi*(float64(t)/10000+0.5*float64(i))))
				if random.Float64() < rate {
					id := uint64(len(works) + 1)
					works = append(works, value.Work{}.WithId(id).WithOrigin("n").WithDatacentre(dc).WithRank(2).WithTargetMs(target).
						WithArrivedMs(t).WithEndMs(t+6000).WithParts(value.ListOf(value.PromptPart{}.WithId(id).WithTokens(tokens))))
				}
			}
		}
		l.run(works, end)
		for _, d := range l.granted {
			if (d.work.Datacentre() == "y") != (d.server >= "s03") {
				remote++
			}
		}
		for _, t := range l.times {
			if t <= target {
				met++
			}
		}
		return remote / float64(len(l.granted)), met / float64(len(l.times))
	}
	remote, met := run(owned)
	oldRemote, oldMet := run(assign.Rules{})
	fmt.Fprintf(GinkgoWriter, "remote %.3f (was %.3f), within the target %.3f (was %.3f)\n", remote, oldRemote, met, oldMet)
	Expect(remote).To(BeNumerically("<", 0.5*oldRemote))
	Expect(remote).To(BeNumerically(">", 0))
	Expect(met).To(BeNumerically(">", 0.99))
})
