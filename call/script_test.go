package call_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/golden"
	"chicoryhoist.example/hoist/retry"
	"chicoryhoist.example/hoist/value"
)

func TestCall(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "call")
}

// Guards against changes of asks, ends, outcomes and token counts that no property excludes.
var _ = ginkgo.Describe("Decide", func() {
	for _, c := range golden.Cases("testdata") {
		ginkgo.It("follows "+c.Name, func() {
			s := &script{state: call.New(template(true))}
			for line := range strings.Lines(c.Input) {
				s.run(strings.TrimSpace(line))
			}
			gomega.Expect(s.out.String()).To(golden.Match(c.Path))
		})
	}
})

// template returns the ask of a request.
func template(repeatable bool) value.Ask {
	return value.Ask{}.WithAttempt(id(0)).WithShard("s").WithClass("c").WithRepeatable(repeatable)
}

func id(n int) value.Attempt {
	return value.Attempt{}.WithIncarnation(7).WithRequest(9).WithNumber(uint32(n))
}

// script interprets lines of events and writes the trace of effects.
type script struct {
	state call.State
	now   hoist.Millis
	out   strings.Builder
}

var kinds = map[string]value.EndKind{
	"finished": value.EndKindFinished, "refused": value.EndKindRefused, "failed": value.EndKindFailed,
	"crashed": value.EndKindCrashed, "leaving": value.EndKindLeaving, "unreachable": value.EndKindUnreachable,
}

var reasons = map[string]value.RefusalReason{
	"late": value.RefusalReasonLate, "moved": value.RefusalReasonMoved, "unavailable": value.RefusalReasonUnavailable,
}

// run executes one line: a verb, the number of an attempt and further words.
func (s *script) run(line string) {
	f := append(strings.Fields(line), "", "", "")
	if f[0] == "" || f[0] == "#" {
		return
	}
	n, _ := strconv.Atoi(f[1])
	m, _ := strconv.Atoi(f[2])
	fmt.Fprintln(&s.out, line)
	switch f[0] {
	case "unrepeatable":
		s.state = call.New(template(false))
	case "wait":
		s.now += hoist.Millis(n)
	case "begin":
		s.decide(call.Started{})
	case "grant":
		hedge, _ := strconv.Atoi(f[3])
		s.decide(call.Granted{Grant: value.Grant{}.WithAttempt(id(n)).WithServer(f[2]).WithHedgeMs(int64(hedge))})
	case "refuse":
		s.decide(call.Refused{Refusal: value.Refusal{}.WithAttempt(id(n)).WithReason(reasons[f[2]])})
	case "preempt":
		s.decide(call.Preempted{Attempt: id(n)})
	case "open":
		s.decide(call.FirstFrame{Attempt: id(n)})
	case "frame":
		var v call.Verdict
		s.state, v = s.state.Accept(id(n), int32(m))
		fmt.Fprintln(&s.out, "  ->", [...]string{"emit", "open", "drop", "stale", "gap"}[v])
	case "close":
		s.decide(call.AttemptEnded{Attempt: id(n), Kind: kinds[f[2]]})
	case "gone":
		s.decide(call.CallerDisconnected{})
	case "lost":
		s.decide(call.OwnerLost{Attempt: id(n)})
	case "due":
		s.decide(call.TimerFired{Timer: call.AskTimer{}})
	case "hedge":
		s.decide(call.TimerFired{Timer: call.HedgeTimer{Attempt: id(n)}})
	case "allow":
		s.decide(call.RetryDecided{Verdict: retry.Allow{}})
	case "deny":
		s.decide(call.RetryDecided{Verdict: retry.Deny{Reason: value.RefusalReasonBudget, After: 7}})
	case "delay":
		s.decide(call.RetryDecided{Verdict: retry.Delay{After: 70}})
	default:
		panic("unknown event " + f[0])
	}
}

// decide applies the event and writes its effects.
func (s *script) decide(e call.Event) {
	var effects []call.Effect
	s.state, effects = s.state.Decide(e, s.now)
	for _, x := range effects {
		fmt.Fprintln(&s.out, "  ->", text(x))
	}
}

// text returns an effect as the golden files show it.
func text(x call.Effect) string {
	switch x := x.(type) {
	case call.Send:
		switch b := x.Body.(type) {
		case value.Ask:
			avoid := ""
			for a := range b.Avoid().All() {
				avoid += " " + a
			}
			return fmt.Sprintf("ask %d resumed %d waited %d hedge %t alone %t avoid%s", b.Attempt().Number(), b.ResumedTokens(), b.WaitedMs(), b.Hedge(), b.Alone(), avoid)
		case value.End:
			return fmt.Sprintf("end %d %s tokens %d", b.Attempt().Number(), b.Kind(), b.Tokens())
		case value.Withdraw:
			return fmt.Sprintf("withdraw %d", b.Attempt().Number())
		default:
		}
	case call.Start:
		return fmt.Sprintf("start %d on %s from %d", x.Grant.Attempt().Number(), x.Grant.Server(), x.Resume)
	case call.NotifyRetry:
		return fmt.Sprintf("consult %T", x.Event)
	case call.Stop:
		return fmt.Sprintf("stop %d", x.Attempt.Number())
	case call.SetTimer:
		return fmt.Sprintf("timer %T %d", x.Timer, x.Delay)
	case call.Finish:
		r := x.Result
		return fmt.Sprintf("finish %s reason %s retry %d emitted %d attempts %d", r.Outcome, r.Reason, r.RetryAfter, r.Emitted, r.Attempts)
	}
	return fmt.Sprintf("%T", x)
}
