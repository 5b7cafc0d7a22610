package assign_test

import (
	"cmp"
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/assign"
	"chicoryhoist.example/hoist/value"
)

// labEngine is a simulated engine that computes one prompt at a time, those of higher ranks first.
type labEngine struct {
	// rate is the number of prompt tokens computed in a millisecond.
	rate  float64
	queue []value.Work
	// current is the prompt that is computed until busyUntil, or has ID 0.
	current   value.Work
	busyUntil hoist.Millis
	tokens    int64
}

// step starts the next prompt and returns the ID of the one that has ended, or 0.
func (e *labEngine) step(now hoist.Millis) uint64 {
	var ended uint64
	if e.current.Id() != 0 && now >= e.busyUntil {
		ended, e.current = e.current.Id(), value.Work{}
	}
	if e.current.Id() == 0 && len(e.queue) > 0 {
		slices.SortStableFunc(e.queue, func(a, b value.Work) int { return cmp.Compare(a.Rank(), b.Rank()) })
		e.current, e.queue = e.queue[0], e.queue[1:]
		e.busyUntil = now + hoist.Millis(float64(labTokens(e.current))/e.rate)
	}
	return ended
}

// labTokens returns the length of the prompt.
func labTokens(w value.Work) int64 {
	var n int64
	for p := range w.Parts().All() {
		n += int64(p.Tokens())
	}
	return n
}

// lab drives a state with simulated engines.
type lab struct {
	state   assign.State
	engines map[string]*labEngine
	// times are the times to the first event, and late is the number of first events after the deadline.
	times []hoist.Millis
	late  int
	// granted and refused are the requests with these decisions, by the IDs of their first attempts if callers return.
	granted, refused []decision
	// returns is set if refused callers return once, after the time that the refusal says.
	returns  bool
	returned []value.Work
}

// decision is a decision about a request.
type decision struct {
	work   value.Work
	at     hoist.Millis
	server string
	reason assign.Reason
}

// returnedID is added to the ID of a request whose caller returns.
const returnedID = 1 << 32

// decide applies an event and passes the granted requests to the engines.
func (l *lab) decide(e assign.Event, now hoist.Millis, works map[uint64]value.Work) {
	var effects []assign.Effect
	l.state, effects = l.state.Decide(e, now)
	for _, x := range effects {
		switch x := x.(type) {
		case assign.Grant:
			g := l.engines[x.Server.Id()]
			g.queue = append(g.queue, works[x.ID])
			g.tokens += labTokens(works[x.ID])
			l.granted = append(l.granted, decision{work: works[x.ID], at: now, server: x.Server.Id()})
		case assign.Refuse:
			w := works[x.ID]
			l.refused = append(l.refused, decision{work: w, at: now, reason: x.Reason})
			if l.returns && w.Id() < returnedID {
				w = w.WithId(w.Id() + returnedID).WithArrivedMs(int64(now + x.After))
				works[w.Id()] = w
				l.returned = append(l.returned, w)
				slices.SortStableFunc(l.returned, func(a, b value.Work) int { return cmp.Compare(a.ArrivedMs(), b.ArrivedMs()) })
			}
		case assign.Queued, assign.TakenCold:
		}
	}
}

// run submits the requests, which are sorted by arrival, and advances the time until the end.
func (l *lab) run(works []value.Work, end hoist.Millis) {
	byID := map[uint64]value.Work{}
	for _, w := range works {
		byID[w.Id()] = w
	}
	names := make([]string, 0, len(l.engines))
	for n := range l.engines {
		names = append(names, n)
	}
	slices.Sort(names)
	for now := hoist.Millis(1); now < end; now++ {
		for _, n := range names {
			if id := l.engines[n].step(now); id != 0 {
				l.times = append(l.times, now-hoist.Millis(byID[id].ArrivedMs()))
				if now > hoist.Millis(byID[id].EndMs()) {
					l.late++
				}
				l.decide(assign.Responded{ID: id}, now, byID)
				l.decide(assign.Finished{ID: id, Result: assign.ResultOK}, now, byID)
			}
		}
		for len(l.returned) > 0 && hoist.Millis(l.returned[0].ArrivedMs()) <= now {
			w := l.returned[0]
			l.returned = l.returned[1:]
			l.decide(assign.Submitted{Work: w}, now, byID)
		}
		for len(works) > 0 && hoist.Millis(works[0].ArrivedMs()) <= now {
			l.decide(assign.Submitted{Work: works[0]}, now, byID)
			works = works[1:]
		}
	}
}

// newLab returns a lab with engines in data centre x; speeds multiply the processing time at the usual rate.
func newLab(rules assign.Rules, slots int32, rate float64, speeds ...float64) *lab {
	l := &lab{state: assign.New(), engines: map[string]*labEngine{}}
	var list []value.BackendServer
	for i, f := range speeds {
		id := fmt.Sprintf("s%02d", i)
		l.engines[id] = &labEngine{rate: rate / f}
		list = append(list, value.BackendServer{}.WithId(id).WithDatacentre("x").WithSlots(slots))
	}
	l.state, _ = l.state.Decide(assign.ServersUpdated{Servers: value.ListOf(list...)}, 0)
	l.state, _ = l.state.Decide(assign.RulesChanged{Rules: rules}, 0)
	return l
}

// steady returns prompts without shared parts that arrive at equal intervals.
func steady(tokens int32, interval float64, end hoist.Millis) []value.Work {
	var works []value.Work
	for t := 1.0; t < float64(end); t += interval {
		id := uint64(len(works) + 1)
		works = append(works, value.Work{}.WithId(id).WithOrigin("n").WithDatacentre("x").WithRank(2).WithTargetMs(1200).
			WithArrivedMs(int64(t)).WithEndMs(int64(t)+6000).WithParts(value.ListOf(value.PromptPart{}.WithId(id).WithTokens(tokens))))
	}
	return works
}

// Pattern: engines of the speeds 0.6, 1.0 and 1.6 under steady demand, reporting no slowness. Guards against a cost that
// takes all engines for equally fast, so that slow ones get prompts which a fast one with a longer queue would begin earlier.
var _ = DescribeTable("the share of work follows the speed", func(load, atLeast, atMost float64) {
	const rate, tokens, end = 42.8, 4000, 60000
	speeds := []float64{0.6, 1.0, 1.6, 0.6, 1.0, 1.6}
	capacity := 0.0
	for _, f := range speeds {
		capacity += rate / f
	}
	shares := func(rules assign.Rules) (slow, fast float64, mean float64) {
		l := newLab(rules, 64, rate, speeds...)
		l.run(steady(tokens, tokens/(capacity*load), end), end)
		var total float64
		for _, e := range l.engines {
			total += float64(e.tokens)
		}
		for _, t := range l.times {
			mean += float64(t) / float64(len(l.times))
		}
		return float64(l.engines["s02"].tokens+l.engines["s05"].tokens) / total, float64(l.engines["s00"].tokens+l.engines["s03"].tokens) / total, mean
	}
	slow, fast, mean := shares(assign.Rules{Engines: true, Speeds: true, Owner: true})
	oldSlow, oldFast, oldMean := shares(assign.Rules{})
	fmt.Fprintf(GinkgoWriter, "load %.2f: slow %.3f (was %.3f), fast %.3f (was %.3f), mean %.0f ms (was %.0f ms)\n", load, slow, oldSlow, fast, oldFast, mean, oldMean)
	// The slowest servers have 1/1.6 / (1/0.6+1/1.0+1/1.6) = 19% of the speed, the fastest 51%.
	Expect(slow).To(And(BeNumerically(">=", atLeast), BeNumerically("<=", atMost)))
	Expect(oldSlow).To(BeNumerically(">", atMost))
	Expect(fast).To(BeNumerically(">", oldFast))
	Expect(mean).To(BeNumerically("<", oldMean))
},
	Entry("at 30% of the capacity", 0.3, 0.0, 0.19),
	Entry("at 50% of the capacity", 0.5, 0.0, 0.19),
	Entry("at 70% of the capacity", 0.7, 0.0, 0.19),
	Entry("at 90% of the capacity", 0.9, 0.05, 0.19),
)

// Pattern: an owner that knows nothing places prompts at engines of three speeds near their capacity. Guards against a model
// that takes longer than a few seconds to tell the speeds apart.
var _ = It("learns the speeds within seconds", func() {
	const rate, tokens, end = 42.8, 4000, 5000
	speeds := []float64{0.6, 1.0, 1.6, 0.6, 1.0, 1.6}
	capacity := 0.0
	for _, f := range speeds {
		capacity += rate / f
	}
	l := newLab(owned, 64, rate, speeds...)
	l.run(steady(tokens, tokens/(capacity*0.95), end), end)
	learned, models := l.state.Models()
	fmt.Fprintf(GinkgoWriter, "rate %.1f, factors %v\n", learned, models)
	for _, fast := range []int{0, 3} {
		for _, usual := range []int{1, 4} {
			for _, slow := range []int{2, 5} {
				Expect(models[fast].Factor).To(BeNumerically("<", 0.9*models[usual].Factor))
				Expect(models[usual].Factor).To(BeNumerically("<", 0.9*models[slow].Factor))
			}
		}
	}
})

// Pattern: one of four engines reports in each response that it is ten thousand times as slow as usual. Guards against a rate
// of the shard, and against factors of the other engines, that the false reports of one of them decide.
var _ = It("bounds what a falsely reported slowness teaches", func() {
	l := newLab(owned, 64, 42.8, 1, 1, 1, 1)
	names := []string{}
	for x := range l.state.Servers() {
		names = append(names, x.Id())
	}
	id := uint64(0)
	for now := hoist.Millis(1000); now < 60000; now += 100 {
		for _, name := range names {
			id++
			load := value.ServerLoad{}.WithRunning(1).WithSlots(64).WithSlowness(100)
			if name == names[0] {
				load = load.WithSlowness(1000000)
			}
			var avoid []string
			for _, other := range names {
				if other != name {
					avoid = append(avoid, other)
				}
			}
			w := value.Work{}.WithId(id).WithOrigin("n").WithDatacentre("x").WithRank(2).WithArrivedMs(int64(now)).WithEndMs(int64(now) + 6000).
				WithAvoid(value.ListOf(avoid...)).WithParts(value.ListOf(value.PromptPart{}.WithId(id).WithTokens(4280)))
			l.state, _ = l.state.Decide(assign.Submitted{Work: w}, now)
			// Each engine needs 100 ms.
			l.state, _ = l.state.Decide(assign.Responded{ID: id, Load: load, Loaded: true}, now+100)
			l.state, _ = l.state.Decide(assign.Finished{ID: id, Result: assign.ResultOK}, now+100)
		}
	}
	rate, models := l.state.Models()
	fmt.Fprintf(GinkgoWriter, "rate %.1f, models %v\n", rate, models)
	Expect(rate).To(And(BeNumerically(">", 42.8/2), BeNumerically("<", 42.8*2)))
	for _, m := range models {
		if m.Server != names[0] {
			Expect(m.Factor).To(And(BeNumerically(">", 0.5), BeNumerically("<", 2)))
			// The time that an engine takes for a token is learned in any case.
			Expect(m.Factor / rate * 42.8).To(BeNumerically("~", 1, 0.2))
		}
	}
})
