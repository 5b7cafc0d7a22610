package gate

import (
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/engine"
	"chicoryhoist.example/hoist/invar"
	"chicoryhoist.example/hoist/value"
)

func TestGate(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "gate")
}

// watch collects the violations of a spec.
func watch() *[]string {
	var found []string
	ginkgo.DeferCleanup(invar.Attach(func(c invar.Invariant, d string) { found = append(found, c.String()+" "+d) }))
	return &found
}

// granted returns a session whose first attempt runs, without a connection.
func granted(repeatable bool) *session {
	s := newTestSession(repeatable)
	s.apply(call.Started{})
	s.state, _ = s.state.Decide(call.Granted{Grant: value.Grant{}.WithAttempt(attempt(1))}, 0)
	s.live[1] = &stream{cancel: func() {}}
	s.ledger.checkStart(attempt(1))
	return s
}

// Guards against violations that go unseen: each spec makes the mechanism fail on purpose.
var _ = ginkgo.Describe("invariant check", func() {
	frame := func(n uint32, seq int32) item {
		return item{attempt: attempt(n), part: engine.Frame{Seq: seq}}
	}

	ginkgo.It("is silent for a sound answer", func() {
		found, s := watch(), granted(true)
		s.receive(frame(1, 0))
		s.receive(frame(1, 1))
		s.receive(item{attempt: attempt(1), kind: value.EndKindFinished})
		gomega.Expect(s.result.Outcome).To(gomega.Equal(value.OutcomeRan))
		gomega.Expect(*found).To(gomega.BeEmpty())
	})

	ginkgo.It("reports I3 when a frame is emitted twice", func() {
		found, s := watch(), granted(true)
		s.receive(frame(1, 0))
		before := s.state
		s.receive(frame(1, 1))
		s.state = before
		s.receive(frame(1, 1))
		gomega.Expect(*found).To(gomega.ConsistOf("I3 request 7-9 emits frame 1 of attempt 7-9-1, expected 2"))
	})

	ginkgo.It("reports I3 when another request's frame is emitted", func() {
		found, s := watch(), granted(true)
		s.ledger.request = attempt(0).WithRequest(8)
		s.receive(frame(1, 0))
		gomega.Expect(*found).To(gomega.ConsistOf("I3 request 7-8 emits frame 0 of attempt 7-9-1, expected 0"))
	})

	ginkgo.It("reports I3 when a whole answer misses a frame", func() {
		found, s := watch(), granted(true)
		s.perform(call.Finish{Result: call.Result{Outcome: value.OutcomeRan, Emitted: 1}})
		gomega.Expect(*found).To(gomega.ConsistOf("I3 request 7-9 ends with 1 frames, but its caller received 0"))
	})

	ginkgo.It("reports I4 when a sent request ends as not run, and not after a refusal", func() {
		found, s := watch(), granted(false)
		s.perform(call.Finish{Result: call.Result{Outcome: value.OutcomeNotRun}})
		gomega.Expect(*found).To(gomega.ConsistOf("I4 request 7-9 ends as not run, but 1 attempts may have been sent"))
		s = granted(false)
		s.receive(item{attempt: attempt(1), kind: value.EndKindRefused})
		gomega.Expect(s.result.Outcome).To(gomega.Equal(value.OutcomeNotRun))
		gomega.Expect(*found).To(gomega.HaveLen(1))
	})

	ginkgo.It("reports I5 when an unrepeatable request starts again", func() {
		found, s := watch(), granted(false)
		s.perform(call.Start{Grant: value.Grant{}.WithAttempt(attempt(2)).WithAddress("127.0.0.1:0")})
		s.stop(attempt(2))
		gomega.Expect(strings.Join(*found, "\n")).To(gomega.Equal("I5 unrepeatable request 7-9 starts again as 7-9-2"))
		s = granted(true)
		s.perform(call.Start{Grant: value.Grant{}.WithAttempt(attempt(2)).WithAddress("127.0.0.1:0")})
		s.stop(attempt(2))
		gomega.Expect(*found).To(gomega.HaveLen(1))
	})
})
