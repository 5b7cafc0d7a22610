package place_test

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
	"chicoryhoist.example/hoist/value"
)

func TestPlace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "place")
}

// The scripts guard against a server that is ejected or returns at another time, and against another choice of a
// server.
var _ = DescribeTable("scripts", func(c golden.Case) {
	var out strings.Builder
	s := script{out: &out, asks: map[uint64]value.Ask{}}
	for line := range strings.Lines(c.Input) {
		s.run(strings.TrimSpace(line))
	}
	Expect(out.String()).To(golden.Match(c.Path))
}, entries())

func entries() []TableEntry {
	var entries []TableEntry
	for _, c := range golden.Cases("testdata") {
		entries = append(entries, Entry(c.Name, c))
	}
	return entries
}

// script applies one event per line to a table and writes the servers that changed.
type script struct {
	out   *strings.Builder
	table place.Table
	now   hoist.Millis
	asks  map[uint64]value.Ask
}

// words holds one line: a verb, positional words and key=value pairs.
type words struct {
	verb string
	args []string
	keys map[string]string
}

func wordsOf(line string) words {
	w := words{keys: map[string]string{}}
	for i, f := range strings.Fields(line) {
		if k, v, ok := strings.Cut(f, "="); ok {
			w.keys[k] = v
		} else if i == 0 {
			w.verb = f
		} else {
			w.args = append(w.args, f)
		}
	}
	return w
}

func (w words) number(key string) int64 {
	n, _ := strconv.ParseInt(w.keys[key], 10, 64)
	return n
}

func (w words) has(flag string) bool {
	for _, a := range w.args {
		if a == flag {
			return true
		}
	}
	return false
}

func (w words) attempt() value.Attempt {
	n, err := strconv.ParseUint(w.args[0], 10, 64)
	Expect(err).NotTo(HaveOccurred(), w.verb)
	return value.Attempt{}.WithIncarnation(1).WithRequest(n).WithNumber(1)
}

func (w words) ask() value.Ask {
	a := value.Ask{}.WithModel(w.keys["model"]).WithPromptTokens(int32(w.number("prompt"))).
		WithRepeatable(!w.has("unrepeatable")).WithAlone(w.has("alone")).WithHedge(w.has("hedge")).
		WithFingerprint(uint64(w.number("content"))).WithDatacentre(w.keys["dc"])
	if v := w.keys["avoid"]; v != "" {
		a = a.WithAvoid(value.ListOf(strings.Split(v, ",")...))
	}
	for _, p := range strings.Split(w.keys["prefixes"], ",") {
		if n, err := strconv.ParseUint(p, 10, 64); err == nil {
			a = a.WithPrefixes(a.Prefixes().Append(n))
		}
	}
	return a
}

func (s *script) run(line string) {
	if line == "" || strings.HasPrefix(line, "#") {
		fmt.Fprintln(s.out, line)
		return
	}
	fmt.Fprintf(s.out, "> %s\n", line)
	before := s.states()
	s.apply(wordsOf(line))
	for i, now := range s.states() {
		if i >= len(before) || before[i] != now {
			fmt.Fprintf(s.out, "  %6d %s\n", s.now, now)
		}
	}
}

func (s *script) states() []string {
	var states []string
	for x := range s.table.Servers().All() {
		states = append(states, strings.TrimSpace(fmt.Sprintf("%s %s free=%d limit=%d running=%d %s",
			x.Name(), x.Status(), x.FreeSlots(), x.ConcurrencyLimit(), x.Running().Len(), x.Reason())))
	}
	return states
}

func (s *script) apply(w words) {
	s.now += hoist.Millis(w.number("after"))
	switch w.verb {
	case "rules":
		s.table = s.table.WithRules(place.Rules{}.WithEjectPermille(int32(w.number("eject"))).
			WithAffinityWait(hoist.Millis(w.number("affinity"))).WithLongLimits(int32(w.number("cap")), int32(w.number("long"))))
	case "sync":
		var list []value.Instance
		for _, a := range w.args {
			name, state, _ := strings.Cut(a, ":")
			list = append(list, value.Instance{}.WithName(name).WithDatacentre(name[:1]).
				WithLeaving(state == "leaving").WithAddress(w.keys["address"]))
		}
		s.table = s.table.Sync(value.ListOf(list...), int32(w.number("slots")))
	case "start":
		a := w.ask().WithAttempt(w.attempt())
		s.table = s.table.Start(w.args[1], place.NewRunningAttempt(a, 1, s.now))
	case "choose":
		s.choose(w)
	case "reserve":
		s.table = s.table.Reserve(place.Requirements{Ask: w.ask()}, s.now)
	case "progress":
		s.table = s.table.RecordProgress(value.Progress{}.WithAttempt(w.attempt()).WithTokens(int32(w.number("tokens"))).
			WithFirstTokenMs(w.number("first")).WithInterTokenMs(w.number("inter")), s.now)
	case "end":
		s.table = s.table.End(value.End{}.WithAttempt(w.attempt()).WithKind(kind(w.args[1])), s.now)
	case "report":
		s.table = s.table.RecordLoad(w.args[0], value.Load{}.WithRunning(int32(w.number("running"))).
			WithSlots(int32(w.number("slots"))).WithMeasuredMs(int64(s.now)-w.number("age")), s.now)
	case "mark-leaving":
		s.table = s.table.MarkLeaving(w.args[0], s.now)
	case "loaded":
		s.table = s.table.RecordEngineState(w.args[0], value.EngineState{}.WithLoaded(value.ListOf(value.Loaded{}.WithName(w.args[1]))))
	case "cached":
		e := value.CacheEvent{}.WithSeq(uint64(w.number("seq"))).WithKind(w.args[1]).WithHash(uint64(w.number("hash")))
		s.table = s.table.RecordCacheEvents(w.args[0], value.CacheEvents{}.WithEvents(value.ListOf(e)).WithNext(e.Seq()+1))
	case "stream":
		s.stream(w)
	case "tick":
		s.table = s.table.Tick(s.now)
	case "gateway-lost":
		s.table = s.table.RemoveGateway(uint64(w.number("incarnation")), s.now)
	default:
		Fail("unknown verb " + w.verb)
	}
}

func (s *script) choose(w words) {
	n := place.Requirements{Ask: w.ask(), Rank: int32(w.number("rank")), Long: w.has("long"), ReservedSlots: int32(w.number("reserved"))}
	if w.has("arrived") {
		n.ArrivedAt = s.now - hoist.Millis(w.number("waited"))
	}
	switch c := s.table.Choose(n, s.now).(type) {
	case place.Chosen:
		fmt.Fprintf(s.out, "  %6d chosen %s\n", s.now, c.Server.Name())
	case place.Busy:
		fmt.Fprintf(s.out, "  %6d busy until=%d\n", s.now, c.RetryAt)
	case place.Unavailable:
		fmt.Fprintf(s.out, "  %6d unavailable\n", s.now)
	}
}

// stream reports one more token of each attempt on a server, count times, at the given interval.
func (s *script) stream(w words) {
	for range w.number("count") {
		s.now += hoist.Millis(w.number("every"))
		x, _ := s.table.Server(w.args[0])
		for r := range x.Running().All() {
			s.table = s.table.RecordProgress(value.Progress{}.WithAttempt(r.Ask().Attempt()).WithTokens(r.Tokens()+1).
				WithFirstTokenMs(w.number("first")).WithInterTokenMs(w.number("inter")), s.now)
		}
	}
}

func kind(name string) value.EndKind {
	for k := value.EndKindFinished; k <= value.EndKindLeaving; k++ {
		if k.String() == name {
			return k
		}
	}
	panic("unknown end kind " + name)
}
