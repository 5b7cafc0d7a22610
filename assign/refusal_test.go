package assign_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/assign"
	"chicoryhoist.example/hoist/value"
)

// owned are the rules of an owner of limited engines.
var owned = assign.Rules{Engines: true, Speeds: true, Owner: true}

// inTime returns the number of requests whose first event came before the deadline.
func (l *lab) inTime() int { return len(l.times) - l.late }

// Pattern: prompts of 9,000 tokens with a deadline of 5 s arrive at one and a half times the rate of six engines with 8
// slots. Guards against engines that compute prompts whose deadline has passed, so that hardly any request is in time.
var _ = It("refuses early what cannot be in time", func() {
	const rate, tokens, end = 42.8, 9000, 40000
	speeds := []float64{0.6, 1.0, 1.6, 0.6, 1.0, 1.6}
	run := func(rules assign.Rules) *lab {
		l := newLab(rules, 8, rate, speeds...)
		l.returns = true
		works := steady(tokens, tokens/(rate*2*(1/0.6+1+1/1.6)*1.5), end)
		for i, w := range works {
			works[i] = w.WithEndMs(w.ArrivedMs() + 5000).WithFingerprint(w.Id())
		}
		l.run(works, end)
		return l
	}
	with, without := run(owned), run(assign.Rules{})
	fmt.Fprintf(GinkgoWriter, "in time %d (was %d), late %d (was %d), refused %d (was %d)\n", with.inTime(), without.inTime(), with.late, without.late, len(with.refused), len(without.refused))
	Expect(with.inTime()).To(BeNumerically(">", 2*without.inTime()))
	Expect(with.late).To(BeNumerically("<", with.inTime()/10))
	Expect(without.late).To(BeNumerically(">", without.inTime()))
})

// mixed returns prompts of three ranks from 12 workspaces; from the time surge on, workspace w00 sends seven times as many.
func mixed(interval float64, surge, end hoist.Millis) []value.Work {
	sizes := []int32{500, 2000, 9000}
	ends := []int64{15000, 3000, 5000}
	var works []value.Work
	random := rand.New(rand.NewPCG(1, 2))
	for t := 1.0; t < float64(end); t += interval {
		turn := int(t / interval)
		copies := 1
		if turn%12 == 0 && hoist.Millis(t) >= surge {
			copies = 7
		}
		for range copies {
			id, rank := uint64(len(works)+1), random.IntN(3)
			works = append(works, value.Work{}.WithId(id).WithOrigin("n").WithDatacentre("x").WithRank(int32(rank)).WithTargetMs(1200).
				WithArrivedMs(int64(t)).WithEndMs(int64(t)+ends[rank]).WithFingerprint(id).WithWorkspace(fmt.Sprintf("w%02d", turn%12)).
				WithParts(value.ListOf(value.PromptPart{}.WithId(id).WithTokens(sizes[rank]))))
		}
	}
	return works
}

// Pattern: one of 12 workspaces sends seven times its usual load to engines that are nearly full without it. Guards against a
// workspace that takes the share of the others, and against refusals that leave a rank or a workspace without any request.
var _ = It("refuses the workspace far above its share first and starves nobody", func() {
	const surge, end = 20000, 40000
	l := newLab(owned, 4, 42.8, 1, 1, 1, 1, 1, 1)
	l.run(mixed(14, surge, end), end)
	asked, granted := map[string]float64{}, map[string]float64{}
	ranks := map[int32]map[hoist.Millis]int{0: {}, 1: {}, 2: {}}
	hot := map[hoist.Millis]int{}
	for _, d := range l.granted {
		if d.at >= surge {
			asked[d.work.Workspace()]++
			granted[d.work.Workspace()]++
			ranks[d.work.Rank()][d.at/1000]++
			if d.work.Workspace() == "w00" {
				hot[d.at/1000]++
			}
		}
	}
	reasons := map[assign.Reason]int{}
	for _, d := range l.refused {
		if d.at >= surge {
			asked[d.work.Workspace()]++
			reasons[d.reason]++
		}
	}
	share := func(w string) float64 { return granted[w] / asked[w] }
	fmt.Fprintf(GinkgoWriter, "granted of w00 %.2f, of w01 %.2f, of w11 %.2f; refusals %v; late %d of %d\n", share("w00"), share("w01"), share("w11"), reasons, l.late, len(l.times))
	for i := 1; i < 12; i++ {
		Expect(share(fmt.Sprintf("w%02d", i))).To(BeNumerically(">", share("w00")))
	}
	Expect(reasons[assign.OverShare]).To(BeNumerically(">", 0))
	for second := hoist.Millis(surge / 1000); second < end/1000; second += 2 {
		Expect(hot[second] + hot[second+1]).To(BeNumerically(">", 0))
		for rank, n := range ranks {
			Expect(n[second]+n[second+1]).To(BeNumerically(">", 0), "rank %d", rank)
		}
	}
})

// Pattern: engines with a random load. Guards against a refusal of a request that would be granted if it had a lower rank.
var _ = It("refuses no request that would be granted with a lower rank", func() {
	random := rand.New(rand.NewPCG(3, 4))
	refused := 0
	for range 300 {
		l := newLab(owned, 2, 45, 1, 1, 1)
		works := map[uint64]value.Work{}
		id := uint64(0)
		submit := func(rank int32, tokens int32, workspace string) assign.Event {
			id++
			w := value.Work{}.WithId(id).WithOrigin("n").WithDatacentre("x").WithRank(rank).WithArrivedMs(1000).WithEndMs(6000).WithFingerprint(id).
				WithWorkspace(workspace).WithParts(value.ListOf(value.PromptPart{}.WithId(id).WithTokens(tokens)))
			works[id] = w
			return assign.Submitted{Work: w}
		}
		for range random.IntN(60) {
			l.decide(submit(random.Int32N(3), 1+random.Int32N(60000), fmt.Sprint(random.IntN(3))), 1000, works)
		}
		// The allowance of the kind is used up, so that only the load decides.
		for rank := range int32(3) {
			l.decide(submit(rank, 9000, "other"), 1000, works)
		}
		verdict := func(rank int32) bool {
			_, effects := l.state.Decide(submit(rank, 9000, "other"), 1000)
			_, no := effects[0].(assign.Refuse)
			return no
		}
		for rank := range int32(2) {
			if verdict(rank) {
				refused++
				Expect(verdict(rank + 1)).To(BeTrue())
			}
		}
	}
	Expect(refused).To(BeNumerically(">", 50))
})

// Pattern: demand above the capacity of engines with many slots. Guards against refusals while less than half of the slots are
// taken and nothing waits.
var _ = It("refuses nothing while less than half of the slots are taken", func() {
	l := newLab(owned, 1000, 42.8, 1, 1)
	l.run(steady(9000, 20, 12000), 12000)
	Expect(l.refused).To(BeEmpty())
	Expect(l.late).To(BeNumerically(">", 0))
})

// Pattern: callers are refused one after another and return when they are told to, while new ones ask. Guards against callers
// that return at one moment or out of order, and against new callers that take the room for which earlier ones wait.
var _ = It("lets refused callers return in the order of their first requests", func() {
	l := newLab(owned, 2, 45, 1)
	works := map[uint64]value.Work{}
	ask := func(id uint64, fingerprint uint64, now, end hoist.Millis) []assign.Effect {
		w := value.Work{}.WithId(id).WithOrigin("n").WithDatacentre("x").WithRank(2).WithArrivedMs(int64(now)).WithEndMs(int64(end)).
			WithFingerprint(fingerprint).WithWorkspace("w").WithParts(value.ListOf(value.PromptPart{}.WithId(id).WithTokens(9000)))
		works[id] = w
		var effects []assign.Effect
		l.state, effects = l.state.Decide(assign.Submitted{Work: w}, now)
		return effects
	}
	var returns []hoist.Millis
	for id := uint64(1); id <= 60; id++ {
		now := 1000 + 5*hoist.Millis(id)
		if x, refused := ask(id, id, now, now+5000)[0].(assign.Refuse); refused {
			// Nobody is asked to wait for more than a third of the time left.
			Expect(x.After).To(And(BeNumerically(">", 0), BeNumerically("<=", 5000/3)))
			returns = append(returns, now+x.After)
		}
	}
	Expect(len(returns)).To(BeNumerically(">", 20))
	for i := 1; i < len(returns); i++ {
		Expect(returns[i]).To(BeNumerically(">=", returns[i-1]-5000/48))
	}
	// A third of the backlog is gone when the first of them returns. That is enough for it, but not for a new caller after all
	// who wait.
	for id := uint64(1); id <= 8; id++ {
		l.state, _ = l.state.Decide(assign.Finished{ID: id, Result: assign.ResultCancelled}, returns[0])
	}
	first := uint64(60 - len(returns) + 1)
	isGrant := func(x assign.Effect) bool { _, ok := x.(assign.Grant); return ok }
	// The first new caller passes by the allowance of its kind.
	ask(1002, 998, returns[0], returns[0]+4000)
	Expect(isGrant(ask(1000, 999, returns[0], returns[0]+4000)[0])).To(BeFalse())
	Expect(isGrant(ask(1001, first, returns[0], returns[0]+4000)[0])).To(BeTrue())
})

// Pattern: short prompts of all ranks and long prompts of the lowest rank arrive at four times the rate of the engines, all
// with the same time left. Guards against long prompts, or a rank, of which no request is served at all.
var _ = It("grants some requests of each kind under heavy overload", func() {
	const end = 20000
	l := newLab(owned, 4, 42.8, 1, 1, 1)
	var works []value.Work
	random := rand.New(rand.NewPCG(9, 10))
	for t := 1.0; t < end; t += 8 {
		id, rank, tokens := uint64(len(works)+1), random.Int32N(3), int32(2000)
		if rank == 2 && random.IntN(2) == 0 {
			tokens = 14000
		}
		works = append(works, value.Work{}.WithId(id).WithOrigin("n").WithDatacentre("x").WithRank(rank).WithTargetMs(1000).WithWorkspace(fmt.Sprint("w", random.IntN(8))).
			WithArrivedMs(int64(t)).WithEndMs(int64(t)+3000).WithFingerprint(id).WithParts(value.ListOf(value.PromptPart{}.WithId(id).WithTokens(tokens))))
	}
	l.run(works, end)
	type kind struct {
		rank   int32
		tokens int64
	}
	kinds := map[kind]map[hoist.Millis]int{{0, 2000}: {}, {1, 2000}: {}, {2, 2000}: {}, {2, 14000}: {}}
	for _, d := range l.granted {
		kinds[kind{d.work.Rank(), labTokens(d.work)}][d.at/2000]++
	}
	for k, seconds := range kinds {
		for i := range hoist.Millis(end / 2000) {
			Expect(seconds[i]).To(BeNumerically(">", 0), "kind %v from second %d", k, 2*i)
		}
	}
	refusedOf := map[int32]int{}
	for _, d := range l.refused {
		refusedOf[d.work.Rank()]++
	}
	fmt.Fprintf(GinkgoWriter, "refused by rank %v, in time %d, late %d\n", refusedOf, l.inTime(), l.late)
	Expect(refusedOf[0]).To(BeNumerically("<", refusedOf[1]))
	Expect(refusedOf[1]).To(BeNumerically("<=", refusedOf[2]))
})

// Pattern: 24 workspaces send at one rank; then only one of them does, ten times as much, and engines are behind. Guards against
// a share that is divided among workspaces which no longer send, so that requests are refused for nobody's benefit.
var _ = It("refuses nobody for its share while no other workspace sends", func() {
	l := newLab(owned, 4, 42.8, 1, 1, 1)
	var works []value.Work
	add := func(t float64, workspace int, tokens int32) {
		id := uint64(len(works) + 1)
		works = append(works, value.Work{}.WithId(id).WithOrigin("n").WithDatacentre("x").WithRank(2).WithTargetMs(1200).WithWorkspace(fmt.Sprint("w", workspace)).
			WithArrivedMs(int64(t)).WithEndMs(int64(t)+6000).WithFingerprint(id).WithParts(value.ListOf(value.PromptPart{}.WithId(id).WithTokens(tokens))))
	}
	const alone, end = 30000, 60000
	for t := 1.0; t < alone; t += 50 {
		add(t, len(works)%24, 1000)
	}
	for t := float64(alone + 10000); t < end; t += 60 {
		add(t, 0, 9000)
	}
	l.run(works, end)
	fmt.Fprintf(GinkgoWriter, "refused %d, in time %d, late %d\n", len(l.refused), l.inTime(), l.late)
	Expect(l.refused).To(BeEmpty())
	Expect(l.late).To(BeZero())
})
