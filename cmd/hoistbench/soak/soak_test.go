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

// runOutput returns the printed report of a run.
func runOutput(seed uint64) string {
	var out strings.Builder
	Run(&out, seed, 60)
	return out.String()
}

var _ = Describe("soak", func() {
	// Guards against a run that depends on anything but its seed, so that a violation can't be reproduced.
	It("prints the same report for the same seed", func() {
		Expect(runOutput(3)).To(Equal(runOutput(3)))
		Expect(runOutput(3)).NotTo(Equal(runOutput(4)))
	})

	// Guards against a check that never fails because it compares the wrong values.
	It("counts violations of the invariants of responses, executions and versions", func() {
		w := newWorld(1, sim.Second)
		p, j := w.processes[0], &job{class: "guidance", tokens: 2, submittedAt: sim.Second, runs: 2}
		w.checkFrame(j, &job{}, 0)
		w.checkFrame(j, j, 1)
		w.checkResult(p, j, call.Result{Outcome: value.OutcomeRan})
		w.checkResult(p, j, call.Result{Outcome: value.OutcomeNotRun})
		w.checkResult(p, j, call.Result{Outcome: value.OutcomeUnknown})
		w.checkRun(j)
		w.checkVersionOrder(p, snapshot(2, 0).Version(), snapshot(1, 0).Version())
		Expect(w.report.violated).To(Equal(map[invar.Invariant]int{
			invar.AnswerIdentity: 3, invar.HonestOutcome: 1, invar.AtMostOnce: 1, invar.GracefulShutdown: 1, invar.ConfigurationOrder: 1,
		}))
	})
})
