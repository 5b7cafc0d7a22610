package soak

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/cmd/hoistbench/sim"
	"chicoryhoist.example/hoist/invar"
	"chicoryhoist.example/hoist/value"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

// play returns what a run prints.
func play(seed uint64) string {
	var out strings.Builder
	Run(&out, seed, 60)
	return out.String()
}

var _ = Describe("soak", func() {
	// Guards against runs that can't be repeated to find the cause of a violation.
	It("repeats a run with the same seed", func() {
		Expect(play(3)).To(Equal(play(3)))
		Expect(play(3)).NotTo(Equal(play(4)))
	})

	// Guards against checks that never fail.
	It("counts each kind of violation", func() {
		w := newWorld(1, sim.Second)
		p, j := w.processes[0], &job{class: "guidance", tokens: 2, at: sim.Second, runs: 2}
		w.checkFrame(j, &job{}, 0)
		w.checkFrame(j, j, 1)
		w.checkEnd(p, j, call.Result{Outcome: value.OutcomeRan})
		w.checkEnd(p, j, call.Result{Outcome: value.OutcomeNotRun})
		w.checkEnd(p, j, call.Result{Outcome: value.OutcomeUnknown})
		w.checkRun(j)
		w.checkVersion(p, snapshot(2, 0).Version(), snapshot(1, 0).Version())
		Expect(w.report.violated).To(Equal(map[invar.Invariant]int{
			invar.AnswerIdentity: 3, invar.HonestOutcome: 1, invar.AtMostOnce: 1, invar.GracefulShutdown: 1, invar.ConfigurationOrder: 1,
		}))
	})
})
