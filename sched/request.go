package sched

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/value"
)

const (
	// defaultMaxWait bounds the wait in a class that states none.
	defaultMaxWait = 60 * hoist.Second
	// longStretch multiplies the target of long work that waits to resume, so that
	// first tokens of the same tier go first but cannot hold it up without end.
	longStretch = 8
)

// QueuedRequest is one request in the queue.
type QueuedRequest struct {
	ask   value.Ask
	class config.Class
	// since is the arrival at the gateway, or the time of the ask for a request that resumes.
	since hoist.Millis
	// order is the number of the ask within the shard; it breaks ties of since.
	order uint64
	long  bool
}

// Ask returns the request.
func (w QueuedRequest) Ask() value.Ask { return w.ask }

// Class returns the request's class.
func (w QueuedRequest) Class() config.Class { return w.class }

// Since returns the time from which the wait counts: the arrival at the gateway,
// or the time of the ask for a request that resumes.
func (w QueuedRequest) Since() hoist.Millis { return w.since }

// Long reports whether the request has attained more than the policy's long_after_tokens.
func (w QueuedRequest) Long() bool { return w.long }

// attempt returns the key in the index.
func (w *QueuedRequest) attempt() value.Attempt { return w.ask.Attempt() }

// resumed reports whether the caller already has a part of the answer.
func (w *QueuedRequest) resumed() bool { return w.ask.ResumedTokens() > 0 }

// retried reports whether an earlier attempt may have run; an early refusal would then be
// no honest "not run", and the caller has already paid for the wait.
func (w *QueuedRequest) retried() bool {
	return w.resumed() || w.ask.Alone() || (w.ask.Avoid().Len() > 0 && !w.ask.Hedge())
}

// kind returns the lane that the request waits in.
func (w *QueuedRequest) kind() laneKind {
	switch {
	case w.long:
		return laneLong
	case w.retried():
		return laneRetried
	default:
		return laneFirst
	}
}

// due returns the time that orders requests inside a tier.
func (w *QueuedRequest) due() hoist.Millis {
	target := hoist.Millis(w.class.FirstTokenMs())
	if target == 0 {
		return w.since + maxWait(w.class)
	}
	if w.long {
		target *= longStretch
	}
	return w.since + target
}

// older reports whether w comes before x in a lane.
func (w *QueuedRequest) older(x *QueuedRequest) bool {
	if w.since != x.since {
		return w.since < x.since
	}
	return w.order < x.order
}

// maxWait returns the longest wait that the class allows.
func maxWait(c config.Class) hoist.Millis {
	if c.MaxWaitMs() <= 0 {
		return defaultMaxWait
	}
	return hoist.Millis(c.MaxWaitMs())
}

// job is one granted attempt.
type job struct {
	ask     value.Ask
	rank    int32
	server  string
	started hoist.Millis
	// heard is the time of the last report of the gateway.
	heard hoist.Millis
	// order breaks ties of started.
	order  uint64
	tokens int32
	long   bool
	// preempted is set once the gateway has been told to cancel the attempt.
	preempted bool
}

// attempt returns the key in the index.
func (j *job) attempt() value.Attempt { return j.ask.Attempt() }

// attained returns the tokens that the request has produced over all attempts.
func (j *job) attained() int32 { return j.ask.ResumedTokens() + j.tokens }

// withTokens returns a copy that has reported its tokens; the job becomes long above the limit.
func (j *job) withTokens(n, longAfter int32, now hoist.Millis) *job {
	c := *j
	c.tokens, c.heard = n, now
	c.long = c.attained() > longAfter
	return &c
}

// withPreempted returns a copy that is marked as preempted.
func (j *job) withPreempted() *job {
	c := *j
	c.preempted = true
	return &c
}
