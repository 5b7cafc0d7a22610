package place

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// RunningAttempt is one attempt in progress on a server.
//
// The placement request is held by pointer and never modified, so that copying a server's attempts is cheap.
type RunningAttempt struct {
	ask          *value.Ask
	rank         int32
	tokens       int32
	started      hoist.Millis
	cachedTokens int32
	isolated     bool
}

// NewRunningAttempt returns an attempt that starts now; rank is the tier rank of its class.
func NewRunningAttempt(ask value.Ask, rank int32, now hoist.Millis) RunningAttempt {
	return RunningAttempt{ask: &ask, rank: rank, started: now, isolated: ask.Alone()}
}

// Ask returns the placement request of the attempt.
func (r RunningAttempt) Ask() value.Ask { return *r.ask }

// Rank returns the tier rank; 1 is the highest.
func (r RunningAttempt) Rank() int32 { return r.rank }

// Started returns the time of the grant.
func (r RunningAttempt) Started() hoist.Millis { return r.started }

// Tokens returns the tokens that the attempt has produced.
func (r RunningAttempt) Tokens() int32 { return r.tokens }

// WithTokens returns a copy with the token count replaced.
func (r RunningAttempt) WithTokens(tokens int32) RunningAttempt {
	r.tokens = tokens
	return r
}

// AttainedTokens returns the tokens that the request has produced over all attempts.
func (r RunningAttempt) AttainedTokens() int32 { return r.ask.ResumedTokens() + r.tokens }

// uncachedTokens returns the tokens that the server must process before the first new token.
func (r RunningAttempt) uncachedTokens() float64 {
	return float64(r.ask.PromptTokens() + r.ask.ResumedTokens() - r.cachedTokens)
}
