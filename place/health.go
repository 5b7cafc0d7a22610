package place

import (
	"math"
	"slices"

	"chicoryhoist.example/hoist"
)

const (
	// fastWeight is the weight of a new sample in the fast average. It is large enough that one sample of ten times
	// the usual time crosses ejectRatio.
	fastWeight = 0.25
	// slowWeight is the weight of a new sample in the slow average, which spans about 32 samples, two seconds of a
	// busy server.
	slowWeight = 1.0 / 32
	// ejectRatio is above the differences that batching alone causes between healthy peers.
	ejectRatio = 2.5
	// recoveryRatio is lower than ejectRatio, so that a server near the threshold does not alternate.
	recoveryRatio = 1.5
	// minSamples prevents a single outlier among the first samples of a server from ejecting it.
	minSamples = 3
	// recoverySamples is the number of good samples that end a probation, with no slow sample between them.
	recoverySamples = 3
	// overdueDeviations is the number of standard deviations from which a missing first token counts as overdue; by
	// chance one in 4,000 first tokens takes that long.
	overdueDeviations = 3.5
	// overdueMinMs prevents scheduling noise on very fast engines from counting as overdue.
	overdueMinMs = 100
)

// latencyMetric is one of the two times by which a server is compared with its peers.
type latencyMetric int

const (
	metricFirstToken latencyMetric = iota
	metricInterToken
	metricCount
)

// reason returns the reason for a probation that the metric causes.
func (m latencyMetric) reason() Reason {
	if m == metricFirstToken {
		return ReasonSlowFirstToken
	}
	return ReasonSlowInterToken
}

// average holds a fast and a slow exponentially weighted average of one metric.
type average struct {
	fast, slow float64
	samples    int32
}

// with returns the average updated by one sample.
func (a average) with(x float64) average {
	if a.samples == 0 {
		return average{fast: x, slow: x, samples: 1}
	}
	a.fast += fastWeight * (x - a.fast)
	a.slow += slowWeight * (x - a.slow)
	a.samples++
	return a
}

// significant reports whether the average has enough samples for a comparison.
func (a average) significant() bool { return a.samples >= minSamples }

// median returns the lower median, so that of two servers the faster one is the norm.
func median(xs []float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	slices.Sort(xs)
	return xs[(len(xs)-1)/2]
}

// ratio returns x relative to the norm, or 1 without a norm.
func ratio(x, norm float64) float64 {
	if norm <= 0 {
		return 1
	}
	return x / norm
}

// prefillModel estimates how the first-token time of the shard grows with the prompt, by a decaying linear regression.
//
// Without it a server that happens to get long prompts would look like a straggler.
type prefillModel struct {
	weight, sumX, sumY, sumXX, sumXY float64
	// squaredDeviations is the decaying sum of the squared logarithms of measured over expected time.
	squaredDeviations float64
}

// prefillDecay is the weight that older samples keep for each new one. The model spans about 128 first tokens, less
// than a second of a busy shard.
const prefillDecay = 1 - 1.0/128

// minPrefillWeight is the weight of minSamples samples after their decay.
const minPrefillWeight = minSamples * prefillDecay * prefillDecay

// deviationPrior is the number of samples that an assumed deviation by a factor of e weighs, because few samples do not
// show that the times are regular.
const deviationPrior = 8

// maxDeviation limits the effect of one straggler's samples on the deviation.
const maxDeviation = 1.5

// maxPrefillRatio limits the effect of one straggler's samples on the shard's norm.
const maxPrefillRatio = ejectRatio

// with returns the model updated by a first token that took ms milliseconds for the given uncached prompt tokens.
func (p prefillModel) with(tokens, ms float64) prefillModel {
	deviation := 0.0
	if p.weight >= minPrefillWeight {
		deviation = min(maxDeviation, math.Abs(math.Log(max(ms, 1)/p.expected(tokens))))
		ms = min(ms, maxPrefillRatio*p.expected(tokens))
	}
	return prefillModel{
		squaredDeviations: prefillDecay*p.squaredDeviations + deviation*deviation,
		weight:            prefillDecay*p.weight + 1,
		sumX:              prefillDecay*p.sumX + tokens,
		sumY:              prefillDecay*p.sumY + ms,
		sumXX:             prefillDecay*p.sumXX + tokens*tokens,
		sumXY:             prefillDecay*p.sumXY + tokens*ms,
	}
}

// perToken returns the prompt cost in milliseconds per token; it is never negative.
func (p prefillModel) perToken() float64 {
	variance := p.weight*p.sumXX - p.sumX*p.sumX
	if p.weight < minPrefillWeight || variance <= 1e-6*p.sumXX*p.weight {
		return 0
	}
	return max(0, (p.weight*p.sumXY-p.sumX*p.sumY)/variance)
}

// expected returns the first-token time in milliseconds for the given uncached prompt tokens; it is at least 1.
func (p prefillModel) expected(tokens float64) float64 {
	if p.weight == 0 {
		return 1
	}
	slope := p.perToken()
	base := (p.sumY - slope*p.sumX) / p.weight
	return math.Max(1, base+slope*tokens)
}

// overdueRatio returns the age of an attempt without a token, relative to the expected time, from which it is overdue.
//
// It follows the deviation of the shard's first-token times: if they are regular, a small delay is significant.
func (p prefillModel) overdueRatio() float64 {
	deviation := math.Sqrt((deviationPrior + p.squaredDeviations) / (deviationPrior + p.weight))
	return max(ejectRatio, math.Exp(overdueDeviations*deviation))
}

// lateness returns the age of an attempt without a token relative to the expected time, or zero if that is too early
// or the model has too few samples.
func (p prefillModel) lateness(r RunningAttempt, now hoist.Millis) float64 {
	age := float64(now - r.started)
	if r.tokens > 0 || p.weight < minPrefillWeight || age <= overdueMinMs {
		return 0
	}
	return age / p.expected(r.uncachedTokens())
}
