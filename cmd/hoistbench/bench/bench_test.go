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

// parse reads a figure from a line of name, value, unit, limit kind and limit.
func parse(line string) Figure {
	w := strings.Fields(line)
	number := func(s string) float64 {
		v, err := strconv.ParseFloat(s, 64)
		Expect(err).NotTo(HaveOccurred())
		return v
	}
	f := Figure{w[0], number(w[1]), w[2], none{}}
	switch w[3] {
	case ">=":
		f.bound = atLeast{number(w[4])}
	case "<=":
		f.bound = atMost{number(w[4])}
	}
	return f
}

var _ = Describe("bench", func() {
	// Guards against a bound that is reported as met on the wrong side of its limit.
	It("prints figures and bounds", func() {
		for _, c := range golden.Cases("testdata") {
			var out strings.Builder
			for line := range strings.Lines(c.Input) {
				f := parse(line)
				f.write(&out)
				f.writeBound(&out)
			}
			Expect(out.String()).To(golden.Match(c.Path))
		}
	})

	// Guards against figures that change from run to run, which would hide a regression.
	It("repeats every figure with the same seed", func() {
		for _, s := range schemes {
			Expect(leaving(sim.Sites[0], s)).To(Equal(leaving(sim.Sites[0], s)))
		}
	})

	// Guards against an experiment whose demand differs from the stated share of the capacity.
	It("draws the stated demand", func() {
		s := base(sim.Sites[1], 0, 400, 400)
		s.Workloads = []Workload{flow(guidance, 0, 400, 0.5)}
		var busy float64
		for _, a := range s.arrivals() {
			busy += float64(a.class.Prompt/speed.PromptTokensPerMs) + float64(a.tokens)*float64(speed.TokenMs)
		}
		Expect(busy / (400_000 * slots * 12)).To(BeNumerically("~", 0.5, 0.03))
	})
})
