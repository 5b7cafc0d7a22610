package quota

import (
	"math"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// milli is the number of rate units in one request or token. Small parts of a limit can be below one per second.
	milli = 1000
	// unlimited stands for a limit that is not configured.
	unlimited = math.MaxInt64
	// maxConfigured is the largest value that is treated as a limit; the bucket arithmetic does not overflow up to it.
	maxConfigured = 1_000_000_000
	// LeaseDuration is the duration of a lease. A part that its holder no longer uses becomes free within it.
	LeaseDuration = 5 * hoist.Second
	// ReportInterval is the interval of usage reports; it is short enough that a lease outlasts the loss of one report.
	ReportInterval = 2 * hoist.Second
	// leasedPermille is the share of a limit that is leased, in thousandths; the rest is divided among all routers. A
	// larger share would leave too little for the first LeaseDuration after a start, a smaller one too little for
	// uneven demand.
	leasedPermille = 750
)

// Rates is a limit or a part of one, in thousandths of requests per second, tokens per second and requests in progress.
type Rates struct {
	requests, tokens, concurrent int64
}

// NewRates returns rates in thousandths.
func NewRates(requests, tokens, concurrent int64) Rates {
	return Rates{requests, tokens, concurrent}
}

// RatesOf returns the rates of a configured limit.
func RatesOf(l value.Limit) Rates {
	return Rates{toMilli(l.RequestsPerSecond()), toMilli(l.TokensPerSecond()), toMilli(l.Concurrent())}
}

// toMilli returns a configured value in thousandths; zero means no limit.
func toMilli(n int64) int64 {
	if n <= 0 || n > maxConfigured {
		return unlimited
	}
	return n * milli
}

// Requests returns the requests per second, in thousandths.
func (r Rates) Requests() int64 { return r.requests }

// Tokens returns the tokens per second, in thousandths.
func (r Rates) Tokens() int64 { return r.tokens }

// Concurrent returns the requests in progress, in thousandths.
func (r Rates) Concurrent() int64 { return r.concurrent }

// Bounded reports whether any of the rates is limited.
func (r Rates) Bounded() bool {
	return r.requests != unlimited || r.tokens != unlimited || r.concurrent != unlimited
}

// combine applies f to each pair of rates.
func (r Rates) combine(x Rates, f func(a, b int64) int64) Rates {
	return Rates{f(r.requests, x.requests), f(r.tokens, x.tokens), f(r.concurrent, x.concurrent)}
}

// min returns the lower of each rate.
func (r Rates) min(x Rates) Rates { return r.combine(x, func(a, b int64) int64 { return min(a, b) }) }

// max returns the higher of each rate.
func (r Rates) max(x Rates) Rates { return r.combine(x, func(a, b int64) int64 { return max(a, b) }) }

// plus returns the sums; a sum with an unlimited rate is unlimited.
func (r Rates) plus(x Rates) Rates {
	return r.combine(x, func(a, b int64) int64 {
		if a > unlimited-b {
			return unlimited
		}
		return a + b
	})
}

// minus returns the differences, at least zero; an unlimited rate stays unlimited.
func (r Rates) minus(x Rates) Rates {
	return r.combine(x, func(a, b int64) int64 {
		if a == unlimited {
			return unlimited
		}
		return max(0, a-b)
	})
}

// dividedBy returns the rates divided by n, rounded down; an unlimited rate stays unlimited.
func (r Rates) dividedBy(n int64) Rates { return r.fraction(1, max(n, 1)) }

// fraction returns n/of of the rates, rounded down; an unlimited rate stays unlimited.
func (r Rates) fraction(n, of int64) Rates {
	return r.combine(Rates{}, func(a, _ int64) int64 { return proportion(a, n, of) })
}

// proportion returns a*n/of, rounded down and at most a; an unlimited rate stays unlimited.
func proportion(a, n, of int64) int64 {
	switch {
	case a == unlimited:
		return unlimited
	case n <= 0:
		return 0
	case n >= of:
		return a
	}
	// The product of two values in thousandths can exceed 64 bits, and a float may round up.
	return min(a, int64(math.Floor(float64(a)*(float64(n)/float64(of))*(1-1e-12))))
}
