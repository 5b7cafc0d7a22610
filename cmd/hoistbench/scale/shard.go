package scale

import (
	"fmt"
	"io"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/sched"
	"chicoryhoist.example/hoist/value"
)

const (
	// slots is the number of requests that a model server runs at once.
	slots = 16
	// requests is the number of requests that one measurement schedules.
	requests = 20_000
	// progressReports is the number of progress reports of one request with 220 tokens.
	progressReports = 4
)

// tiered returns a configuration with a class in each of 6 tiers and one engine pool.
func tiered() *config.View {
	s := value.Snapshot{}.WithGeneration(1)
	for rank := range int32(6) {
		name := fmt.Sprintf("tier-%d", rank+1)
		s = s.WithTiers(s.Tiers().Append(value.Tier{}.WithName(name).WithRank(rank + 1)))
		s = s.WithClasses(s.Classes().Append(value.Class{}.WithName(name).WithTier(name).
			WithFirstTokenMs(690).WithInterTokenMs(33).WithFloorPermille(20).WithMaxWaitMs(60_000).WithBatch(rank > 3)))
	}
	s = s.WithModels(value.ListOf(value.Model{}.WithName("model")))
	return config.NewView(s.WithPools(value.ListOf(enginePool())), 1)
}

// enginePool returns the pool of the measured shard.
func enginePool() value.Pool {
	return value.Pool{}.WithName("assistant").WithKind(value.PoolKindEngine).WithModels(value.ListOf("model")).
		WithSlots(slots).WithLongCap(4).WithReservedSlots(2).WithTokensPerSecond(30)
}

// load drives the scheduling state of one shard with a steady load and a waiting queue.
type load struct {
	state   sched.State
	now     hoist.Millis
	last    uint64
	running []value.Attempt
	events  int
}

// newLoad returns a shard with n servers whose slots are all in use.
func newLoad(n int) *load {
	l := &load{state: sched.New("assistant/region/0"), now: 1_000_000}
	var servers []value.Instance
	for i := range n {
		servers = append(servers, value.Instance{}.WithName(fmt.Sprintf("server-%02d", i)).WithKind("engine").
			WithAddress(fmt.Sprintf("10.0.0.%d:80", i)).WithPool("assistant").WithRegion("region").WithDatacentre("centre"))
	}
	l.decide(sched.Configured{View: tiered(), Pool: enginePool(), Instances: value.ListOf(servers...)})
	for range n * slots * 5 / 4 {
		l.ask()
	}
	return l
}

// decide passes an event to the shard and notes what it grants.
func (l *load) decide(e sched.Event) {
	state, effects := l.state.Decide(e, l.now)
	l.state = state
	l.events++
	for _, x := range effects {
		if g, ok := x.(value.Grant); ok {
			l.running = append(l.running, g.Attempt())
		}
	}
}

// ask adds a request; the tiers take turns.
func (l *load) ask() {
	l.last++
	a := value.Ask{}.WithAttempt(value.Attempt{}.WithIncarnation(1).WithRequest(l.last).WithNumber(1)).
		WithShard("assistant/region/0").WithClass(fmt.Sprintf("tier-%d", l.last%6+1)).WithWorkspace("w").WithModel("model").
		WithPrefixes(value.ListOf(l.last%64, l.last%512, l.last)).WithFingerprint(l.last).WithPromptTokens(300).
		WithRepeatable(true).WithDatacentre("centre")
	l.decide(sched.MessageReceived{Body: a})
}

// turn ends the oldest request and asks for a new one, with the progress reports in between.
func (l *load) turn() {
	l.now += 3
	if len(l.running) == 0 {
		l.ask()
		return
	}
	first := l.running[0]
	l.running = l.running[1:]
	for i := range int32(progressReports) {
		p := value.Progress{}.WithAttempt(first).WithTokens(i*64 + 1).WithFirstTokenMs(80).WithInterTokenMs(30)
		l.decide(sched.MessageReceived{Body: p})
	}
	l.decide(sched.MessageReceived{Body: value.End{}.WithAttempt(first).WithKind(value.EndKindFinished).WithTokens(220)})
	l.ask()
}

// shards measures the scheduling of one shard against its number of servers.
func shards(w io.Writer) {
	for _, n := range []int{12, 20, 32} {
		var l *load
		held := measure(func() any {
			l = newLoad(n)
			return l
		})
		c := measure(func() any {
			for range requests {
				l.turn()
			}
			return l
		})
		name := fmt.Sprintf("shard.%d", n)
		report(w, name+".processor", c.nanos/requests/1000, "us/request")
		report(w, name+".memory", held.bytes/(1<<10), "KiB")
		report(w, name+".queue", float64(l.state.Queue().Len()), "requests")
	}
}
