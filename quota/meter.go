package quota

import "chicoryhoist.example/hoist"

// Allowance is what a router may use of one limit.
type Allowance struct {
	// Rates apply until the time Until, Fallback from then on.
	Rates    Rates
	Until    hoist.Millis
	Fallback Rates
}

// at returns the rates that apply at the time.
func (a Allowance) at(now hoist.Millis) Rates {
	if now < a.Until {
		return a.Rates
	}
	return a.Fallback
}

// Meter is the immutable usage of one limit by one router.
type Meter struct {
	allowance    Allowance
	currentRates Rates
	requests     Bucket
	tokens       Bucket
	running      int64
	// demandedRequests and demandedTokens sum the demand since the last sample, in thousandths of requests and tokens.
	demandedRequests, demandedTokens int64
	// rejected counts the requests that were rejected since the last sample.
	rejected   int64
	lastSample hoist.Millis
}

// NewMeter returns an unused meter.
func NewMeter(a Allowance, now hoist.Millis) Meter {
	rates := a.at(now)
	return Meter{
		allowance: a, currentRates: rates, requests: NewBucket(rates.requests, now), tokens: NewBucket(rates.tokens, now), lastSample: now,
	}
}

// WithAllowance returns a copy with the allowance replaced.
func (m Meter) WithAllowance(a Allowance, now hoist.Millis) Meter {
	m.allowance = a
	return m.refreshed(now)
}

// refreshed returns a copy whose buckets follow the rates that apply now.
func (m Meter) refreshed(now hoist.Millis) Meter {
	rates := m.allowance.at(now)
	if rates == m.currentRates {
		return m
	}
	m.currentRates = rates
	m.requests = m.requests.WithRate(rates.requests, now)
	m.tokens = m.tokens.WithRate(rates.tokens, now)
	return m
}

// Running returns the number of requests in progress.
func (m Meter) Running() int64 { return m.running }

// Admit returns the meter with one more request in progress, or the retry after.
//
// The demand counts in both cases, because rejected requests are the reason to ask for a larger lease.
func (m Meter) Admit(tokens int64, now hoist.Millis) (Meter, hoist.Millis, bool) {
	m = m.refreshed(now)
	m.demandedRequests += milli
	m.demandedTokens += tokens * milli
	requests, wait, ok := m.requests.Take(milli, now)
	if !ok {
		m.rejected++
		return m, wait, false
	}
	tokenBucket, wait, ok := m.tokens.Take(tokens*milli, now)
	if !ok {
		m.rejected++
		return m, wait, false
	}
	if m.currentRates.concurrent != unlimited && (m.running+1)*milli > m.currentRates.concurrent {
		m.rejected++
		return m, ReportInterval, false
	}
	m.requests, m.tokens = requests, tokenBucket
	m.running++
	return m, 0, true
}

// Rollback returns the meter without a request that was rejected at another limit.
func (m Meter) Rollback(tokens int64) Meter {
	m.requests = m.requests.Refund(milli)
	m.tokens = m.tokens.Refund(tokens * milli)
	m.running = max(0, m.running-1)
	return m
}

// Release returns the meter after a request has ended, with its output tokens charged.
func (m Meter) Release(output int64, now hoist.Millis) Meter {
	m = m.refreshed(now)
	m.tokens = m.tokens.Charge(output*milli, now)
	m.demandedTokens += output * milli
	m.running = max(0, m.running-1)
	return m
}

// Sample returns the meter with its counters reset and the demand since the last sample.
func (m Meter) Sample(now hoist.Millis) (Meter, Rates) {
	elapsed := max(1, int64(now-m.lastSample))
	demand := Rates{
		requests:   m.demandedRequests * milli / elapsed,
		tokens:     m.demandedTokens * milli / elapsed,
		concurrent: (m.running + m.rejected) * milli,
	}
	m.demandedRequests, m.demandedTokens, m.rejected, m.lastSample = 0, 0, 0, now
	return m, demand
}

// idle reports whether there was no use since the last sample.
func (m Meter) idle() bool { return m.running == 0 && m.demandedRequests == 0 && m.demandedTokens == 0 }
