package bench

import (
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist/cmd/hoistbench/sim"
	"chicoryhoist.example/hoist/golden"
)

func TestBench(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bench")
}

// parseFigure parses a figure from a line with name, value, unit, kind of bound and limit.
func parseFigure(line string) Figure {
	words := strings.Fields(line)
	number := func(s string) float64 {
		v, err := strconv.ParseFloat(s, 64)
		Expect(err).NotTo(HaveOccurred())
		return v
	}
	f := Figure{words[0], number(words[1]), words[2], unbounded{}}
	switch words[3] {
	case ">=":
		f.bound = atLeast{number(words[4])}
	case "<=":
		f.bound = atMost{number(words[4])}
	}
	return f
}

var _ = Describe("bench", func() {
	// Guards against a figure on the wrong side of its limit that is reported as meeting its bound.
	It("prints figures and bounds", func() {
		for _, c := range golden.Cases("testdata") {
			var out strings.Builder
			for line := range strings.Lines(c.Input) {
				f := parseFigure(line)
				f.write(&out)
				f.writeBound(&out)
			}
			Expect(out.String()).To(golden.Match(c.Path))
		}
	})

	// Guards against figures that differ between runs with the same seed, which would hide a regression.
	It("repeats every figure with the same seed", func() {
		for _, s := range schemes {
			Expect(leaving(sim.Sites[0], s)).To(Equal(leaving(sim.Sites[0], s)))
		}
	})

	// Guards against an experiment whose demand differs from the stated fraction of the capacity.
	It("draws the stated demand", func() {
		s := baseScenario(sim.Sites[1], 0, 400, 400)
		s.Workloads = []Workload{workload(guidance, 0, 400, 0.5)}
		var slotTimeMs float64
		for _, a := range s.drawArrivals() {
			slotTimeMs += float64(a.class.PromptTokens/serverSpeed.PromptTokensPerMs) +
				float64(a.outputTokens)*float64(serverSpeed.TokenMs)
		}
		Expect(slotTimeMs / (400_000 * slotsPerServer * 12)).To(BeNumerically("~", 0.5, 0.03))
	})
})
