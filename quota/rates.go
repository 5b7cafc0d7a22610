package quota

import (
	"math"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// milli is the number of units of a rate in one request or token: small parts of a limit are below one per second.
	milli = 1000
	// unlimited stands for a limit that the configuration does not state.
	unlimited = math.MaxInt64
	// mostUnits is the largest figure that is treated as a limit; the arithmetic of buckets holds up to there.
	mostUnits = 1_000_000_000
	// LeaseDuration is the time that a lease lasts; a part that its holder no longer uses returns within it.
	LeaseDuration = 5 * hoist.Second
	// ReportInterval is the time between two usage reports, so that a lease survives the loss of one of them.
	ReportInterval = 2 * hoist.Second
	// leasedPermille is the share of a limit that is leased; the rest is divided among all routers. A larger
	// share would leave too little for the first lease length after a start, a smaller one for uneven demand.
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
	return Rates{unit(l.RequestsPerSecond()), unit(l.TokensPerSecond()), unit(l.Concurrent())}
}

// unit returns a configured figure in thousandths; zero means no limit.
func unit(n int64) int64 {
	if n <= 0 || n > mostUnits {
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

// Bounded reports whether any rate is bounded.
func (r Rates) Bounded() bool {
	return r.requests != unlimited || r.tokens != unlimited || r.concurrent != unlimited
}

// join applies f to each pair of rates.
func (r Rates) join(x Rates, f func(a, b int64) int64) Rates {
	return Rates{f(r.requests, x.requests), f(r.tokens, x.tokens), f(r.concurrent, x.concurrent)}
}

// min returns the lower of each rate.
func (r Rates) min(x Rates) Rates { return r.join(x, func(a, b int64) int64 { return min(a, b) }) }

// max returns the higher of each rate.
func (r Rates) max(x Rates) Rates { return r.join(x, func(a, b int64) int64 { return max(a, b) }) }

// plus returns the sums; a sum with an unlimited rate is unlimited.
func (r Rates) plus(x Rates) Rates {
	return r.join(x, func(a, b int64) int64 {
		if a > unlimited-b {
			return unlimited
		}
		return a + b
	})
}

// minus returns the differences, at least zero; an unlimited rate stays unlimited.
func (r Rates) minus(x Rates) Rates {
	return r.join(x, func(a, b int64) int64 {
		if a == unlimited {
			return unlimited
		}
		return max(0, a-b)
	})
}

// over returns the rates divided by n, rounded down; an unlimited rate stays unlimited.
func (r Rates) over(n int64) Rates { return r.share(1, max(n, 1)) }

// share returns the part n/of of the rates, rounded down; an unlimited rate stays unlimited.
func (r Rates) share(n, of int64) Rates {
	return r.join(Rates{}, func(a, _ int64) int64 { return portion(a, n, of) })
}

// portion returns a*n/of, rounded down and at most a; an unlimited rate stays unlimited.
func portion(a, n, of int64) int64 {
	switch {
	case a == unlimited:
		return unlimited
	case n <= 0:
		return 0
	case n >= of:
		return a
	}
	// The product of two figures in thousandths can pass 64 bits, and a float may round up.
	return min(a, int64(math.Floor(float64(a)*(float64(n)/float64(of))*(1-1e-12))))
}
