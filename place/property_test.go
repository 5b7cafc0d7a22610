package place_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/golden"
	"chicoryhoist.example/hoist/place"
	"chicoryhoist.example/hoist/value"
)

func init() { golden.FixSeed() }

// TestTableStates guards against work on servers that must not get it, attempts that lose their slot, more servers on
// probation than allowed, and load reports that add slots. They occur when events arrive in an unusual order.
func TestTableStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{running: map[value.Attempt]string{}, leaving: map[string]bool{}, listed: map[string]bool{}, silent: map[string]bool{}}
		m.slots = int32(rapid.IntRange(1, 6).Draw(t, "slots"))
		m.eject = int32(rapid.IntRange(1, 500).Draw(t, "eject"))
		m.table = m.table.WithRules(place.Rules{}.WithEjectPermille(m.eject))
		m.sync(t)
		t.Repeat(map[string]func(*rapid.T){
			"":         m.check,
			"sync":     m.sync,
			"choose":   m.choose,
			"progress": m.progress,
			"end":      m.end,
			"report":   m.report,
			"depart":   m.depart,
			"reserve":  m.reserve,
			"wait": func(t *rapid.T) {
				m.now += hoist.Millis(rapid.IntRange(0, 6000).Draw(t, "wait"))
				m.step(t, m.table.Tick(m.now))
			},
		})
	})
}

// model is the expected state, kept without the help of the table.
type model struct {
	table   place.Table
	now     hoist.Millis
	slots   int32
	eject   int32
	number  uint64
	running map[value.Attempt]string
	leaving map[string]bool
	listed  map[string]bool
	// silent holds the servers that have responded to nothing since they failed.
	silent map[string]bool
}

var names = []string{"a", "b", "c", "d", "e", "f"}

// step replaces the table; the old one must not change, and ejections must keep to the configured share.
func (m *model) step(t *rapid.T, next place.Table) {
	before := summary(m.table)
	members := 0
	for s := range next.Servers().All() {
		if s.Status() != place.StatusLeaving {
			members++
		}
	}
	notReady, ejected := 0, false
	for s := range next.Servers().All() {
		if s.Status() == place.StatusProbation || s.Status() == place.StatusDown {
			notReady++
		}
		old, ok := m.table.Server(s.Name())
		m.silent[s.Name()] = s.Status() == place.StatusDown || s.Status() == place.StatusProbation && m.silent[s.Name()]
		slow := s.Reason() == place.ReasonSlowFirstToken || s.Reason() == place.ReasonSlowInterToken
		ejected = ejected || ok && old.Status() == place.StatusReady && s.Status() == place.StatusProbation && slow
	}
	if ejected && notReady*1000 > members*int(m.eject) {
		t.Fatalf("%d of %d servers on probation or down with a share of %d thousandths", notReady, members, m.eject)
	}
	if after := summary(m.table); after != before {
		t.Fatalf("old table changed:\n%s\n%s", before, after)
	}
	m.table = next
}

func summary(t place.Table) string {
	s := ""
	for x := range t.Servers().All() {
		f, n := x.FirstTokenRatio()
		s += fmt.Sprint(x.Name(), x.Status(), x.Reason(), x.FreeSlots(), x.ConcurrencyLimit(), x.Running().Len(), f, n, ";")
	}
	return s
}

func (m *model) sync(t *rapid.T) {
	var list []value.Instance
	now := map[string]bool{}
	for _, n := range names {
		state := rapid.SampledFrom([]string{"live", "live", "live", "leaving", "absent"}).Draw(t, n)
		if state == "absent" {
			continue
		}
		list = append(list, value.Instance{}.WithName(n).WithLeaving(state == "leaving"))
		now[n] = state == "live"
	}
	for _, n := range names {
		if now[n] && !m.listed[n] {
			m.leaving[n] = false
		}
		if !now[n] {
			m.leaving[n] = true
		}
	}
	m.listed = now
	m.step(t, m.table.Sync(value.ListOf(list...), m.slots))
}

func (m *model) choose(t *rapid.T) {
	m.number++
	a := value.Ask{}.WithAttempt(value.Attempt{}.WithIncarnation(1).WithRequest(m.number).WithNumber(1)).
		WithRepeatable(rapid.Bool().Draw(t, "repeatable")).
		WithAlone(rapid.IntRange(0, 5).Draw(t, "alone") == 0).
		WithAvoid(value.ListOf(rapid.SliceOfN(rapid.SampledFrom(names), 0, 2).Draw(t, "avoid")...)).
		WithPrefixes(value.ListOf(rapid.SliceOfN(rapid.Uint64Range(1, 9), 0, 3).Draw(t, "prefixes")...)).
		WithPromptTokens(int32(rapid.IntRange(1, 2000).Draw(t, "prompt")))
	n := place.Requirements{Ask: a, Rank: int32(rapid.IntRange(1, 3).Draw(t, "rank"))}
	c, ok := m.table.Choose(n, m.now).(place.Chosen)
	if !ok {
		return
	}
	s := c.Server
	for x := range a.Avoid().All() {
		if x == s.Name() {
			t.Fatalf("chose %s, which the request avoids", x)
		}
	}
	if m.leaving[s.Name()] {
		t.Fatalf("chose %s, which is leaving", s.Name())
	}
	if s.Status() != place.StatusReady && a.Alone() {
		t.Fatalf("request that must run alone sent to %s, which is %s", s.Name(), s.Status())
	}
	if !a.Repeatable() && m.silent[s.Name()] {
		t.Fatalf("unrepeatable request sent to %s, which has responded to nothing since it failed", s.Name())
	}
	if a.Alone() && s.Running().Len() > 0 {
		t.Fatalf("request that must run alone sent to %s beside %d others", s.Name(), s.Running().Len())
	}
	for r := range s.Running().All() {
		if r.Ask().Alone() {
			t.Fatalf("request sent to %s beside one that must run alone", s.Name())
		}
	}
	m.running[a.Attempt()] = s.Name()
	m.step(t, m.table.Start(s.Name(), place.NewRunningAttempt(a, n.Rank, m.now)))
}

func (m *model) attempt(t *rapid.T) value.Attempt {
	if len(m.running) == 0 {
		t.Skip("nothing runs")
	}
	var all []value.Attempt
	for i := uint64(1); i <= m.number; i++ {
		a := value.Attempt{}.WithIncarnation(1).WithRequest(i).WithNumber(1)
		if _, ok := m.running[a]; ok {
			all = append(all, a)
		}
	}
	return rapid.SampledFrom(all).Draw(t, "attempt")
}

func (m *model) progress(t *rapid.T) {
	a := m.attempt(t)
	m.now += hoist.Millis(rapid.IntRange(0, 200).Draw(t, "after"))
	p := value.Progress{}.WithAttempt(a).WithTokens(int32(rapid.IntRange(0, 50).Draw(t, "tokens"))).
		WithFirstTokenMs(int64(rapid.IntRange(0, 3000).Draw(t, "first"))).
		WithInterTokenMs(int64(rapid.IntRange(0, 400).Draw(t, "inter")))
	m.step(t, m.table.RecordProgress(p, m.now))
	m.silent[m.running[a]] = false
}

func (m *model) end(t *rapid.T) {
	a := m.attempt(t)
	m.now += hoist.Millis(rapid.IntRange(1, 50).Draw(t, "after"))
	k := value.EndKind(rapid.IntRange(int(value.EndKindFinished), int(value.EndKindLeaving)).Draw(t, "kind"))
	server := m.running[a]
	r, _, _ := m.table.Find(a)
	before, _ := m.table.Server(server)
	m.step(t, m.table.End(value.End{}.WithAttempt(a).WithKind(k).WithTokens(r.Tokens()), m.now))
	m.silent[server] = m.silent[server] && k != value.EndKindFinished
	delete(m.running, a)
	after, _ := m.table.Server(server)
	if k == value.EndKindLeaving && after.Status() == place.StatusLeaving && before.Status() != place.StatusLeaving {
		m.leaving[server] = true
	}
}

func (m *model) depart(t *rapid.T) {
	n := rapid.SampledFrom(names).Draw(t, "server")
	m.step(t, m.table.MarkLeaving(n, m.now))
	m.leaving[n] = true
}

func (m *model) reserve(t *rapid.T) {
	m.step(t, m.table.Reserve(place.Requirements{Ask: value.Ask{}.WithAlone(true)}, m.now))
}

func (m *model) report(t *rapid.T) {
	n := rapid.SampledFrom(names).Draw(t, "server")
	l := value.Load{}.WithRunning(int32(rapid.IntRange(0, 9).Draw(t, "running"))).
		WithSlots(int32(rapid.IntRange(0, 9).Draw(t, "slots"))).
		WithMeasuredMs(int64(m.now) - int64(rapid.IntRange(0, 6000).Draw(t, "age")))
	m.step(t, m.table.RecordLoad(n, l, m.now))
	m.silent[n] = false
	if s, ok := m.table.Server(n); ok && s.FreeSlots() > max(0, s.ConcurrencyLimit()-int32(s.Running().Len())) {
		t.Fatalf("report raised the free slots of %s to %d", n, s.FreeSlots())
	}
	// A server that only announced its departure may be probed again after it was idle for a minute.
	if s, ok := m.table.Server(n); ok && s.Status() == place.StatusDown {
		m.leaving[n] = m.leaving[n] && !m.listed[n]
	}
}

// check compares the attempts and slots of the table with those of the model.
func (m *model) check(t *rapid.T) {
	total := 0
	for s := range m.table.Servers().All() {
		total += s.Running().Len()
		if f := s.FreeSlots(); f < 0 || f > max(0, m.slots-int32(s.Running().Len())) {
			t.Fatalf("%s has %d free of %d with %d running", s.Name(), f, m.slots, s.Running().Len())
		}
		if s.ConcurrencyLimit() < 1 || s.ConcurrencyLimit() > m.slots {
			t.Fatalf("%s has limit %d of %d", s.Name(), s.ConcurrencyLimit(), m.slots)
		}
	}
	if total != len(m.running) {
		t.Fatalf("%d attempts on the table, %d in progress", total, len(m.running))
	}
	for a, server := range m.running {
		if _, got, ok := m.table.Find(a); !ok || got != server {
			t.Fatalf("attempt %v found on %q, runs on %q", a, got, server)
		}
	}
}
