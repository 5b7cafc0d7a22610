package sched_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/golden"
	"chicoryhoist.example/hoist/sched"
	"chicoryhoist.example/hoist/value"
)

func TestSched(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "sched")
}

// This suite guards against changes of order, rejection, preemption and takeover that no invariant excludes.
var _ = ginkgo.Describe("Decide", func() {
	for _, c := range golden.Cases("testdata") {
		ginkgo.It("follows "+c.Name, func() {
			s := &script{state: sched.New("s")}
			for line := range strings.Lines(c.Input) {
				s.run(strings.TrimSpace(line))
			}
			gomega.Expect(s.out.String()).To(golden.Match(c.Path))
		})
	}
})

// script runs the events of a text file and writes a trace of the effects.
type script struct {
	snapshot value.Snapshot
	pool     value.Pool
	servers  value.List[value.Instance]
	state    sched.State
	now      hoist.Millis
	out      strings.Builder
}

// run executes one line.
func (s *script) run(line string) {
	f := strings.Fields(line)
	if len(f) == 0 || f[0] == "#" {
		return
	}
	o := parse(f[1:])
	switch f[0] {
	case "tier":
		s.snapshot = s.snapshot.WithTiers(s.snapshot.Tiers().Append(value.Tier{}.WithName(f[1]).WithRank(int32(number(f[2])))))
	case "class":
		c := value.Class{}.WithName(f[1]).WithTier(f[2]).WithFirstTokenMs(o.number("target")).WithBatch(o.has("batch")).
			WithFloorPermille(int32(o.number("floor"))).WithMaxWaitMs(o.number("wait"))
		s.snapshot = s.snapshot.WithClasses(s.snapshot.Classes().Append(c))
	case "pool":
		s.pool = value.Pool{}.WithName("p").WithKind(value.PoolKindEngine).WithSlots(int32(o.number("slots"))).
			WithReservedSlots(int32(o.number("reserved"))).WithLongCap(int32(o.number("cap"))).WithTokensPerSecond(30)
		s.snapshot = s.snapshot.WithPolicy(value.Policy{}.WithLongAfterTokens(int32(o.number("long"))))
	case "servers":
		s.servers = value.List[value.Instance]{}
		for _, n := range f[1:] {
			s.servers = s.servers.Append(value.Instance{}.WithName(n).WithAddress(n + ":1"))
		}
		s.decide(line, sched.Configured{View: config.NewView(s.snapshot, 1), Pool: s.pool, Instances: s.servers})
	case "policy":
		s.state = s.state.WithPolicy(map[string]sched.Policy{
			"least-request": sched.LeastRequest{}, "tier-fifo": sched.TierFIFO{Routers: 2}, "local-share": sched.LocalShare{Routers: 2, Index: 1},
		}[f[1]])
	case "at":
		s.now = hoist.Millis(number(f[1]))
	case "wake":
		at, ok := s.state.Wake()
		fmt.Fprintf(&s.out, "%d wake: %d %t\n", s.now, at, ok)
	case "backlog":
		fmt.Fprintf(&s.out, "%d backlog: %v busy %d slots %d\n", s.now, s.state.Backlog().Waiting(), s.state.Backlog().Busy(), s.state.Backlog().Slots())
	default:
		s.decide(line, event(f, o))
	}
}

// event returns the event of the line.
func event(f []string, o options) sched.Event {
	switch f[0] {
	case "ask":
		return sched.MessageReceived{Body: ask(f[1], f[2], o)}
	case "progress":
		return sched.MessageReceived{Body: value.Progress{}.WithAttempt(attempt(f[1])).WithTokens(int32(number(f[2]))).WithFirstTokenMs(o.number("first"))}
	case "end":
		kinds := map[string]value.EndKind{
			"finished": value.EndKindFinished, "cancelled": value.EndKindCancelled,
			"preempted": value.EndKindPreempted, "leaving": value.EndKindLeaving,
		}
		return sched.MessageReceived{Body: value.End{}.WithAttempt(attempt(f[1])).WithKind(kinds[f[2]]).WithTokens(int32(o.number("tokens")))}
	case "withdraw":
		return sched.MessageReceived{Body: value.Withdraw{}.WithAttempt(attempt(f[1]))}
	case "holding":
		return sched.MessageReceived{Body: value.Holding{}.WithAsk(ask(f[1], f[2], o)).WithServer(f[3]).WithTokens(int32(o.number("tokens")))}
	case "report":
		return sched.LoadReported{Server: f[1], Load: value.Load{}.WithRunning(int32(number(f[2]))).WithSlots(int32(number(f[3]))).
			WithMeasuredMs(o.number("measured"))}
	case "tick":
		return sched.Ticked{}
	case "gateway-lost":
		return sched.GatewayLost{Incarnation: uint64(number(f[1]))}
	case "server-leaving":
		return sched.ServerLeaving{Server: f[1]}
	case "acquire":
		return sched.ShardAcquired{}
	}
	panic("unknown event " + f[0])
}

// decide applies the event and writes its effects.
func (s *script) decide(line string, e sched.Event) {
	var effects []sched.Effect
	s.state, effects = s.state.Decide(e, s.now)
	fmt.Fprintf(&s.out, "%d %s\n", s.now, line)
	for _, x := range effects {
		fmt.Fprintf(&s.out, "\t%s\n", effect(x))
	}
}

// effect returns the effect as text.
func effect(e sched.Effect) string {
	switch x := e.(type) {
	case value.Grant:
		return fmt.Sprintf("grant %s %s priority %d hedge %d", id(x.Attempt()), x.Server(), x.Priority(), x.HedgeMs())
	case value.Refusal:
		return fmt.Sprintf("reject %s %s retry %d", id(x.Attempt()), x.Reason(), x.RetryMs())
	case value.Preempt:
		return "preempt " + id(x.Attempt())
	case value.Query:
		return "query " + x.Shard()
	}
	return "none"
}

// ask returns the placement request of a line.
func ask(a, class string, o options) value.Ask {
	x := value.Ask{}.WithAttempt(attempt(a)).WithClass(class).WithRepeatable(!o.has("unrepeatable")).WithHedge(o.has("hedge")).
		WithAlone(o.has("alone")).WithPromptTokens(int32(o.number("prompt"))).WithResumedTokens(int32(o.number("resumed"))).
		WithWaitedMs(o.number("waited"))
	if o["avoid"] != "" {
		x = x.WithAvoid(value.ListOf(strings.Split(o["avoid"], ",")...))
	}
	return x
}

// attempt parses incarnation.request.number; a missing part is 1.
func attempt(s string) value.Attempt {
	p := append(strings.Split(s, "."), "1", "1")
	if !strings.Contains(s, ".") {
		p = []string{"1", s, "1"}
	}
	return value.Attempt{}.WithIncarnation(uint64(number(p[0]))).WithRequest(uint64(number(p[1]))).WithNumber(uint32(number(p[2])))
}

func id(a value.Attempt) string {
	return fmt.Sprintf("%d.%d.%d", a.Incarnation(), a.Request(), a.Number())
}

// options holds the words of a line of the form key or key=value.
type options map[string]string

func (o options) has(k string) bool { _, ok := o[k]; return ok }

func (o options) number(k string) int64 {
	if o[k] == "" {
		return 0
	}
	return number(o[k])
}

func number(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		panic(err)
	}
	return n
}

// parse returns the options among the words.
func parse(words []string) options {
	o := options{}
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		o[k] = v
	}
	return o
}
