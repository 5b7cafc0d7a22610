package retry_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/golden"
	"chicoryhoist.example/hoist/place"
	"chicoryhoist.example/hoist/retry"
	"chicoryhoist.example/hoist/value"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

// Guards against unintended changes of the verdicts on a sequence of events.
var _ = DescribeTable("scripts", func(c golden.Case) {
	var out strings.Builder
	s := retry.New(retry.Limits{}.WithQuarantine(hoist.Minute))
	now := hoist.Millis(0)
	for line := range strings.Lines(c.Input) {
		f := strings.Fields(line)
		if len(f) == 0 || f[0] == "#" {
			out.WriteString(line)
			continue
		}
		if f[0] == "wait" {
			now += hoist.Millis(number(f[1]))
			continue
		}
		for range max(1, number(f[0])) {
			var v retry.Verdict
			s, v = s.Decide(event(f[1:]), now)
			if number(f[0]) == 0 {
				fmt.Fprintf(&out, "%6d %s: %s\n", now, strings.Join(f[1:], " "), describe(v))
			}
		}
	}
	fmt.Fprintf(&out, "%6d retries=%d waste=%d suspects=%d\n", now, s.RetryBudget().Level(), s.WasteBudget().Level(), s.Suspects().Len())
	Expect(out.String()).To(golden.Match(c.Path))
}, entries())

func entries() []TableEntry {
	var entries []TableEntry
	for _, c := range golden.Cases("testdata") {
		entries = append(entries, Entry(c.Name, c))
	}
	return entries
}

func number(s string) int64 {
	n, _ := strconv.ParseInt(s, 10, 64)
	return n
}

func kind(name string) value.EndKind {
	for k := value.EndKindFinished; k <= value.EndKindRejected; k++ {
		if k.String() == name {
			return k
		}
	}
	panic("unknown end kind " + name)
}

func event(f []string) retry.Event {
	switch f[0] {
	case "request":
		return retry.RequestArrived{Fingerprint: uint64(number(f[1]))}
	case "retry":
		return retry.Requested{Fingerprint: uint64(number(f[1])), Kind: kind(f[2])}
	case "hedge":
		return retry.HedgeRequested{Fingerprint: uint64(number(f[1]))}
	case "hedge-ended":
		return retry.HedgeEnded{Wasted: int32(number(f[1]))}
	case "delivered":
		return retry.Delivered{Tokens: int32(number(f[1]))}
	case "wasted":
		return retry.Wasted{Tokens: int32(number(f[1]))}
	case "trial-ended":
		return retry.TrialEnded{Fingerprint: uint64(number(f[1])), Kind: kind(f[2])}
	case "crashed":
		var fs []uint64
		for _, x := range f[2:] {
			fs = append(fs, uint64(number(x)))
		}
		return retry.Crashed{Server: f[1], Fingerprints: value.ListOf(fs...)}
	case "received":
		c := value.Charge{}.WithServer(f[2]).WithAtMs(number(f[3]))
		return retry.QuarantineReceived{Item: value.Quarantine{}.WithFingerprint(uint64(number(f[1]))).WithCharges(value.ListOf(c))}
	case "tick":
		return retry.Ticked{}
	}
	panic("unknown event " + f[0])
}

func describe(v retry.Verdict) string {
	switch x := v.(type) {
	case retry.None:
		return "none"
	case retry.Allow:
		if x.Alone {
			return "allow alone"
		}
		return "allow"
	case retry.Deny:
		return fmt.Sprintf("deny %s after %d", x.Reason, x.After)
	case retry.Delay:
		return fmt.Sprintf("delay %d", x.After)
	case retry.Broadcast:
		s := "broadcast"
		for q := range x.Items.All() {
			s += fmt.Sprintf(" content=%d crashes=%d remaining=%d", q.Fingerprint(), q.Crashes(), q.RemainingMs())
		}
		return s
	}
	return "?"
}

var _ = Describe("latencies", func() {
	// Guards against a wrong rank, which would hedge half of all requests or none.
	It("takes the percentile of the most recent first tokens", func() {
		d := retry.Latencies{}
		for i := range 19 {
			d = d.With("guide", "engines", hoist.Millis(i))
		}
		_, ok := d.Percentile("guide", "engines", 950)
		Expect(ok).To(BeFalse())
		for i := range 128 {
			d = d.With("guide", "engines", hoist.Millis(128-i))
		}
		p, ok := d.Percentile("guide", "engines", 950)
		Expect(ok).To(BeTrue())
		Expect(p).To(Equal(hoist.Millis(122)))
	})

	// Guards against unbounded memory use by classes that are renamed again and again.
	It("removes the least recently used pair", func() {
		d := retry.Latencies{}
		for i := range 300 {
			for range 20 {
				d = d.With(strconv.Itoa(i), "engines", 10)
			}
		}
		_, first := d.Percentile("0", "engines", 500)
		_, last := d.Percentile("299", "engines", 500)
		Expect([]bool{first, last}).To(Equal([]bool{false, true}))
	})
})

var _ = Describe("suspects", func() {
	// Guards against a flood of distinct content that grows the table or displaces quarantined content.
	It("keeps quarantined content when it is full", func() {
		x := retry.NewSuspects(hoist.Minute).WithCrash(crashOf("a"), contents(0, 1), 0).WithCrash(crashOf("b"), contents(0, 1), 10)
		for i := range uint64(5000) {
			x = x.WithCrash(crashOf("c"), contents(0, 100+i), 20)
		}
		Expect(x.Len()).To(BeNumerically("<=", 4096))
		Expect(x.Status(1, 30)).To(Equal(retry.Quarantined{Until: 10 + hoist.Minute}))
	})
})

var _ = Describe("guard", func() {
	ask := func(n uint64) value.Ask {
		id := value.Attempt{}.WithIncarnation(1).WithRequest(n).WithNumber(1)
		return value.Ask{}.WithAttempt(id).WithFingerprint(n).WithRepeatable(true)
	}
	// Guards against a missed second crash, which occurs when the 16 reports of one crash displace an earlier crash of the same content.
	It("quarantines at the second crash, however often each is reported", func() {
		t := place.Table{}.Sync(value.ListOf(value.Instance{}.WithName("a"), value.Instance{}.WithName("b")), 16)
		g := retry.NewGuard(retry.Limits{})
		now := hoist.Minute
		for _, server := range []string{"a", "b"} {
			for n := range uint64(16) {
				t = t.Start(server, place.NewRunningAttempt(ask(n+1), 1, now))
			}
			for n := range uint64(16) {
				now += 10
				e := value.End{}.WithAttempt(ask(n + 1).Attempt()).WithKind(value.EndKindCrashed)
				g, _ = g.Ended(e, t, now)
				t = t.End(e, now)
			}
			now += hoist.Second
		}
		for n := range uint64(16) {
			Expect(g.Quarantined(n+1, now)).To(BeTrue())
		}
	})

	// Guards against prompts that crash one server after the other because they share a prefix and nothing else, and against
	// refusing prompts that share only the beginning of it.
	It("quarantines the prompt prefix that explains the crashes", func() {
		t := place.Table{}.Sync(value.ListOf(value.Instance{}.WithName("a"), value.Instance{}.WithName("b")), 16)
		g := retry.NewGuard(retry.Limits{})
		now := hoist.Minute
		for n, server := range []string{"a", "b"} {
			a := ask(uint64(n) + 1).WithPrefixes(value.ListOf(uint64(100), 200, uint64(300+n)))
			g, _, _ = g.Admit(a, now)
			t = t.Start(server, place.NewRunningAttempt(a, 1, now))
			now += 100
			e := value.End{}.WithAttempt(a.Attempt()).WithKind(value.EndKindCrashed)
			g, _ = g.Ended(e, t, now)
			t = t.End(e, now)
		}
		_, _, refusal := g.Admit(ask(3).WithPrefixes(value.ListOf[uint64](100, 200, 302)), now)
		Expect(refusal).NotTo(BeNil())
		sound := ask(4).WithPrefixes(value.ListOf[uint64](100, 201, 303))
		_, admitted, _ := g.Admit(sound, now)
		Expect(admitted).To(Equal(sound.WithAlone(false)))
	})

	// Guards against prompts that crash one server after the other because their responses begin before the crash, and against
	// refusing a prefix that other prompts have completed with.
	It("quarantines the prompt prefix of attempts that crash servers after their first token", func() {
		t := place.Table{}.Sync(value.ListOf(value.Instance{}.WithName("a"), value.Instance{}.WithName("b")), 16)
		g := retry.NewGuard(retry.Limits{})
		now := hoist.Minute
		run := func(n uint64, server string, k value.EndKind, prefixes ...uint64) {
			a := ask(n).WithPrefixes(value.ListOf(prefixes...))
			g, _, _ = g.Admit(a, now)
			t = t.Start(server, place.NewRunningAttempt(a, 1, now).WithTokens(3))
			now += 200
			e := value.End{}.WithAttempt(a.Attempt()).WithKind(k)
			g, _ = g.Ended(e, t, now)
			t = t.End(e, now)
		}
		run(1, "a", value.EndKindFinished, 100, 201)
		run(2, "a", value.EndKindCrashed, 100, 200, 302)
		run(3, "b", value.EndKindCrashed, 100, 200, 303)
		_, _, refusal := g.Admit(ask(4).WithPrefixes(value.ListOf[uint64](100, 200, 304)), now)
		Expect(refusal).NotTo(BeNil())
		_, admitted, _ := g.Admit(ask(5).WithPrefixes(value.ListOf[uint64](100, 201, 305)), now)
		Expect(admitted).NotTo(BeNil())
	})

	// Guards against a quarantine that routers which start later do not learn of, because the router that has found it was
	// restarted and its gossip items ended with its process.
	It("announces quarantined content that another router has found", func() {
		charge := value.Charge{}.WithServer("a").WithAtMs(int64(hoist.Minute))
		found := value.Quarantine{}.WithFingerprint(7).WithCharges(value.ListOf(charge, charge.WithServer("b")))
		now := hoist.Minute + hoist.Second
		g := retry.NewGuard(retry.Limits{}).Merge(found, now)
		g, items := g.Announce([]uint64{6, 7}, now)
		Expect(items).To(HaveLen(1))
		Expect(items[0].Fingerprint()).To(Equal(uint64(7)))
		g, items = g.Announce([]uint64{7}, now+hoist.Second)
		Expect(items).To(BeEmpty())
		_, items = g.Announce([]uint64{7}, now+2*hoist.Minute)
		Expect(items).To(HaveLen(1))
	})

	// Guards against hedges of suspected content, which could crash two servers at once.
	It("refuses hedges of suspected content", func() {
		t := place.Table{}.Sync(value.ListOf(value.Instance{}.WithName("a")), 16).Start("a", place.NewRunningAttempt(ask(1), 1, 10))
		e := value.End{}.WithAttempt(ask(1).Attempt()).WithKind(value.EndKindCrashed)
		g, _ := retry.NewGuard(retry.Limits{}).Ended(e, t, 20)
		_, _, refusal := g.Admit(ask(1).WithHedge(true), 30)
		Expect(refusal).To(Equal(value.Refusal{}.WithAttempt(ask(1).Attempt()).WithReason(value.RefusalReasonQuarantined)))
		_, admitted, _ := g.Admit(ask(2).WithHedge(true), 30)
		Expect(admitted).To(Equal(ask(2).WithHedge(true)))
	})

	// Guards against content that stays blocked after its trial was refused or withdrawn before it started.
	It("ends the trial of an attempt that was dropped before it started", func() {
		t := place.Table{}.Sync(value.ListOf(value.Instance{}.WithName("a")), 16).Start("a", place.NewRunningAttempt(ask(1), 1, 10))
		g, _ := retry.NewGuard(retry.Limits{}).Ended(value.End{}.WithAttempt(ask(1).Attempt()).WithKind(value.EndKindCrashed), t, 20)
		again := ask(1).WithAttempt(ask(1).Attempt().WithNumber(2))
		g, admitted, _ := g.Admit(again, 30)
		Expect(admitted).To(Equal(again.WithAlone(true)))
		_, _, refusal := g.Admit(ask(1).WithAttempt(ask(1).Attempt().WithNumber(3)), 40)
		Expect(refusal).NotTo(BeNil())
		_, admitted, _ = g.Dropped(again.Attempt(), 50).Admit(ask(1).WithAttempt(ask(1).Attempt().WithNumber(4)), 60)
		Expect(admitted).NotTo(BeNil())
	})
})
