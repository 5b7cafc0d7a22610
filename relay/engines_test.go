package relay

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/assign"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/feed"
	"chicoryhoist.example/hoist/http1"
	"chicoryhoist.example/hoist/route"
	"chicoryhoist.example/hoist/value"
)

// syncBuffer is a buffer for the lines of several goroutines.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write appends the bytes.
func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// count returns the number of lines with the text.
func (s *syncBuffer) count(text string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Count(s.b.String(), text)
}

// engineView returns a view with a service of engines with the given slots, and a plain service.
func engineView(slots int32) *feed.View {
	v := viewOf(2, false)
	routes := value.ListOf(
		value.Route{}.WithHost("a").WithPrefix("/").WithTargets(value.ListOf(value.RouteTarget{}.WithService("llm").WithWeight(1))),
		value.Route{}.WithHost("b").WithPrefix("/").WithTargets(value.ListOf(value.RouteTarget{}.WithService("app").WithWeight(1))),
	)
	specs := value.ListOf(value.ServiceSpec{}.WithName("llm").WithEngineSlots(slots), value.ServiceSpec{}.WithName("app"))
	v.Table = route.NewTable(value.RouteTable{}.WithRoutes(routes).WithServices(specs))
	return v
}

// TestRules guards against rules for limited engines in a deployment whose settings or configuration do not ask for them, and
// against an owner that keeps the rules of a former configuration.
func TestRules(t *testing.T) {
	engines, plain := assign.Rules{Engines: true}, assign.Rules{Plain: true}
	for _, c := range []struct {
		name             string
		maxSlots, slots  int32
		engine, plainRun assign.Rules
	}{
		{"limited engines", 64, 64, engines, plain},
		{"settings without a limit", 0, 64, assign.Rules{}, assign.Rules{}},
		{"engines with more slots", 63, 64, assign.Rules{}, assign.Rules{}},
		{"configuration without engines", 64, 0, assign.Rules{}, assign.Rules{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r, _ := newTestRelay(t, c.maxSlots)
			r.Follow(nil, engineView(c.slots))
			rules := func(service string) assign.Rules { return (*r.services.Load())[service].dispatchers[0].rules }
			g.Expect(rules("llm")).To(gomega.Equal(c.engine))
			g.Expect(rules("app")).To(gomega.Equal(c.plainRun))
			// The rules end with the configuration that asked for them.
			r.Follow(nil, engineView(0))
			g.Expect(rules("llm")).To(gomega.Equal(assign.Rules{}))
			g.Expect(rules("app")).To(gomega.Equal(assign.Rules{}))
		})
	}
}

// newTestRelay returns a relay with the limit of slots in its settings, and its log.
func newTestRelay(t *testing.T, maxSlots int32) (*Relay, *syncBuffer) {
	t.Helper()
	out := &syncBuffer{}
	logger := logrus.New()
	logger.SetOutput(out)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	clock := hoist.NewBootClock()
	settings := value.ForwardSettings{}.WithName("n").WithBalance(value.ForwardBalance{}.WithMaxSlots(maxSlots))
	return New(ctx, Options{Clock: clock, Client: http1.NewClient(clock, http1.Limits{}), Log: event.NewLog(logger), Settings: settings, Metrics: NewMetrics()}), out
}

// TestRefusalRecords guards against a log line for each early refusal under overload, and against refusals that no metric
// counts.
func TestRefusalRecords(t *testing.T) {
	g := gomega.NewWithT(t)
	r, out := newTestRelay(t, 64)
	r.Follow(nil, engineView(64))
	d := (*r.services.Load())["llm"].dispatchers[0]
	for range 1000 {
		d.recordRefusal(assign.Refuse{Reason: assign.NoTime, Inputs: assign.RefusalInputs{Rank: 2, Expected: 6000, Left: 5000}})
	}
	g.Expect(out.count("event=720")).To(gomega.BeNumerically("<=", 2))
	families, err := r.Metrics.Registry.Gather()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	counted := 0.0
	for _, f := range families {
		if f.GetName() == "hoist_forward_refused_early_total" {
			counted += f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	g.Expect(counted).To(gomega.Equal(1000.0))
}
