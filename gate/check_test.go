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

// collectViolations collects the violations of a spec.
func collectViolations() *[]string {
	var violations []string
	ginkgo.DeferCleanup(invar.Attach(func(c invar.Invariant, d string) { violations = append(violations, c.String()+" "+d) }))
	return &violations
}

// newGrantedSession returns a session whose first attempt is granted, without a connection.
func newGrantedSession(repeatable bool) *session {
	s := newTestSession(repeatable)
	s.apply(call.Started{})
	s.state, _ = s.state.Decide(call.Granted{Grant: value.Grant{}.WithAttempt(attempt(1))}, 0)
	s.streams[1] = &stream{cancel: func() {}}
	s.checks.checkStart(attempt(1))
	return s
}

// Guards against violations that are not reported: each spec causes one deliberately.
var _ = ginkgo.Describe("invariant check", func() {
	frame := func(n uint32, seq int32) queuedPart {
		return queuedPart{attempt: attempt(n), part: engine.Frame{Seq: seq}}
	}

	ginkgo.It("reports nothing for a correct response", func() {
		violations, s := collectViolations(), newGrantedSession(true)
		s.handlePart(frame(1, 0))
		s.handlePart(frame(1, 1))
		s.handlePart(queuedPart{attempt: attempt(1), endKind: value.EndKindFinished})
		gomega.Expect(s.result.Outcome).To(gomega.Equal(value.OutcomeRan))
		gomega.Expect(*violations).To(gomega.BeEmpty())
	})

	ginkgo.It("reports I3 when a frame is emitted twice", func() {
		violations, s := collectViolations(), newGrantedSession(true)
		s.handlePart(frame(1, 0))
		before := s.state
		s.handlePart(frame(1, 1))
		s.state = before
		s.handlePart(frame(1, 1))
		gomega.Expect(*violations).To(gomega.ConsistOf("I3 request 7-9 emits frame 1 of attempt 7-9-1, expected 2"))
	})

	ginkgo.It("reports I3 when another request's frame is emitted", func() {
		violations, s := collectViolations(), newGrantedSession(true)
		s.checks.request = attempt(0).WithRequest(8)
		s.handlePart(frame(1, 0))
		gomega.Expect(*violations).To(gomega.ConsistOf("I3 request 7-8 emits frame 0 of attempt 7-9-1, expected 0"))
	})

	ginkgo.It("reports I3 when a complete response lacks a frame", func() {
		violations, s := collectViolations(), newGrantedSession(true)
		s.perform(call.Finish{Result: call.Result{Outcome: value.OutcomeRan, Emitted: 1}})
		gomega.Expect(*violations).To(gomega.ConsistOf("I3 request 7-9 ends with 1 frames, but its caller received 0"))
	})

	ginkgo.It("reports I4 when a request that may have run ends as not run, but not after a refusal", func() {
		violations, s := collectViolations(), newGrantedSession(false)
		s.perform(call.Finish{Result: call.Result{Outcome: value.OutcomeNotRun}})
		gomega.Expect(*violations).To(gomega.ConsistOf("I4 request 7-9 ends as not run, but 1 attempts may have been sent"))
		s = newGrantedSession(false)
		s.handlePart(queuedPart{attempt: attempt(1), endKind: value.EndKindRefused})
		gomega.Expect(s.result.Outcome).To(gomega.Equal(value.OutcomeNotRun))
		gomega.Expect(*violations).To(gomega.HaveLen(1))
	})

	ginkgo.It("reports I5 when an unrepeatable request starts again", func() {
		violations, s := collectViolations(), newGrantedSession(false)
		s.perform(call.Start{Grant: value.Grant{}.WithAttempt(attempt(2)).WithAddress("127.0.0.1:0")})
		s.stopAttempt(attempt(2))
		gomega.Expect(strings.Join(*violations, "\n")).To(gomega.Equal("I5 unrepeatable request 7-9 starts again as 7-9-2"))
		s = newGrantedSession(true)
		s.perform(call.Start{Grant: value.Grant{}.WithAttempt(attempt(2)).WithAddress("127.0.0.1:0")})
		s.stopAttempt(attempt(2))
		gomega.Expect(*violations).To(gomega.HaveLen(1))
	})
})
