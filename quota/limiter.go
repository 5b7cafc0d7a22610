package quota

import (
	"sync/atomic"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
)

// Kinds of keys.
const (
	classKind     = "class:"
	workspaceKind = "workspace:"
)

// ClassKey returns the key of a class's limit.
func ClassKey(name string) string { return classKind + name }

// WorkspaceKey returns the key of a workspace's limit.
func WorkspaceKey(name string) string { return workspaceKind + name }

// Verdict is the answer to a request at its limits.
//
//sumtype:decl
type Verdict interface{ isVerdict() }

// Admitted requests count as in progress until Release.
type Admitted struct{}

// Limited requests are not run.
type Limited struct {
	// Key of the limit that is used up.
	Key string
	// RetryAfter is the time after which a request is likely to be admitted.
	RetryAfter hoist.Millis
}

func (Admitted) isVerdict() {}
func (Limited) isVerdict()  {}

// Demand is the use of one limit since the last sample.
type Demand struct {
	Key   string
	Rates Rates
	// Running is the number of requests in progress.
	Running int64
}

// cell holds the meter of one limit.
type cell struct{ meter atomic.Pointer[Meter] }

// Limiter holds the limits of one router, for use by many goroutines without a lock.
//
// The request path loads the published map and swaps immutable meters. A key without a limit has no meter.
type Limiter struct {
	cells atomic.Pointer[map[string]*cell]
}

// NewLimiter returns a limiter without limits.
func NewLimiter() *Limiter {
	m := &Limiter{}
	m.cells.Store(&map[string]*cell{})
	return m
}

// Admit admits a request with the prompt tokens at the limits of its class and workspace, or at neither.
func (m *Limiter) Admit(class, workspace string, prompt int64, now hoist.Millis) Verdict {
	cells := *m.cells.Load()
	first, second := cells[ClassKey(class)], cells[WorkspaceKey(workspace)]
	if retry, ok := first.take(prompt, now); !ok {
		return Limited{ClassKey(class), retry}
	}
	if retry, ok := second.take(prompt, now); !ok {
		if first != nil {
			hoist.Update(&first.meter, func(x Meter) Meter { return x.Rollback(prompt) })
		}
		return Limited{WorkspaceKey(workspace), retry}
	}
	return Admitted{}
}

// take admits a request at one limit; a missing limit admits everything.
func (c *cell) take(prompt int64, now hoist.Millis) (retry hoist.Millis, ok bool) {
	if c == nil {
		return 0, true
	}
	hoist.Update(&c.meter, func(x Meter) Meter {
		x, retry, ok = x.Admit(prompt, now)
		return x
	})
	return retry, ok
}

// Release ends an admitted request and charges its output tokens.
func (m *Limiter) Release(class, workspace string, output int64, now hoist.Millis) {
	cells := *m.cells.Load()
	for _, c := range []*cell{cells[ClassKey(class)], cells[WorkspaceKey(workspace)]} {
		if c != nil {
			hoist.Update(&c.meter, func(x Meter) Meter { return x.Release(output, now) })
		}
	}
}

// Sample returns the demand at each limit that was used since the last sample.
func (m *Limiter) Sample(now hoist.Millis) []Demand {
	var demands []Demand
	for key, c := range *m.cells.Load() {
		if c.meter.Load().idle() {
			continue
		}
		d := Demand{Key: key}
		hoist.Update(&c.meter, func(x Meter) Meter {
			x, d.Rates = x.Sample(now)
			d.Running = x.Running()
			return x
		})
		demands = append(demands, d)
	}
	return demands
}

// Apply puts an allowance into force; keys without a limit are ignored.
func (m *Limiter) Apply(a SetAllowance, now hoist.Millis) {
	if c, ok := (*m.cells.Load())[a.Key]; ok {
		hoist.Update(&c.meter, func(x Meter) Meter { return x.WithAllowance(a.Allowance, now) })
	}
}

// Configure publishes a meter for each limit of the view; meters of known keys keep their use.
//
// Only one goroutine may call Configure at a time.
func (m *Limiter) Configure(v *config.View, routers int, now hoist.Millis) {
	old := *m.cells.Load()
	fresh := make(map[string]*cell, len(old))
	for key, limit := range limits(v) {
		c, known := old[key]
		if !known {
			c = &cell{}
			meter := NewMeter(Allowance{Fallback: starter(limit, routers)}, now)
			c.meter.Store(&meter)
		}
		fresh[key] = c
	}
	m.cells.Store(&fresh)
}

// limits returns the limits of the view by key.
func limits(v *config.View) map[string]Rates {
	all := map[string]Rates{}
	for c := range v.Classes().All() {
		if r := RatesOf(c.Limit()); r.Bounded() {
			all[ClassKey(c.Name())] = r
		}
	}
	for w := range v.Workspaces().All() {
		if r := RatesOf(w.Limit()); r.Bounded() {
			all[WorkspaceKey(w.Name())] = r
		}
	}
	return all
}
