package assign

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// modelDecay is the weight that older samples keep at each new one. The weights sum up to 32 samples, which an engine
	// answers within seconds.
	modelDecay = 31.0 / 32
	// modelPrior is the predicted time for which a model without samples holds the usual speed, so that a single response
	// that is late by chance changes little.
	modelPrior = 400.0
	// minSampleTime is the shortest predicted time of a sample, in milliseconds. In a shorter time, the network and the
	// step time of the engine outweigh its speed.
	minSampleTime = 10.0
	// minFactor and maxFactor bound the learned factor of an engine, so that one that was measured wrongly still gets
	// requests from which its factor is learned again.
	minFactor, maxFactor = 0.25, 4.0
	// minPromptRate and maxPromptRate bound the learned rate, in tokens per millisecond.
	minPromptRate, maxPromptRate = 1.0, 10000.0
)

// model is an immutable record of how fast an engine was, from the time to the first event of the requests that the
// state has placed there. The zero value knows nothing.
type model struct {
	// tokens is the sum of the prompt tokens that the engine had to compute before the first events, each multiplied by
	// the slowness that was reported at placement; observed is the sum of the times to these events, in milliseconds.
	// Both weigh older samples less.
	tokens, observed float64
}

// withSample returns a copy that has learned that the tokens took the time. A sample says nothing if the tokens take less
// than minSampleTime at the rate. The time counts only within the bounds of a factor: beyond, it is that of a frozen process
// or of a wrong entry rather than that of an engine.
func (m model) withSample(tokens, rate float64, took hoist.Millis) model {
	predicted := tokens / rate
	if predicted < minSampleTime || took < 0 {
		return m
	}
	return model{m.tokens*modelDecay + tokens, m.observed*modelDecay + min(max(float64(took), minFactor*predicted), maxFactor*predicted)}
}

// factor returns the time that the engine takes relative to the rate of its shard; 1 is usual and 2 takes twice as long.
func (m model) factor(rate float64) float64 {
	return min(max((m.observed+modelPrior)/(m.tokens/rate+modelPrior), minFactor), maxFactor)
}

// promptRate returns the rate at which an engine of the shard computes prompt tokens on average, in tokens per
// millisecond: as learned, or the initial value.
func (s State) promptRate() float64 {
	if !s.rules.Engines {
		return prefillTokensPerMs
	}
	tokens, observed := prefillTokensPerMs*modelPrior, modelPrior
	for i := range s.servers.Len() {
		m := s.servers.At(i).model
		tokens, observed = tokens+m.tokens, observed+m.observed
	}
	return min(max(tokens/observed, minPromptRate), maxPromptRate)
}

// costScale holds what the cost of a request at a server depends on besides the load of the server.
type costScale struct {
	// rate is the rate of prompt tokens of the shard, in tokens per millisecond.
	rate float64
	// factor multiplies the terms of the queue of the server.
	factor float64
	// remote is the cost of a server in another data centre.
	remote float64
}

// scale returns the scale of the costs of the request at the server. It is constant unless the rules ask for learned speeds.
func (s State) scale(x server, w value.Work, rate float64) costScale {
	if !s.rules.Speeds {
		return costScale{prefillTokensPerMs, 1, s.remoteCost(w)}
	}
	return costScale{rate, x.model.factor(rate), s.remoteCost(w)}
}

// expectedTokens returns the prompt tokens that the server computes before the first event of the request, multiplied by
// its slowness. It is zero if no model is to be learned.
//
// The slowness counts only within the bounds of a factor: the rate of the shard is learned from the sums of all engines, which
// a single engine with a false report of any size would dominate.
func (s State) expectedTokens(x server, w value.Work, uncached int32, now hoist.Millis) float64 {
	if !s.rules.Engines {
		return 0
	}
	return min(max(x.slowness(now), minFactor), maxFactor) * (x.tokensAhead(w.Rank()) + float64(uncached))
}

// withSample returns a copy that has learned from the first event of the request, if the request was placed by this state.
func (s server) withSample(id uint64, rate float64, now hoist.Millis) server {
	if i := s.find(id); i >= 0 {
		if r := s.runs.At(i); !r.responded && r.expectedTokens > 0 {
			s.model = s.model.withSample(r.expectedTokens, rate, now-r.placedAt)
		}
	}
	return s
}

// EngineModel is what a state has learned of one engine.
type EngineModel struct {
	Server string
	// Factor is the time that the engine takes relative to the mean of its shard.
	Factor float64
}

// Models returns the rate of prompt tokens of the shard in tokens per millisecond and the models of its engines. The list
// is empty unless the rules for limited engines are in force.
func (s State) Models() (rate float64, models []EngineModel) {
	rate = s.promptRate()
	if s.rules.Engines {
		for x := range s.servers.All() {
			models = append(models, EngineModel{x.entry.Id(), x.model.factor(rate)})
		}
	}
	return rate, models
}
