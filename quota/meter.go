package quota

import "chicoryhoist.example/hoist"

// Allowance is what a router may use of one limit.
type Allowance struct {
	// Rates hold until the time Until, Fallback from then on.
	Rates    Rates
	Until    hoist.Millis
	Fallback Rates
}

// at returns the rates that hold at the time.
func (a Allowance) at(now hoist.Millis) Rates {
	if now < a.Until {
		return a.Rates
	}
	return a.Fallback
}

// Meter is the immutable use of one limit by one router.
type Meter struct {
	allowance Allowance
	current   Rates
	requests  Bucket
	tokens    Bucket
	running   int64
	// asked sums the demand since the last sample, in thousandths of requests and tokens.
	askedRequests, askedTokens int64
	// refused counts the requests that were refused since the last sample.
	refused int64
	sampled hoist.Millis
}

// NewMeter returns an unused meter.
func NewMeter(a Allowance, now hoist.Millis) Meter {
	r := a.at(now)
	return Meter{
		allowance: a, current: r, requests: NewBucket(r.requests, now), tokens: NewBucket(r.tokens, now), sampled: now,
	}
}

// WithAllowance returns a copy with the allowance replaced.
func (m Meter) WithAllowance(a Allowance, now hoist.Millis) Meter {
	m.allowance = a
	return m.turned(now)
}

// turned returns a copy whose buckets follow the rates of the time.
func (m Meter) turned(now hoist.Millis) Meter {
	r := m.allowance.at(now)
	if r == m.current {
		return m
	}
	m.current = r
	m.requests = m.requests.WithRate(r.requests, now)
	m.tokens = m.tokens.WithRate(r.tokens, now)
	return m
}

// Running returns the requests in progress.
func (m Meter) Running() int64 { return m.running }

// Admit returns the meter with one more request in progress, or the time after which to try again.
//
// The demand counts in either case, because a refused request is the reason to ask for a larger lease.
func (m Meter) Admit(tokens int64, now hoist.Millis) (Meter, hoist.Millis, bool) {
	m = m.turned(now)
	m.askedRequests += milli
	m.askedTokens += tokens * milli
	requests, wait, ok := m.requests.Take(milli, now)
	if !ok {
		m.refused++
		return m, wait, false
	}
	spent, wait, ok := m.tokens.Take(tokens*milli, now)
	if !ok {
		m.refused++
		return m, wait, false
	}
	if m.current.concurrent != unlimited && (m.running+1)*milli > m.current.concurrent {
		m.refused++
		return m, ReportInterval, false
	}
	m.requests, m.tokens = requests, spent
	m.running++
	return m, 0, true
}

// Rollback returns the meter without a request that another limit refused.
func (m Meter) Rollback(tokens int64) Meter {
	m.requests = m.requests.Refund(milli)
	m.tokens = m.tokens.Refund(tokens * milli)
	m.running = max(0, m.running-1)
	return m
}

// Release returns the meter after a request has ended with so many output tokens.
func (m Meter) Release(output int64, now hoist.Millis) Meter {
	m = m.turned(now)
	m.tokens = m.tokens.Charge(output*milli, now)
	m.askedTokens += output * milli
	m.running = max(0, m.running-1)
	return m
}

// Sample returns the meter with a fresh count and the demand since the last sample.
func (m Meter) Sample(now hoist.Millis) (Meter, Rates) {
	passed := max(1, int64(now-m.sampled))
	demand := Rates{
		requests:   m.askedRequests * milli / passed,
		tokens:     m.askedTokens * milli / passed,
		concurrent: (m.running + m.refused) * milli,
	}
	m.askedRequests, m.askedTokens, m.refused, m.sampled = 0, 0, 0, now
	return m, demand
}

// idle reports whether nothing has happened since the last sample.
func (m Meter) idle() bool { return m.running == 0 && m.askedRequests == 0 && m.askedTokens == 0 }
