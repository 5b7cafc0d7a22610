package retry

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// DefaultBudgetPermille allows one extra attempt per ten requests, which covers the crash of one of 12 servers.
	DefaultBudgetPermille = 100
	// DefaultHedgePermille allows hedges for the slowest 5 % of first tokens.
	DefaultHedgePermille = 950
	// DefaultQuarantine is much longer than callers keep resending a request.
	DefaultQuarantine = 10 * hoist.Minute
	// WastePermille is the share of the delivered tokens that may be wasted, in thousandths.
	WastePermille = 20
)

// Limits holds the configured limits of extra attempts; a zero field selects the default.
type Limits struct {
	budgetPermille int32
	hedgePermille  int32
	quarantine     hoist.Millis
}

// LimitsOf returns the limits of a policy.
func LimitsOf(p value.Policy) Limits {
	return Limits{p.RetryBudgetPermille(), p.HedgePermille(), hoist.Millis(p.QuarantineMs())}
}

// BudgetPermille returns the number of extra attempts per thousand requests.
func (l Limits) BudgetPermille() int64 {
	if l.budgetPermille > 0 {
		return int64(l.budgetPermille)
	}
	return DefaultBudgetPermille
}

// HedgePermille returns the percentile of the first-token latency after which a hedge may start, in thousandths.
func (l Limits) HedgePermille() int32 {
	if l.hedgePermille > 0 {
		return l.hedgePermille
	}
	return DefaultHedgePermille
}

// Quarantine returns the duration of a quarantine.
func (l Limits) Quarantine() hoist.Millis {
	if l.quarantine > 0 {
		return l.quarantine
	}
	return DefaultQuarantine
}

// WithBudgetPermille returns a copy with the number of extra attempts per thousand requests replaced.
func (l Limits) WithBudgetPermille(n int32) Limits {
	l.budgetPermille = n
	return l
}

// WithHedgePermille returns a copy with the hedge percentile replaced.
func (l Limits) WithHedgePermille(n int32) Limits {
	l.hedgePermille = n
	return l
}

// WithQuarantine returns a copy with the duration of a quarantine replaced.
func (l Limits) WithQuarantine(d hoist.Millis) Limits {
	l.quarantine = d
	return l
}
