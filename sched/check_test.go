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

// shardOf returns a shard with two tiers, one class in each.
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

// violations returns the invariants that are violated while f runs.
func violations(f func()) []string {
	var violated []string
	defer invar.Attach(func(c invar.Invariant, _ string) { violated = append(violated, c.String()) })()
	f()
	return slices.Compact(violated)
}

// TestBrokenTierOrderIsReported guards against a check of the tier order that cannot fail. It reverses the order
// of the class states.
func TestBrokenTierOrderIsReported(t *testing.T) {
	g := gomega.NewWithT(t)
	fillQueue := func(s State) State {
		for n := range uint64(minQueueLimit + 8) {
			// Resumed requests are not rejected early, so the queue fills with both tiers.
			class := []string{"low", "high"}[n%2]
			a := value.Ask{}.WithAttempt(value.Attempt{}.WithRequest(n)).WithClass(class).WithResumedTokens(1)
			var effects []Effect
			s, effects = s.Decide(MessageReceived{a}, 1)
			for _, e := range effects {
				if r, ok := e.(value.Refusal); ok {
					g.Expect(r.RetryMs()).To(gomega.BeNumerically(">=", minRetryAfter), "a shed request must not be retried immediately")
				}
			}
		}
		return s
	}
	g.Expect(violations(func() {
		s := fillQueue(shardOf(1, 1))
		g.Expect(s.Queue().Len()).To(gomega.Equal(minQueueLimit))
		g.Expect(s.Backlog().Waiting()).To(gomega.Equal(value.ListOf(int32(36), int32(28))))
	})).To(gomega.BeEmpty())
	g.Expect(violations(func() {
		s := shardOf(1, 1)
		s.classStates = []*classState{s.classStates[1], s.classStates[0]}
		s.classIndex = map[string]int{"low": 0, "high": 1}
		fillQueue(s)
	})).To(gomega.Equal([]string{"I1"}))
	g.Expect(violations(func() {
		shardOf(1, 1).checkPreempt(&runningAttempt{rank: 1}, &QueuedRequest{class: config.Class{Rank: 2}})
	})).To(gomega.Equal([]string{"I1"}))
}

// TestBrokenFloorIsReported guards against a check of the waiting bound that cannot fail. It corrupts the deficit
// counter of a class.
func TestBrokenFloorIsReported(t *testing.T) {
	g := gomega.NewWithT(t)
	serve := func(corrupt func(*classState)) func() {
		return func() {
			s := shardOf(1, 1)
			s, _ = s.Decide(askOf(0, "high"), 1)
			s, _ = s.Decide(askOf(1, "low"), 1)
			low := *s.classStates[1]
			corrupt(&low)
			s = s.withClassState(1, &low)
			for n := uint64(2); n < 20; n++ {
				s, _ = s.Decide(MessageReceived{askOf(n, "high").Body.(value.Ask).WithResumedTokens(1)}, 1)
				for ra := range s.running.All() {
					s, _ = s.Decide(endOf(ra.attempt().Request(), 1000), 1)
				}
			}
		}
	}
	g.Expect(violations(serve(func(*classState) {}))).To(gomega.BeEmpty())
	g.Expect(violations(serve(func(cs *classState) { cs.deficit = -1 << 40 }))).To(gomega.Equal([]string{"I2"}))
}

// busy returns a shard of the size that one owner handles, with all slots in use and a queue.
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

// BenchmarkProgress measures progress reports, the most frequent event.
func BenchmarkProgress(b *testing.B) {
	s, _ := busy(b)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		p := value.Progress{}.WithAttempt(value.Attempt{}.WithRequest(uint64(n % 512))).WithTokens(int32(n / 512))
		s, _ = s.Decide(MessageReceived{p}, hoist.Millis(n/2))
	}
}

// BenchmarkAskEnd measures the end of one request and the placement request of the next in a full shard.
func BenchmarkAskEnd(b *testing.B) {
	s, next := busy(b)
	b.ReportAllocs()
	for n := uint64(0); b.Loop(); n++ {
		s, _ = s.Decide(askOf(next+n, "high"), 1)
		s, _ = s.Decide(endOf(n, 150), 1)
	}
}
