package sched

import (
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/invar"
	"chicoryhoist.example/hoist/value"
)

// shardOf returns a shard with two tiers.
func shardOf(servers int, slots int32) State {
	snapshot := value.Snapshot{}.
		WithTiers(value.ListOf(value.Tier{}.WithName("a").WithRank(1), value.Tier{}.WithName("b").WithRank(2))).
		WithClasses(value.ListOf(
			value.Class{}.WithName("high").WithTier("a").WithFirstTokenMs(690).WithMaxWaitMs(5000),
			value.Class{}.WithName("low").WithTier("b").WithFirstTokenMs(690).WithBatch(true).WithMaxWaitMs(5000).WithFloorPermille(500),
		))
	var instances []value.Instance
	for i := range servers {
		instances = append(instances, value.Instance{}.WithName("v"+string(rune('A'+i))))
	}
	pool := value.Pool{}.WithName("p").WithKind(value.PoolKindEngine).WithSlots(slots).WithReservedSlots(slots / 8).WithTokensPerSecond(30)
	s, _ := New("s").Decide(Configured{View: config.NewView(snapshot, 1), Pool: pool, Instances: value.ListOf(instances...)}, 1)
	return s
}

func askOf(n uint64, class string) MessageReceived {
	return MessageReceived{value.Ask{}.WithAttempt(value.Attempt{}.WithRequest(n)).WithClass(class).WithRepeatable(true)}
}

func endOf(n uint64, tokens int32) MessageReceived {
	return MessageReceived{value.End{}.WithAttempt(value.Attempt{}.WithRequest(n)).WithKind(value.EndKindFinished).WithTokens(tokens)}
}

// reports returns the checks that fail while f runs.
func reports(f func()) []string {
	var found []string
	defer invar.Attach(func(c invar.Invariant, _ string) { found = append(found, c.String()) })()
	f()
	return slices.Compact(found)
}

// Guards against a check of tier order that cannot fail: the order of the ledgers is reversed on purpose.
func TestBrokenTierOrderIsReported(t *testing.T) {
	g := gomega.NewWithT(t)
	overfill := func(s State) State {
		for n := range uint64(minQueue + 8) {
			// Resumed requests are not refused early, so that the queue fills with both tiers.
			class := []string{"low", "high"}[n%2]
			a := value.Ask{}.WithAttempt(value.Attempt{}.WithRequest(n)).WithClass(class).WithResumedTokens(1)
			var effects []Effect
			s, effects = s.Decide(MessageReceived{a}, 1)
			for _, e := range effects {
				if r, ok := e.(value.Refusal); ok {
					g.Expect(r.RetryMs()).To(gomega.BeNumerically(">=", minRetry), "a shed request must not return at once")
				}
			}
		}
		return s
	}
	g.Expect(reports(func() {
		s := overfill(shardOf(1, 1))
		g.Expect(s.Queue().Len()).To(gomega.Equal(minQueue))
		g.Expect(s.Backlog().Waiting()).To(gomega.Equal(value.ListOf(int32(36), int32(28))))
	})).To(gomega.BeEmpty())
	g.Expect(reports(func() {
		s := shardOf(1, 1)
		s.ledgers = []*ledger{s.ledgers[1], s.ledgers[0]}
		s.classes = map[string]int{"low": 0, "high": 1}
		overfill(s)
	})).To(gomega.Equal([]string{"I1"}))
	g.Expect(reports(func() {
		shardOf(1, 1).checkPreempt(&job{rank: 1}, &QueuedRequest{class: config.Class{Rank: 2}})
	})).To(gomega.Equal([]string{"I1"}))
}

// Guards against a check of the waiting bound that cannot fail: the deficit counter of the class is broken on purpose.
func TestBrokenFloorIsReported(t *testing.T) {
	g := gomega.NewWithT(t)
	serve := func(damage func(*ledger)) func() {
		return func() {
			s := shardOf(1, 1)
			s, _ = s.Decide(askOf(0, "high"), 1)
			s, _ = s.Decide(askOf(1, "low"), 1)
			low := *s.ledgers[1]
			damage(&low)
			s = s.withLedger(1, &low)
			for n := uint64(2); n < 20; n++ {
				s, _ = s.Decide(MessageReceived{askOf(n, "high").Body.(value.Ask).WithResumedTokens(1)}, 1)
				for j := range s.jobs.All() {
					s, _ = s.Decide(endOf(j.attempt().Request(), 1000), 1)
				}
			}
		}
	}
	g.Expect(reports(serve(func(*ledger) {}))).To(gomega.BeEmpty())
	g.Expect(reports(serve(func(l *ledger) { l.credit = -1 << 40 }))).To(gomega.Equal([]string{"I2"}))
}

// busy returns a shard at the size that one owner handles, full and with a queue.
func busy(b *testing.B) (s State, next uint64) {
	b.Helper()
	s = shardOf(32, 16)
	for ; next < 32*16; next++ {
		s, _ = s.Decide(askOf(next, "high"), 1)
	}
	for n := range uint64(200) {
		s, _ = s.Decide(askOf(next+n, "low"), 1)
	}
	return s, next + 200
}

// BenchmarkProgress measures the most frequent event.
func BenchmarkProgress(b *testing.B) {
	s, _ := busy(b)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		p := value.Progress{}.WithAttempt(value.Attempt{}.WithRequest(uint64(n % 512))).WithTokens(int32(n / 512))
		s, _ = s.Decide(MessageReceived{p}, hoist.Millis(n/2))
	}
}

// BenchmarkAskEnd measures the end of one request and the ask of the next in a full shard.
func BenchmarkAskEnd(b *testing.B) {
	s, next := busy(b)
	b.ReportAllocs()
	for n := uint64(0); b.Loop(); n++ {
		s, _ = s.Decide(askOf(next+n, "high"), 1)
		s, _ = s.Decide(endOf(n, 150), 1)
	}
}
