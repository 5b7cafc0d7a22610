package retry

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// DefaultBudgetPermille allows one extra attempt for ten requests, which covers the crash of one of 12 servers.
	DefaultBudgetPermille = 100
	// DefaultHedgePermille starts a second attempt for the slowest twentieth of first tokens.
	DefaultHedgePermille = 950
	// DefaultQuarantine is long against the time that a caller keeps resending, in milliseconds.
	DefaultQuarantine = 10 * hoist.Minute
	// WastePermille is the share of generated tokens that may be wasted, in thousandths.
	WastePermille = 20
)

// Limits are the configured limits of extra attempts; the zero value holds the defaults.
type Limits struct {
	budget     int32
	hedge      int32
	quarantine hoist.Millis
}

// LimitsOf returns the limits of a policy.
func LimitsOf(p value.Policy) Limits {
	return Limits{p.RetryBudgetPermille(), p.HedgePermille(), hoist.Millis(p.QuarantineMs())}
}

// BudgetPermille returns the share of extra attempts, in thousandths of requests.
func (r Limits) BudgetPermille() int64 {
	if r.budget > 0 {
		return int64(r.budget)
	}
	return DefaultBudgetPermille
}

// HedgePermille returns the percentile of the first-token time after which a hedge may start, in thousandths.
func (r Limits) HedgePermille() int32 {
	if r.hedge > 0 {
		return r.hedge
	}
	return DefaultHedgePermille
}

// Quarantine returns the time that a quarantined fingerprint stays refused, in milliseconds.
func (r Limits) Quarantine() hoist.Millis {
	if r.quarantine > 0 {
		return r.quarantine
	}
	return DefaultQuarantine
}

// WithBudgetPermille returns a copy with the share of extra attempts replaced.
func (r Limits) WithBudgetPermille(n int32) Limits {
	r.budget = n
	return r
}

// WithHedgePermille returns a copy with the hedge percentile replaced.
func (r Limits) WithHedgePermille(n int32) Limits {
	r.hedge = n
	return r
}

// WithQuarantine returns a copy with the quarantine time replaced.
func (r Limits) WithQuarantine(d hoist.Millis) Limits {
	r.quarantine = d
	return r
}
