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

// Guards against unintended changes of messages, outcomes and token counts, which the properties of TestRequest do not fix.
var _ = ginkgo.Describe("Decide", func() {
	for _, c := range golden.Cases("testdata") {
		ginkgo.It("handles "+c.Name, func() {
			s := &script{state: call.New(template(true))}
			for line := range strings.Lines(c.Input) {
				s.run(strings.TrimSpace(line))
			}
			gomega.Expect(s.out.String()).To(golden.Match(c.Path))
		})
	}
})

// template returns the template of a request's placement requests.
func template(repeatable bool) value.Ask {
	return value.Ask{}.WithAttempt(id(0)).WithShard("s").WithClass("c").WithRepeatable(repeatable)
}

func id(n int) value.Attempt {
	return value.Attempt{}.WithIncarnation(7).WithRequest(9).WithNumber(uint32(n))
}

// script applies the events of a script line by line and writes the effects.
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

// run executes one line: an event, the number of an attempt and further arguments.
func (s *script) run(line string) {
	args := append(strings.Fields(line), "", "", "")
	if args[0] == "" || args[0] == "#" {
		return
	}
	n, _ := strconv.Atoi(args[1])
	m, _ := strconv.Atoi(args[2])
	fmt.Fprintln(&s.out, line)
	switch args[0] {
	case "unrepeatable":
		s.state = call.New(template(false))
	case "wait":
		s.now += hoist.Millis(n)
	case "begin":
		s.decide(call.Started{})
	case "grant":
		hedge, _ := strconv.Atoi(args[3])
		s.decide(call.Granted{Grant: value.Grant{}.WithAttempt(id(n)).WithServer(args[2]).WithHedgeMs(int64(hedge))})
	case "refuse":
		s.decide(call.Refused{Refusal: value.Refusal{}.WithAttempt(id(n)).WithReason(reasons[args[2]])})
	case "preempt":
		s.decide(call.Preempted{Attempt: id(n)})
	case "first-frame":
		s.decide(call.FirstFrame{Attempt: id(n)})
	case "frame":
		var v call.Verdict
		s.state, v = s.state.Accept(id(n), int32(m))
		fmt.Fprintln(&s.out, "  ->", [...]string{"emit", "first", "drop", "stale", "gap"}[v])
	case "end":
		s.decide(call.AttemptEnded{Attempt: id(n), Kind: kinds[args[2]]})
	case "disconnect":
		s.decide(call.CallerDisconnected{})
	case "owner-lost":
		s.decide(call.OwnerLost{Attempt: id(n)})
	case "ask-timer":
		s.decide(call.TimerFired{Timer: call.AskTimer{}})
	case "hedge-timer":
		s.decide(call.TimerFired{Timer: call.HedgeTimer{Attempt: id(n)}})
	case "allow":
		s.decide(call.RetryDecided{Verdict: retry.Allow{}})
	case "deny":
		s.decide(call.RetryDecided{Verdict: retry.Deny{Reason: value.RefusalReasonBudget, After: 7}})
	case "delay":
		s.decide(call.RetryDecided{Verdict: retry.Delay{After: 70}})
	default:
		panic("unknown event " + args[0])
	}
}

// decide applies the event and writes the resulting effects.
func (s *script) decide(e call.Event) {
	var effects []call.Effect
	s.state, effects = s.state.Decide(e, s.now)
	for _, x := range effects {
		fmt.Fprintln(&s.out, "  ->", describe(x))
	}
}

// describe returns the text of an effect for the golden files.
func describe(x call.Effect) string {
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
		return fmt.Sprintf("notify %T", x.Event)
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
