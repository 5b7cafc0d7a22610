package quota

import (
	"sync/atomic"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
)

// Prefixes of limit keys.
const (
	classKind     = "class:"
	workspaceKind = "workspace:"
)

// ClassKey returns the key of a class's limit.
func ClassKey(name string) string { return classKind + name }

// WorkspaceKey returns the key of a workspace's limit.
func WorkspaceKey(name string) string { return workspaceKind + name }

// Verdict is the result of checking a request against its limits.
//
//sumtype:decl
type Verdict interface{ isVerdict() }

// Admitted means that the request may run; it is in progress until Release.
type Admitted struct{}

// Limited means that the request must not run.
type Limited struct {
	// Key is the key of the exhausted limit.
	Key string
	// RetryAfter is the time after which a request will probably be admitted.
	RetryAfter hoist.Millis
}

func (Admitted) isVerdict() {}
func (Limited) isVerdict()  {}

// Demand is the usage of one limit since the last sample.
type Demand struct {
	Key   string
	Rates Rates
	// Running is the number of requests in progress.
	Running int64
}

// meterCell holds the current meter of one limit.
type meterCell struct{ meter atomic.Pointer[Meter] }

// Limiter enforces the limits of one router; it may be used by several goroutines without a lock.
//
// The request path loads the published map and swaps immutable meters. A key without a limit has no meter.
type Limiter struct {
	meters atomic.Pointer[map[string]*meterCell]
}

// NewLimiter returns a limiter without limits.
func NewLimiter() *Limiter {
	l := &Limiter{}
	l.meters.Store(&map[string]*meterCell{})
	return l
}

// Admit admits a request with the prompt tokens at the limits of both its class and its workspace, or at neither.
func (l *Limiter) Admit(class, workspace string, prompt int64, now hoist.Millis) Verdict {
	meters := *l.meters.Load()
	classMeter, workspaceMeter := meters[ClassKey(class)], meters[WorkspaceKey(workspace)]
	if retryAfter, ok := classMeter.admit(prompt, now); !ok {
		return Limited{ClassKey(class), retryAfter}
	}
	if retryAfter, ok := workspaceMeter.admit(prompt, now); !ok {
		if classMeter != nil {
			hoist.Update(&classMeter.meter, func(x Meter) Meter { return x.Rollback(prompt) })
		}
		return Limited{WorkspaceKey(workspace), retryAfter}
	}
	return Admitted{}
}

// admit admits a request at one limit; a missing limit admits everything.
func (c *meterCell) admit(prompt int64, now hoist.Millis) (retryAfter hoist.Millis, ok bool) {
	if c == nil {
		return 0, true
	}
	hoist.Update(&c.meter, func(x Meter) Meter {
		x, retryAfter, ok = x.Admit(prompt, now)
		return x
	})
	return retryAfter, ok
}

// Release ends an admitted request and charges its output tokens.
func (l *Limiter) Release(class, workspace string, output int64, now hoist.Millis) {
	meters := *l.meters.Load()
	for _, c := range []*meterCell{meters[ClassKey(class)], meters[WorkspaceKey(workspace)]} {
		if c != nil {
			hoist.Update(&c.meter, func(x Meter) Meter { return x.Release(output, now) })
		}
	}
}

// Sample returns the demand at each limit that was used since the last sample.
func (l *Limiter) Sample(now hoist.Millis) []Demand {
	var demands []Demand
	for key, c := range *l.meters.Load() {
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
func (l *Limiter) Apply(a SetAllowance, now hoist.Millis) {
	if c, ok := (*l.meters.Load())[a.Key]; ok {
		hoist.Update(&c.meter, func(x Meter) Meter { return x.WithAllowance(a.Allowance, now) })
	}
}

// Configure publishes a meter for each limit of the view; meters of known keys keep their usage.
//
// Configure must not be called concurrently.
func (l *Limiter) Configure(v *config.View, routers int, now hoist.Millis) {
	previous := *l.meters.Load()
	updated := make(map[string]*meterCell, len(previous))
	for key, limit := range limits(v) {
		c, known := previous[key]
		if !known {
			c = &meterCell{}
			meter := NewMeter(Allowance{Fallback: unleasedShare(limit, routers)}, now)
			c.meter.Store(&meter)
		}
		updated[key] = c
	}
	l.meters.Store(&updated)
}

// limits returns the limits of the view by key.
func limits(v *config.View) map[string]Rates {
	byKey := map[string]Rates{}
	for c := range v.Classes().All() {
		if r := RatesOf(c.Limit()); r.Bounded() {
			byKey[ClassKey(c.Name())] = r
		}
	}
	for w := range v.Workspaces().All() {
		if r := RatesOf(w.Limit()); r.Bounded() {
			byKey[WorkspaceKey(w.Name())] = r
		}
	}
	return byKey
}
