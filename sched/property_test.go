package sched_test

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/golden"
	"chicoryhoist.example/hoist/invar"
	"chicoryhoist.example/hoist/sched"
	"chicoryhoist.example/hoist/value"
)

func init() { golden.FixSeed() }

// model is a shard with its gateways and servers, as far as the invariants need them.
type model struct {
	*rapid.T
	state   sched.State
	now     hoist.Millis
	pool    value.Pool
	classes []string
	ranks   map[string]int32
	asks    []value.Ask
	// running maps an attempt to its server, tokens to its output and class to its class; settled, leaving and
	// restored are sets of settled attempts, leaving servers and attempts that an earlier owner granted.
	running  map[value.Attempt]string
	tokens   map[value.Attempt]int32
	class    map[value.Attempt]string
	settled  map[value.Attempt]bool
	leaving  map[string]bool
	restored map[value.Attempt]bool
	wasted   int64
	total    int64
}

// newModel draws a configuration.
func newModel(t *rapid.T) *model {
	m := &model{
		T: t, state: sched.New("s"), now: 100_000, ranks: map[string]int32{}, running: map[value.Attempt]string{},
		tokens: map[value.Attempt]int32{}, class: map[value.Attempt]string{}, settled: map[value.Attempt]bool{},
		leaving: map[string]bool{}, restored: map[value.Attempt]bool{},
	}
	snapshot := value.Snapshot{}.WithPolicy(value.Policy{}.WithLongAfterTokens(300))
	for r := int32(1); r <= 3; r++ {
		tier := fmt.Sprint("t", r)
		snapshot = snapshot.WithTiers(snapshot.Tiers().Append(value.Tier{}.WithName(tier).WithRank(r)))
		for k := range rapid.IntRange(1, 2).Draw(t, "classes") {
			name := fmt.Sprint("c", r, k)
			m.classes, m.ranks[name] = append(m.classes, name), r
			snapshot = snapshot.WithClasses(snapshot.Classes().Append(value.Class{}.WithName(name).WithTier(tier).
				WithFirstTokenMs(rapid.Int64Range(200, 3000).Draw(t, "target")).WithBatch(rapid.Bool().Draw(t, "batch")).
				WithFloorPermille(rapid.Int32Range(0, 100).Draw(t, "floor")).WithMaxWaitMs(60_000)))
		}
	}
	m.pool = value.Pool{}.WithName("p").WithKind(value.PoolKindEngine).WithSlots(rapid.Int32Range(1, 5).Draw(t, "slots")).
		WithReservedSlots(rapid.Int32Range(0, 2).Draw(t, "reserved")).WithLongCap(rapid.Int32Range(0, 2).Draw(t, "cap")).WithTokensPerSecond(30)
	var servers []value.Instance
	for i := range rapid.IntRange(1, 4).Draw(t, "servers") {
		servers = append(servers, value.Instance{}.WithName(fmt.Sprint("v", i)))
	}
	m.decide(sched.Configured{View: config.NewView(snapshot, 1), Pool: m.pool, Instances: value.ListOf(servers...)})
	return m
}

// decide applies the event and checks every effect. A second run on the same state must give the same effects.
func (m *model) decide(e sched.Event) {
	next, effects := m.state.Decide(e, m.now)
	if _, again := m.state.Decide(e, m.now); !reflect.DeepEqual(effects, again) {
		m.Fatalf("not deterministic: %v then %v", effects, again)
	}
	m.state = next
	for _, x := range effects {
		switch x := x.(type) {
		case value.Grant:
			m.granted(x)
		case value.Refusal:
			m.settle(x.Attempt())
		case value.Preempt:
			m.preempted(x.Attempt())
		case value.Query:
		}
	}
	if at, ok := next.Wake(); ok && at <= m.now {
		if _, ticked := e.(sched.Ticked); ticked {
			m.Fatalf("asks for a tick at %d although it was ticked at %d", at, m.now)
		}
	}
}

func (m *model) granted(g value.Grant) {
	a := g.Attempt()
	if m.settled[a] || m.running[a] != "" {
		m.Fatalf("second answer for %v", a)
	}
	if m.leaving[g.Server()] {
		m.Fatalf("grant on the leaving %s", g.Server())
	}
	m.running[a] = g.Server()
	n := int32(0)
	for _, s := range m.running {
		if s == g.Server() {
			n++
		}
	}
	if n > m.pool.Slots() && len(m.restored) == 0 {
		m.Fatalf("%d attempts on %d slots of %s", n, m.pool.Slots(), g.Server())
	}
}

func (m *model) settle(a value.Attempt) {
	if m.settled[a] || m.running[a] != "" {
		m.Fatalf("rejection of the settled or running %v", a)
	}
	m.settled[a] = true
}

// preempted checks the waste budget: at most 2% of the tokens that the shard has generated.
func (m *model) preempted(a value.Attempt) {
	if m.running[a] == "" || m.tokens[a] <= 300 {
		m.Fatalf("preempts %v, which is not long", a)
	}
	m.wasted += int64(m.tokens[a])
	if m.wasted*50 > m.total {
		m.Fatalf("wastes %d of %d tokens", m.wasted, m.total)
	}
}

func (m *model) ask() {
	class := rapid.SampledFrom(m.classes).Draw(m.T, "class")
	a := value.Attempt{}.WithIncarnation(rapid.Uint64Range(1, 3).Draw(m.T, "gateway")).WithRequest(uint64(len(m.asks))).WithNumber(1)
	x := value.Ask{}.WithAttempt(a).WithClass(class).WithRepeatable(true).WithWaitedMs(rapid.Int64Range(0, 300).Draw(m.T, "waited")).
		WithAlone(rapid.IntRange(0, 30).Draw(m.T, "alone") == 0).WithHedge(rapid.IntRange(0, 20).Draw(m.T, "hedge") == 0)
	if rapid.IntRange(0, 9).Draw(m.T, "resumes") == 0 {
		x = x.WithResumedTokens(rapid.Int32Range(1, 900).Draw(m.T, "resumed"))
	}
	m.class[a] = class
	m.asks = append(m.asks, x)
	m.decide(sched.MessageReceived{Body: x})
}

// pick draws one of the matching requests. The candidates are in the order of the placement requests, so that a seed
// repeats a run.
func (m *model) pick(matches func(value.Attempt) bool) (value.Ask, bool) {
	var found []value.Ask
	for _, x := range m.asks {
		if matches(x.Attempt()) {
			found = append(found, x)
		}
	}
	if len(found) == 0 {
		return value.Ask{}, false
	}
	return found[rapid.IntRange(0, len(found)-1).Draw(m.T, "which")], true
}

func (m *model) isRunning(a value.Attempt) bool { return m.running[a] != "" }

func (m *model) progress() {
	x, ok := m.pick(m.isRunning)
	if !ok {
		return
	}
	a, n := x.Attempt(), rapid.Int32Range(0, 400).Draw(m.T, "tokens")
	m.tokens[a] += n
	m.total += int64(n)
	p := value.Progress{}.WithAttempt(a).WithTokens(m.tokens[a]).WithFirstTokenMs(20)
	m.decide(sched.MessageReceived{Body: p})
	m.decide(sched.MessageReceived{Body: p})
	m.decide(sched.MessageReceived{Body: p.WithTokens(m.tokens[a] / 2)})
}

func (m *model) end() {
	x, ok := m.pick(m.isRunning)
	if !ok {
		return
	}
	a := x.Attempt()
	m.finish(a)
	e := value.End{}.WithAttempt(a).WithTokens(m.tokens[a]).WithKind(rapid.SampledFrom([]value.EndKind{
		value.EndKindFinished, value.EndKindCancelled, value.EndKindPreempted, value.EndKindRefused, value.EndKindCrashed,
	}).Draw(m.T, "kind"))
	m.decide(sched.MessageReceived{Body: e})
	m.decide(sched.MessageReceived{Body: e})
	m.decide(sched.MessageReceived{Body: x})
	m.decide(sched.MessageReceived{Body: value.Holding{}.WithAsk(x).WithServer("v0")})
}

func (m *model) finish(a value.Attempt) {
	delete(m.running, a)
	delete(m.restored, a)
	m.settled[a] = true
}

func (m *model) withdraw() {
	if x, ok := m.pick(func(a value.Attempt) bool { return !m.settled[a] }); ok {
		m.finish(x.Attempt())
		m.decide(sched.MessageReceived{Body: value.Withdraw{}.WithAttempt(x.Attempt())})
	}
}

// holding reports an attempt that an earlier owner granted.
func (m *model) holding() {
	x := value.Ask{}.WithAttempt(value.Attempt{}.WithIncarnation(4).WithRequest(uint64(len(m.asks))).WithNumber(1)).
		WithClass(m.classes[0]).WithRepeatable(true)
	m.asks = append(m.asks, x)
	m.class[x.Attempt()], m.running[x.Attempt()], m.restored[x.Attempt()] = m.classes[0], "v0", true
	h := sched.MessageReceived{Body: value.Holding{}.WithAsk(x).WithServer("v0")}
	m.decide(h)
	m.decide(h)
}

func (m *model) lose() {
	gateway := rapid.Uint64Range(1, 4).Draw(m.T, "gateway")
	for _, x := range m.asks {
		if x.Attempt().Incarnation() == gateway && m.running[x.Attempt()] != "" {
			m.finish(x.Attempt())
		}
	}
	m.decide(sched.GatewayLost{Incarnation: gateway})
}

// acquire lets the shard change its owner: queued requests move, and the gateways report the running attempts.
func (m *model) acquire() {
	m.decide(sched.ShardAcquired{})
	for _, x := range m.asks {
		if a := x.Attempt(); m.running[a] != "" {
			m.decide(sched.MessageReceived{Body: value.Holding{}.WithAsk(x).WithServer(m.running[a]).WithTokens(m.tokens[a])})
		}
	}
}

func (m *model) depart() {
	if n := fmt.Sprint("v", rapid.IntRange(1, 3).Draw(m.T, "server")); rapid.IntRange(0, 9).Draw(m.T, "leaves") == 0 {
		m.leaving[n] = true
		m.decide(sched.ServerLeaving{Server: n})
	}
}

func (m *model) tick() {
	m.now += hoist.Millis(rapid.Int64Range(1, 400).Draw(m.T, "pause"))
	m.decide(sched.Ticked{})
}

// check compares the state with the model.
func (m *model) check() {
	if got := int(m.state.Backlog().Busy()); got != len(m.running) {
		m.Fatalf("%d jobs, but %d attempts run", got, len(m.running))
	}
	waiting := 0
	for x := range m.state.Queue().All() {
		waiting++
		if m.settled[x.Ask().Attempt()] || m.running[x.Ask().Attempt()] != "" {
			m.Fatalf("%v waits although it was answered", x.Ask().Attempt())
		}
	}
	if waiting+len(m.running)+len(m.settled) != len(m.asks) {
		m.Fatalf("%d waiting, %d running and %d settled of %d requests", waiting, len(m.running), len(m.settled), len(m.asks))
	}
}

// TestInvariants guards against lost or repeated answers to placement requests, leaked slots, too much waste and a
// broken tier order, which occur when messages are late, repeated or reordered.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		violations := ""
		defer invar.Attach(func(c invar.Invariant, d string) { violations += c.String() + ": " + d + "\n" })()
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) {
				m.check()
				if violations != "" {
					t.Fatal(violations)
				}
			},
			"ask": func(t *rapid.T) { m.T = t; m.ask() }, "ask again": func(t *rapid.T) { m.T = t; m.ask() },
			"progress": func(t *rapid.T) { m.T = t; m.progress() }, "end": func(t *rapid.T) { m.T = t; m.end() },
			"withdraw": func(t *rapid.T) { m.T = t; m.withdraw() }, "holding": func(t *rapid.T) { m.T = t; m.holding() },
			"lost": func(t *rapid.T) { m.T = t; m.lose() }, "departed": func(t *rapid.T) { m.T = t; m.depart() },
			"tick": func(t *rapid.T) { m.T = t; m.tick() }, "acquired": func(t *rapid.T) { m.T = t; m.acquire() },
		})
	})
}

// TestWaitBound guards against starvation of the lowest class, which occurs when a higher tier offers at least
// twice the load that the shard can serve. The class must be served within its stated bound.
func TestWaitBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := value.Snapshot{}.WithTiers(value.ListOf(value.Tier{}.WithName("a").WithRank(1), value.Tier{}.WithName("b").WithRank(2))).
			WithClasses(value.ListOf(
				value.Class{}.WithName("high").WithTier("a").WithFirstTokenMs(700),
				value.Class{}.WithName("low").WithTier("b").WithFirstTokenMs(700).WithBatch(rapid.Bool().Draw(t, "batch")).
					WithFloorPermille(rapid.Int32Range(50, 300).Draw(t, "floor")).WithMaxWaitMs(1_000_000)))
		slots := rapid.Int32Range(2, 8).Draw(t, "slots")
		pool := value.Pool{}.WithName("p").WithKind(value.PoolKindEngine).WithSlots(slots).WithTokensPerSecond(50).
			WithReservedSlots(rapid.Int32Range(0, 1).Draw(t, "reserved"))
		m := &model{T: t, now: 1000}
		s, _ := sched.New("s").Decide(sched.Configured{
			View: config.NewView(snapshot, 1), Pool: pool, Instances: value.ListOf(value.Instance{}.WithName("v0"), value.Instance{}.WithName("v1")),
		}, m.now)
		type run struct{ tokens, output int32 }
		runs, order := map[value.Attempt]run{}, []value.Attempt{}
		var next uint64
		var lastServed, lastFreed, maxSlotGap, longestWait hoist.Millis = m.now, m.now, 0, 0
		apply := func(e sched.Event) {
			var effects []sched.Effect
			s, effects = s.Decide(e, m.now)
			for _, x := range effects {
				g, ok := x.(value.Grant)
				if !ok {
					continue
				}
				runs[g.Attempt()] = run{output: 5 * rapid.Int32Range(2, 40).Draw(t, "output")}
				order = append(order, g.Attempt())
				if g.Priority() == 2 {
					longestWait, lastServed = max(longestWait, m.now-lastServed), m.now
				}
			}
		}
		send := func(class string) {
			next++
			apply(sched.MessageReceived{Body: value.Ask{}.WithAttempt(value.Attempt{}.WithRequest(next)).WithClass(class)})
		}
		for range 2 * slots {
			send("high")
		}
		for range 600 {
			m.now += 100
			send("low")
			for range slots/4 + 1 {
				send("high")
			}
			var unfinished []value.Attempt
			for _, a := range order {
				r := runs[a]
				r.tokens += 5
				runs[a] = r
				if r.tokens < r.output {
					apply(sched.MessageReceived{Body: value.Progress{}.WithAttempt(a).WithTokens(r.tokens)})
					unfinished = append(unfinished, a)
				}
			}
			reported := order
			order = unfinished
			for _, a := range reported {
				if r := runs[a]; r.tokens >= r.output {
					maxSlotGap, lastFreed = max(maxSlotGap, m.now-lastFreed), m.now
					apply(sched.MessageReceived{Body: value.End{}.WithAttempt(a).WithTokens(r.tokens).WithKind(value.EndKindFinished)})
				}
			}
			apply(sched.Ticked{})
		}
		longestWait = max(longestWait, m.now-lastServed)
		bound, ok := s.WaitBound("low", maxSlotGap)
		if !ok || longestWait > bound {
			t.Fatalf("waits %d ms, bound %d ms at a slot gap of %d ms", longestWait, bound, maxSlotGap)
		}
	})
}
