package sched

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/value"
)

const (
	// defaultMaxWait is the longest wait in a class that states none.
	defaultMaxWait = 60 * hoist.Second
	// longTargetFactor multiplies the target of long requests that wait to resume, so that first
	// tokens of the same tier go first but cannot delay them without end.
	longTargetFactor = 8
)

// QueuedRequest is a request that waits for a grant.
type QueuedRequest struct {
	ask   value.Ask
	class config.Class
	// since is the arrival at the gateway, or the time of the placement request for a request that resumes.
	since hoist.Millis
	// sequence is the number of the placement request within the shard; it breaks ties of since.
	sequence uint64
	long     bool
}

// Ask returns the placement request.
func (r QueuedRequest) Ask() value.Ask { return r.ask }

// Class returns the request's class.
func (r QueuedRequest) Class() config.Class { return r.class }

// Since returns the time from which the wait counts: the arrival at the gateway,
// or the time of the placement request for a request that resumes.
func (r QueuedRequest) Since() hoist.Millis { return r.since }

// Long reports whether the request's attained service exceeds the policy's long_after_tokens.
func (r QueuedRequest) Long() bool { return r.long }

// attempt returns the key in the index.
func (r *QueuedRequest) attempt() value.Attempt { return r.ask.Attempt() }

// resumed reports whether the caller has already received a part of the response.
func (r *QueuedRequest) resumed() bool { return r.ask.ResumedTokens() > 0 }

// retried reports whether an earlier attempt may have run. Rejecting such a request early with
// "not run" could be wrong, and its caller has already waited.
func (r *QueuedRequest) retried() bool {
	return r.resumed() || r.ask.Alone() || (r.ask.Avoid().Len() > 0 && !r.ask.Hedge())
}

// queue returns the class queue that the request waits in.
func (r *QueuedRequest) queue() queueKind {
	switch {
	case r.long:
		return queueLong
	case r.retried():
		return queueRetried
	default:
		return queueNew
	}
}

// targetTime returns the time that orders requests inside a tier: the earliest goes first.
func (r *QueuedRequest) targetTime() hoist.Millis {
	target := hoist.Millis(r.class.FirstTokenMs())
	if target == 0 {
		return r.since + maxWait(r.class)
	}
	if r.long {
		target *= longTargetFactor
	}
	return r.since + target
}

// queuedBefore reports whether r comes before the other request in a class queue.
func (r *QueuedRequest) queuedBefore(other *QueuedRequest) bool {
	if r.since != other.since {
		return r.since < other.since
	}
	return r.sequence < other.sequence
}

// maxWait returns the longest wait that the class allows.
func maxWait(c config.Class) hoist.Millis {
	if c.MaxWaitMs() <= 0 {
		return defaultMaxWait
	}
	return hoist.Millis(c.MaxWaitMs())
}

// runningAttempt is a granted attempt that has not ended.
type runningAttempt struct {
	ask     value.Ask
	rank    int32
	server  string
	started hoist.Millis
	// lastReport is the time of the gateway's last report.
	lastReport hoist.Millis
	// sequence breaks ties of started.
	sequence uint64
	tokens   int32
	long     bool
	// preempted is set after the gateway was told to cancel the attempt.
	preempted bool
}

// attempt returns the key in the index.
func (ra *runningAttempt) attempt() value.Attempt { return ra.ask.Attempt() }

// attainedTokens returns the tokens that the request has produced over all attempts.
func (ra *runningAttempt) attainedTokens() int32 { return ra.ask.ResumedTokens() + ra.tokens }

// withTokens returns a copy with the reported tokens; the attempt is long above longAfterTokens.
func (ra *runningAttempt) withTokens(tokens, longAfterTokens int32, now hoist.Millis) *runningAttempt {
	next := *ra
	next.tokens, next.lastReport = tokens, now
	next.long = next.attainedTokens() > longAfterTokens
	return &next
}

// withPreempted returns a copy that is marked as preempted.
func (ra *runningAttempt) withPreempted() *runningAttempt {
	next := *ra
	next.preempted = true
	return &next
}
