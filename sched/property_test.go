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

// world is a shard with the gateways and servers around it, as far as the invariants need them.
type world struct {
	*rapid.T
	state   sched.State
	now     hoist.Millis
	pool    value.Pool
	classes []string
	ranks   map[string]int32
	asks    []value.Ask
	// running maps an attempt to its server, tokens to its output, long to the attempts granted as long.
	running  map[value.Attempt]string
	tokens   map[value.Attempt]int32
	class    map[value.Attempt]string
	settled  map[value.Attempt]bool
	departed map[string]bool
	held     map[value.Attempt]bool
	wasted   int64
	total    int64
}

// newWorld draws a configuration.
func newWorld(t *rapid.T) *world {
	w := &world{
		T: t, state: sched.New("s"), now: 100_000, ranks: map[string]int32{}, running: map[value.Attempt]string{},
		tokens: map[value.Attempt]int32{}, class: map[value.Attempt]string{}, settled: map[value.Attempt]bool{},
		departed: map[string]bool{}, held: map[value.Attempt]bool{},
	}
	snapshot := value.Snapshot{}.WithPolicy(value.Policy{}.WithLongAfterTokens(300))
	for r := int32(1); r <= 3; r++ {
		tier := fmt.Sprint("t", r)
		snapshot = snapshot.WithTiers(snapshot.Tiers().Append(value.Tier{}.WithName(tier).WithRank(r)))
		for k := range rapid.IntRange(1, 2).Draw(t, "classes") {
			name := fmt.Sprint("c", r, k)
			w.classes, w.ranks[name] = append(w.classes, name), r
			snapshot = snapshot.WithClasses(snapshot.Classes().Append(value.Class{}.WithName(name).WithTier(tier).
				WithFirstTokenMs(rapid.Int64Range(200, 3000).Draw(t, "target")).WithBatch(rapid.Bool().Draw(t, "batch")).
				WithFloorPermille(rapid.Int32Range(0, 100).Draw(t, "floor")).WithMaxWaitMs(60_000)))
		}
	}
	w.pool = value.Pool{}.WithName("p").WithKind(value.PoolKindEngine).WithSlots(rapid.Int32Range(1, 5).Draw(t, "slots")).
		WithReservedSlots(rapid.Int32Range(0, 2).Draw(t, "reserved")).WithLongCap(rapid.Int32Range(0, 2).Draw(t, "cap")).WithTokensPerSecond(30)
	var servers []value.Instance
	for i := range rapid.IntRange(1, 4).Draw(t, "servers") {
		servers = append(servers, value.Instance{}.WithName(fmt.Sprint("v", i)))
	}
	w.decide(sched.Configured{View: config.NewView(snapshot, 1), Pool: w.pool, Instances: value.ListOf(servers...)})
	return w
}

// decide applies the event and checks every effect; a second run on the same state must give the same effects.
func (w *world) decide(e sched.Event) {
	next, effects := w.state.Decide(e, w.now)
	if _, again := w.state.Decide(e, w.now); !reflect.DeepEqual(effects, again) {
		w.Fatalf("not deterministic: %v then %v", effects, again)
	}
	w.state = next
	for _, x := range effects {
		switch x := x.(type) {
		case value.Grant:
			w.granted(x)
		case value.Refusal:
			w.settle(x.Attempt())
		case value.Preempt:
			w.preempted(x.Attempt())
		case value.Query:
		}
	}
	if at, ok := next.Wake(); ok && at <= w.now {
		if _, ticked := e.(sched.Ticked); ticked {
			w.Fatalf("asks for a tick at %d although it was ticked at %d", at, w.now)
		}
	}
}

func (w *world) granted(g value.Grant) {
	a := g.Attempt()
	if w.settled[a] || w.running[a] != "" {
		w.Fatalf("second answer to %v", a)
	}
	if w.departed[g.Server()] {
		w.Fatalf("grant on departed %s", g.Server())
	}
	w.running[a] = g.Server()
	n := int32(0)
	for _, s := range w.running {
		if s == g.Server() {
			n++
		}
	}
	if n > w.pool.Slots() && len(w.held) == 0 {
		w.Fatalf("%d attempts on %d slots of %s", n, w.pool.Slots(), g.Server())
	}
}

func (w *world) settle(a value.Attempt) {
	if w.settled[a] || w.running[a] != "" {
		w.Fatalf("refusal of the settled or running %v", a)
	}
	w.settled[a] = true
}

// preempted checks the waste bound: at most 2% of the tokens that the shard has generated.
func (w *world) preempted(a value.Attempt) {
	if w.running[a] == "" || w.tokens[a] <= 300 {
		w.Fatalf("preempts %v, which is not long", a)
	}
	w.wasted += int64(w.tokens[a])
	if w.wasted*50 > w.total {
		w.Fatalf("wastes %d of %d tokens", w.wasted, w.total)
	}
}

func (w *world) ask() {
	class := rapid.SampledFrom(w.classes).Draw(w.T, "class")
	a := value.Attempt{}.WithIncarnation(rapid.Uint64Range(1, 3).Draw(w.T, "gateway")).WithRequest(uint64(len(w.asks))).WithNumber(1)
	x := value.Ask{}.WithAttempt(a).WithClass(class).WithRepeatable(true).WithWaitedMs(rapid.Int64Range(0, 300).Draw(w.T, "waited")).
		WithAlone(rapid.IntRange(0, 30).Draw(w.T, "alone") == 0).WithHedge(rapid.IntRange(0, 20).Draw(w.T, "hedge") == 0)
	if rapid.IntRange(0, 9).Draw(w.T, "resumes") == 0 {
		x = x.WithResumedTokens(rapid.Int32Range(1, 900).Draw(w.T, "resumed"))
	}
	w.class[a] = class
	w.asks = append(w.asks, x)
	w.decide(sched.MessageReceived{Body: x})
}

// any returns a request, known to be drawn in the order of asks so that a seed repeats.
func (w *world) any(of func(value.Attempt) bool) (value.Ask, bool) {
	var found []value.Ask
	for _, x := range w.asks {
		if of(x.Attempt()) {
			found = append(found, x)
		}
	}
	if len(found) == 0 {
		return value.Ask{}, false
	}
	return found[rapid.IntRange(0, len(found)-1).Draw(w.T, "which")], true
}

func (w *world) isRunning(a value.Attempt) bool { return w.running[a] != "" }

func (w *world) progress() {
	x, ok := w.any(w.isRunning)
	if !ok {
		return
	}
	a, n := x.Attempt(), rapid.Int32Range(0, 400).Draw(w.T, "tokens")
	w.tokens[a] += n
	w.total += int64(n)
	p := value.Progress{}.WithAttempt(a).WithTokens(w.tokens[a]).WithFirstTokenMs(20)
	w.decide(sched.MessageReceived{Body: p})
	w.decide(sched.MessageReceived{Body: p})
	w.decide(sched.MessageReceived{Body: p.WithTokens(w.tokens[a] / 2)})
}

func (w *world) end() {
	x, ok := w.any(w.isRunning)
	if !ok {
		return
	}
	a := x.Attempt()
	w.finish(a)
	e := value.End{}.WithAttempt(a).WithTokens(w.tokens[a]).WithKind(rapid.SampledFrom([]value.EndKind{
		value.EndKindFinished, value.EndKindCancelled, value.EndKindPreempted, value.EndKindRefused, value.EndKindCrashed,
	}).Draw(w.T, "kind"))
	w.decide(sched.MessageReceived{Body: e})
	w.decide(sched.MessageReceived{Body: e})
	w.decide(sched.MessageReceived{Body: x})
	w.decide(sched.MessageReceived{Body: value.Holding{}.WithAsk(x).WithServer("v0")})
}

func (w *world) finish(a value.Attempt) {
	delete(w.running, a)
	delete(w.held, a)
	w.settled[a] = true
}

func (w *world) withdraw() {
	if x, ok := w.any(func(a value.Attempt) bool { return !w.settled[a] }); ok {
		w.finish(x.Attempt())
		w.decide(sched.MessageReceived{Body: value.Withdraw{}.WithAttempt(x.Attempt())})
	}
}

// holding reports an attempt that an earlier owner granted.
func (w *world) holding() {
	x := value.Ask{}.WithAttempt(value.Attempt{}.WithIncarnation(4).WithRequest(uint64(len(w.asks))).WithNumber(1)).
		WithClass(w.classes[0]).WithRepeatable(true)
	w.asks = append(w.asks, x)
	w.class[x.Attempt()], w.running[x.Attempt()], w.held[x.Attempt()] = w.classes[0], "v0", true
	h := sched.MessageReceived{Body: value.Holding{}.WithAsk(x).WithServer("v0")}
	w.decide(h)
	w.decide(h)
}

func (w *world) lose() {
	gateway := rapid.Uint64Range(1, 4).Draw(w.T, "gateway")
	for _, x := range w.asks {
		if x.Attempt().Incarnation() == gateway && w.running[x.Attempt()] != "" {
			w.finish(x.Attempt())
		}
	}
	w.decide(sched.GatewayLost{Incarnation: gateway})
}

// acquire takes the shard over: requests move, and gateways report what runs.
func (w *world) acquire() {
	w.decide(sched.ShardAcquired{})
	for _, x := range w.asks {
		if a := x.Attempt(); w.running[a] != "" {
			w.decide(sched.MessageReceived{Body: value.Holding{}.WithAsk(x).WithServer(w.running[a]).WithTokens(w.tokens[a])})
		}
	}
}

func (w *world) depart() {
	if n := fmt.Sprint("v", rapid.IntRange(1, 3).Draw(w.T, "server")); rapid.IntRange(0, 9).Draw(w.T, "leaves") == 0 {
		w.departed[n] = true
		w.decide(sched.ServerLeaving{Server: n})
	}
}

func (w *world) tick() {
	w.now += hoist.Millis(rapid.Int64Range(1, 400).Draw(w.T, "pause"))
	w.decide(sched.Ticked{})
}

// check compares the state with the world.
func (w *world) check() {
	if got := int(w.state.Backlog().Busy()); got != len(w.running) {
		w.Fatalf("%d jobs, but %d attempts run", got, len(w.running))
	}
	waiting := 0
	for x := range w.state.Queue().All() {
		waiting++
		if w.settled[x.Ask().Attempt()] || w.running[x.Ask().Attempt()] != "" {
			w.Fatalf("%v waits although it was answered", x.Ask().Attempt())
		}
	}
	if waiting+len(w.running)+len(w.settled) != len(w.asks) {
		w.Fatalf("%d waiting, %d running and %d settled of %d requests", waiting, len(w.running), len(w.settled), len(w.asks))
	}
}

// Guards against lost or repeated answers, leaked slots, waste and broken tier order under any order of messages.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		broken := ""
		defer invar.Attach(func(c invar.Invariant, d string) { broken += c.String() + ": " + d + "\n" })()
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) {
				w.check()
				if broken != "" {
					t.Fatal(broken)
				}
			},
			"ask": func(t *rapid.T) { w.T = t; w.ask() }, "ask again": func(t *rapid.T) { w.T = t; w.ask() },
			"progress": func(t *rapid.T) { w.T = t; w.progress() }, "end": func(t *rapid.T) { w.T = t; w.end() },
			"withdraw": func(t *rapid.T) { w.T = t; w.withdraw() }, "holding": func(t *rapid.T) { w.T = t; w.holding() },
			"lost": func(t *rapid.T) { w.T = t; w.lose() }, "departed": func(t *rapid.T) { w.T = t; w.depart() },
			"tick": func(t *rapid.T) { w.T = t; w.tick() }, "acquired": func(t *rapid.T) { w.T = t; w.acquire() },
		})
	})
}

// Guards against starvation: under twice the load from the tier above, the lowest class is served within its stated bound.
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
		w := &world{T: t, now: 1000}
		s, _ := sched.New("s").Decide(sched.Configured{
			View: config.NewView(snapshot, 1), Pool: pool, Instances: value.ListOf(value.Instance{}.WithName("v0"), value.Instance{}.WithName("v1")),
		}, w.now)
		type run struct{ tokens, last int32 }
		runs, order := map[value.Attempt]run{}, []value.Attempt{}
		var next uint64
		var served, freed, gap, worst hoist.Millis = w.now, w.now, 0, 0
		apply := func(e sched.Event) {
			var effects []sched.Effect
			s, effects = s.Decide(e, w.now)
			for _, x := range effects {
				g, ok := x.(value.Grant)
				if !ok {
					continue
				}
				runs[g.Attempt()] = run{last: 5 * rapid.Int32Range(2, 40).Draw(t, "output")}
				order = append(order, g.Attempt())
				if g.Priority() == 2 {
					worst, served = max(worst, w.now-served), w.now
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
			w.now += 100
			send("low")
			for range slots/4 + 1 {
				send("high")
			}
			var keep []value.Attempt
			for _, a := range order {
				r := runs[a]
				r.tokens += 5
				runs[a] = r
				if r.tokens < r.last {
					apply(sched.MessageReceived{Body: value.Progress{}.WithAttempt(a).WithTokens(r.tokens)})
					keep = append(keep, a)
				}
			}
			done := order
			order = keep
			for _, a := range done {
				if r := runs[a]; r.tokens >= r.last {
					gap, freed = max(gap, w.now-freed), w.now
					apply(sched.MessageReceived{Body: value.End{}.WithAttempt(a).WithTokens(r.tokens).WithKind(value.EndKindFinished)})
				}
			}
			apply(sched.Ticked{})
		}
		worst = max(worst, w.now-served)
		bound, ok := s.WaitBound("low", gap)
		if !ok || worst > bound {
			t.Fatalf("waits %d ms, bound %d ms at a gap of %d ms", worst, bound, gap)
		}
	})
}
