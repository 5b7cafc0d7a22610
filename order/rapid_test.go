package order_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/golden"
	"chicoryhoist.example/hoist/order"
	"chicoryhoist.example/hoist/value"
)

func init() { golden.FixSeed() }

// TestOrders guards against conflicts between successive owners of a shard: opposite orders in transit at the
// same time, too many servers out of service, weights fetched beyond the shard's share, unpublished fencing
// numbers, and servers that never reach the desired state.
func TestOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fleet{
			generation: 1, version: "v1", role: "mixed", fence: 1, fenced: rapid.Bool().Draw(t, "fenced"),
			rate: int64(rapid.SampledFrom([]int{0, 100, 1000}).Draw(t, "rate")), eject: int32(rapid.IntRange(1, 500).Draw(t, "eject")),
		}
		m := &fleetModel{now: 1_000_000, fleet: f, engines: map[string]*engine{}}
		for i := range rapid.IntRange(1, 6).Draw(t, "servers") {
			name := fmt.Sprint("s", i)
			m.fleet.servers = append(m.fleet.servers, name)
			m.engines[name] = &engine{state: value.EngineState{}.WithRole("mixed")}
		}
		m.fleet.listed = 2 * len(m.fleet.servers)
		m.configure(t, m.fleet)
		m.changeOwner(t)
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) {},
			"configure": func(t *rapid.T) {
				m.fleet.generation++
				m.fleet.version = rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version")
				m.fleet.role = rapid.SampledFrom([]string{"mixed", "decode"}).Draw(t, "role")
				m.fleet.fence++
				m.configure(t, m.fleet)
			},
			"owner change": m.changeOwner,
			"restart": func(t *rapid.T) {
				e := m.engines[rapid.SampledFrom(m.fleet.servers).Draw(t, "server")]
				*e = engine{state: value.EngineState{}.WithRole("mixed").WithFence(e.state.Fence())}
			},
			"wait":  func(t *rapid.T) { m.wait(t, rapid.IntRange(1, 40).Draw(t, "steps"), true) },
			"quiet": func(t *rapid.T) { m.wait(t, rapid.IntRange(1, 400).Draw(t, "steps"), false) },
		})
		m.wait(t, 4000, false)
		for name, e := range m.engines {
			if !m.states[m.owner].Converged() {
				t.Fatalf("%s has %v and the state has not converged", name, e.state)
			}
		}
	})
}

// engine is a simulated engine: an accepted order is pending for a time and then takes effect.
type engine struct {
	state value.EngineState
	order value.Order
	done  hoist.Millis
}

// orderInTransit is an order that was sent and has not arrived.
type orderInTransit struct {
	order.Send
	owner   int
	sent    hoist.Millis
	arrives hoist.Millis
	lost    bool
}

// fleetModel simulates engines and two routers that own their shard in turn.
type fleetModel struct {
	now        hoist.Millis
	fleet      fleet
	states     [2]order.State
	owner      int
	engines    map[string]*engine
	inTransit  []orderInTransit
	sends      []orderInTransit
	ownedSince hoist.Millis
	fetchedMib int64
}

func (m *fleetModel) configure(t *rapid.T, f fleet) {
	for i := range m.states {
		m.decide(t, i, f.event(), false)
	}
}

func (m *fleetModel) changeOwner(t *rapid.T) {
	m.decide(t, m.owner, order.OwnershipLost{}, false)
	m.owner = 1 - m.owner
	m.ownedSince, m.fetchedMib = m.now, 0
	m.decide(t, m.owner, order.BecameOwner{}, false)
}

// wait advances the simulation in steps of 250 ms, with or without faults.
func (m *fleetModel) wait(t *rapid.T, steps int, faults bool) {
	for range steps {
		m.now += 250
		for _, f := range slices.Clone(m.inTransit) {
			m.arrive(t, f, faults)
		}
		for _, name := range m.fleet.servers {
			m.engines[name].run(m.now)
		}
		m.decide(t, m.owner, order.Ticked{}, faults)
	}
}

// arrive delivers an order whose transit time has passed, and its response unless that is lost.
func (m *fleetModel) arrive(t *rapid.T, f orderInTransit, faults bool) {
	if m.now < f.arrives {
		return
	}
	m.inTransit = slices.DeleteFunc(m.inTransit, func(x orderInTransit) bool { return x.Server == f.Server && x.sent == f.sent })
	e := m.engines[f.Server]
	answer := order.AnswerAccepted
	switch {
	case f.lost:
		answer = order.AnswerUnknown
	case m.fleet.fenced && f.Order.Fence() < e.state.Fence():
		answer = order.AnswerFenced
	case e.state.Pending() != "":
		t.Fatalf("%s got %s while %s was pending", f.Server, f.Order.Id(), e.state.Pending())
	default:
		e.order, e.done = f.Order, m.now+hoist.Millis(rapid.IntRange(0, 5000).Draw(t, "work"))
		e.state = e.state.WithPending(f.Order.Id()).WithFence(max(e.state.Fence(), f.Order.Fence()))
	}
	if f.owner == m.owner && (!faults || rapid.Bool().Draw(t, "answered")) {
		m.decide(t, f.owner, order.Answered{Server: f.Server, ID: f.Order.Id(), Answer: answer}, faults)
	}
}

func (e *engine) run(now hoist.Millis) {
	if e.state.Pending() == "" || now < e.done {
		return
	}
	e.state = e.state.WithPending("")
	o := e.order
	l := value.Loaded{}.WithKind(o.Target()).WithName(o.Name()).WithVersion(o.Version())
	others := slices.DeleteFunc(slices.Collect(e.state.Loaded().All()), func(x value.Loaded) bool { return x == l })
	switch o.Kind() {
	case "role":
		e.state = e.state.WithRole(o.Name())
	case "load":
		e.state = e.state.WithLoaded(value.ListOf(append(others, l)...))
	case "unload":
		e.state = e.state.WithLoaded(value.ListOf(others...))
	}
}

// decide applies an event and performs its effects; a read gets its response at once, or none.
func (m *fleetModel) decide(t *rapid.T, owner int, e order.Event, faults bool) {
	s, effects := m.states[owner].Decide(e, m.now)
	m.states[owner] = s
	for _, x := range effects {
		switch x := x.(type) {
		case order.Send:
			m.send(t, owner, x, faults)
		case order.Read:
			if faults && rapid.IntRange(0, 3).Draw(t, "unreachable") == 0 {
				m.decide(t, owner, order.Unreachable(x), faults)
			} else {
				m.decide(t, owner, order.Observed{Server: x.Server, State: m.engines[x.Server].state}, faults)
			}
		case order.Wait:
		}
	}
}

func (m *fleetModel) send(t *rapid.T, owner int, x order.Send, faults bool) {
	if owner != m.owner {
		t.Fatalf("order %s from a router that is not the owner", x.Order.Id())
	}
	if x.Order.Fence() != m.fleet.fence {
		t.Fatalf("fence %d was never published; it is %d", x.Order.Fence(), m.fleet.fence)
	}
	f := orderInTransit{Send: x, owner: owner, sent: m.now, arrives: m.now}
	if faults {
		f.arrives += hoist.Millis(rapid.IntRange(0, int(delay)-1).Draw(t, "transit"))
		f.lost = rapid.IntRange(0, 3).Draw(t, "lost") == 0
	}
	for _, p := range m.sends {
		if p.Server == x.Server && m.now < p.sent+delay && undoes(p.Order, x.Order) {
			t.Fatalf("%s sent to %s at %d, %s at %d", p.Order.Id(), x.Server, p.sent, x.Order.Id(), m.now)
		}
	}
	m.inTransit, m.sends = append(m.inTransit, f), append(m.sends, f)
	takenOut := map[string]bool{}
	for _, p := range m.inTransit {
		takenOut[p.Server] = takenOut[p.Server] || p.Order.Kind() != "unload"
	}
	n := 0
	for name, e := range m.engines {
		if takenOut[name] || e.state.Pending() != "" && e.order.Kind() != "unload" {
			n++
		}
	}
	if n > max(1, len(m.engines)*int(m.fleet.eject)/1000) {
		t.Fatalf("%d of %d servers are out of service", n, len(m.engines))
	}
	if x.Order.Kind() == "load" {
		m.fetchedMib += map[string]int64{"model": 1000, "adapter": 100}[x.Order.Target()]
		if share := m.fleet.rate * int64(m.now-m.ownedSince) / 2000; m.fleet.rate > 0 && m.fetchedMib > share {
			t.Fatalf("%d MiB fetched, %d permitted", m.fetchedMib, share)
		}
	}
}

// undoes reports whether the result of two orders depends on which arrives first.
func undoes(a, b value.Order) bool {
	switch {
	case a.Kind() == "role" || b.Kind() == "role":
		return a.Kind() == b.Kind() && a.Name() != b.Name()
	case a.Target() != b.Target() || a.Name() != b.Name():
		return false
	case a.Kind() == b.Kind():
		return a.Kind() == "load" && a.Version() != b.Version()
	default:
		return a.Version() == b.Version()
	}
}
