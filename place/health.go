package place

import (
	"math"
	"slices"

	"chicoryhoist.example/hoist"
)

const (
	// fastWeight makes two samples at ten times the usual time enough to cross ejectRatio.
	fastWeight = 0.25
	// slowWeight spans about 32 samples, two seconds of a busy server.
	slowWeight = 1.0 / 32
	// ejectRatio is above the spread that batching alone causes between healthy peers.
	ejectRatio = 2.5
	// proofRatio is lower than ejectRatio, so that a server at the threshold does not alternate.
	proofRatio = 1.5
	// minSamples keeps a single outlier from ejecting a server.
	minSamples = 3
	// proofSamples is the number of good samples in a row that end a probation.
	proofSamples = 3
	// overdueSpread is the number of standard deviations beyond which a missing first token is no accident: one in 4,000.
	overdueSpread = 3.5
	// overdueMin keeps scheduling noise on very fast engines from counting as overdue, in milliseconds.
	overdueMin = 100
)

// measure is one of the two times by which a server is compared with its peers.
type measure int

const (
	measureFirst measure = iota
	measureInter
	measures
)

// reason returns the reason of a probation that the measure causes.
func (m measure) reason() Reason {
	if m == measureFirst {
		return ReasonSlowFirstToken
	}
	return ReasonSlowInterToken
}

// average holds a fast and a slow exponentially weighted average of one measure.
type average struct {
	fast, slow float64
	samples    int32
}

// with returns the average after one more sample.
func (a average) with(x float64) average {
	if a.samples == 0 {
		return average{fast: x, slow: x, samples: 1}
	}
	a.fast += fastWeight * (x - a.fast)
	a.slow += slowWeight * (x - a.slow)
	a.samples++
	return a
}

// known reports whether the average is worth a comparison.
func (a average) known() bool { return a.samples >= minSamples }

// median returns the lower median; of two servers the faster one is the norm.
func median(xs []float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	slices.Sort(xs)
	return xs[(len(xs)-1)/2]
}

// ratio returns x relative to the norm, or 1 when there is no norm.
func ratio(x, norm float64) float64 {
	if norm <= 0 {
		return 1
	}
	return x / norm
}

// prefill learns how the first-token time of the shard grows with the prompt, by a decaying linear regression.
//
// Without it a server that happens to get long prompts would look like a straggler.
type prefill struct {
	weight, x, y, xx, xy float64
	// spread is the sum of the squared logarithms of the samples, relative to what was expected.
	spread float64
}

// prefillDecay spans about 128 first tokens, less than a second of a busy shard.
const prefillDecay = 1 - 1.0/128

// minWeight is what minSamples samples still weigh after their decay.
const minWeight = minSamples * prefillDecay * prefillDecay

// spreadPrior is the number of samples that an assumed deviation of a factor e weighs; few samples prove no regularity.
const spreadPrior = 8

// spreadClip bounds the effect of one straggler's samples on the spread.
const spreadClip = 1.5

// prefillClip bounds the effect of one straggler's samples on the shard's norm.
const prefillClip = ejectRatio

// with returns the regression after a first token that took y milliseconds for x prompt tokens.
func (p prefill) with(x, y float64) prefill {
	off := 0.0
	if p.weight >= minWeight {
		off = min(spreadClip, math.Abs(math.Log(max(y, 1)/p.expected(x))))
		y = min(y, prefillClip*p.expected(x))
	}
	return prefill{
		spread: prefillDecay*p.spread + off*off,
		weight: prefillDecay*p.weight + 1,
		x:      prefillDecay*p.x + x,
		y:      prefillDecay*p.y + y,
		xx:     prefillDecay*p.xx + x*x,
		xy:     prefillDecay*p.xy + x*y,
	}
}

// perToken returns the prompt cost in milliseconds per token; it is never negative.
func (p prefill) perToken() float64 {
	spread := p.weight*p.xx - p.x*p.x
	if p.weight < minWeight || spread <= 1e-6*p.xx*p.weight {
		return 0
	}
	return max(0, (p.weight*p.xy-p.x*p.y)/spread)
}

// expected returns the first-token time in milliseconds for x prompt tokens; it is at least 1.
func (p prefill) expected(x float64) float64 {
	if p.weight == 0 {
		return 1
	}
	slope := p.perToken()
	base := (p.y - slope*p.x) / p.weight
	return math.Max(1, base+slope*x)
}

// overdueRatio returns the age of an attempt without a token, relative to the expected time, that counts as overdue.
//
// It follows the spread of the shard's first-token times: where they are regular, little delay is needed.
func (p prefill) overdueRatio() float64 {
	deviation := math.Sqrt((spreadPrior + p.spread) / (spreadPrior + p.weight))
	return max(ejectRatio, math.Exp(overdueSpread*deviation))
}

// lateness returns the age of an attempt without a token, relative to the expected time; it is zero when nothing can be said.
func (p prefill) lateness(r RunningAttempt, now hoist.Millis) float64 {
	age := float64(now - r.started)
	if r.tokens > 0 || p.weight < minWeight || age <= overdueMin {
		return 0
	}
	return age / p.expected(r.prefill())
}
