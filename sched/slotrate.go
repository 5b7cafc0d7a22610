package sched

import (
	"math"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// slotRateWindowMs is the averaging window of the slot rate in milliseconds.
	slotRateWindowMs = 10_000.0
	// slotRatePrior is the number of ended attempts that the assumed holding time weighs before measurements exist.
	slotRatePrior = 16.0
	// defaultTokensPerSecond is the speed of one slot if the pool states none.
	defaultTokensPerSecond = 30
	// serviceHoldingMs is the assumed time that a call to a plain service holds its slot.
	serviceHoldingMs = 100.0
)

// slotRate measures how fast busy slots become free.
//
// It divides ended attempts by busy slot time instead of averaging holding times, because
// attempts that still run count too. A few very long outputs then neither distort the rate
// nor delay its estimate.
type slotRate struct {
	// holdingMs is the assumed time that an attempt holds its slot.
	holdingMs float64
	ends      float64
	busyMs    float64
	updated   hoist.Millis
}

// newSlotRate returns a rate that assumes outputs of assumedOutputTokens at the pool's stated speed.
func newSlotRate(p value.Pool) slotRate {
	if p.Kind() == value.PoolKindService {
		return slotRate{holdingMs: serviceHoldingMs}
	}
	return slotRate{holdingMs: assumedOutputTokens * 1000 / float64(tokensPerSecond(p))}
}

// tokensPerSecond returns the speed of one slot.
func tokensPerSecond(p value.Pool) int64 {
	if v := int64(p.TokensPerSecond()); v > 0 {
		return v
	}
	return defaultTokensPerSecond
}

// observe returns a rate updated by the number of busy slots until now and the number of ended attempts.
func (r slotRate) observe(busy, ends int, now hoist.Millis) slotRate {
	elapsed := max(0, now-r.updated)
	if r.updated == 0 {
		elapsed = 0
	}
	weight := decay(elapsed, slotRateWindowMs)
	r.ends = r.ends*weight + float64(ends)
	r.busyMs = r.busyMs*weight + float64(busy)*float64(elapsed)
	r.updated = max(r.updated, now)
	return r
}

// rate returns the number of slots that become free per millisecond if so many are busy.
func (r slotRate) rate(busy int) float64 {
	if r.holdingMs <= 0 {
		return 0
	}
	return float64(busy) * (r.ends + slotRatePrior) / (r.busyMs + slotRatePrior*r.holdingMs)
}

const (
	// firstTokenDivisor sets the weight of a new first-token time in the mean to 1/16.
	firstTokenDivisor = 16
	// defaultHedgePermille is the percentile of the first-token time after which a hedge is sent, in thousandths.
	defaultHedgePermille = 950
	// quantileStep is the relative step of the percentile estimate.
	quantileStep = 0.125
)

// firstTokenStats estimates the time from sending a grant to the first token.
type firstTokenStats struct {
	mean     float64
	quantile float64
}

// withSample returns a copy updated by a first-token time; permille is the estimated percentile.
func (f firstTokenStats) withSample(ms int64, permille int32) firstTokenStats {
	x := float64(ms)
	if f.mean == 0 {
		return firstTokenStats{mean: x, quantile: 2 * x}
	}
	f.mean += (x - f.mean) / firstTokenDivisor
	percentile := float64(permille) / 1000
	if x > f.quantile {
		f.quantile += f.quantile * quantileStep * percentile
	} else {
		f.quantile -= f.quantile * quantileStep * (1 - percentile)
	}
	return f
}

// expected returns the mean first-token time.
func (f firstTokenStats) expected() hoist.Millis { return hoist.Millis(math.Round(f.mean)) }

// hedgeDelay returns the time after which a hedge is sent, or zero before measurements exist.
func (f firstTokenStats) hedgeDelay() int64 { return int64(math.Round(f.quantile)) }
