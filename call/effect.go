package call

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/retry"
	"chicoryhoist.example/hoist/value"
)

// Effect is an action that a decision asks the runtime to perform.
//
//sumtype:decl
type Effect interface{ isEffect() }

// Send sends a message to a dispatcher: an Ask goes to the current owner of its shard,
// any other message to the dispatcher that received the attempt's Ask.
type Send struct{ Body value.GatewayMessageBody }

// Start starts an attempt on the granted server; the response continues after Resume tokens.
type Start struct {
	Grant  value.Grant
	Resume int32
}

// NotifyRetry passes an event to the retry state of the process; if it returns a verdict, the runtime passes that back at once as RetryDecided.
type NotifyRetry struct{ Event retry.Event }

// Stop closes the connection of an attempt.
type Stop struct{ Attempt value.Attempt }

// SetTimer starts a timer or restarts it; TimerFired follows after the delay.
type SetTimer struct {
	Timer Timer
	Delay hoist.Millis
}

// Finish ends the request and gives its result to the caller.
type Finish struct{ Result Result }

func (Send) isEffect()        {}
func (Start) isEffect()       {}
func (NotifyRetry) isEffect() {}
func (Stop) isEffect()        {}
func (SetTimer) isEffect()    {}
func (Finish) isEffect()      {}

// Result is the result of a request.
type Result struct {
	// Outcome is whether the request ran.
	Outcome value.Outcome
	// Reason is why the request was refused, or unspecified.
	Reason value.RefusalReason
	// RetryAfter is the time after which a new request is likely to be accepted.
	RetryAfter hoist.Millis
	// Emitted is the number of frames that were delivered to the caller.
	Emitted int32
	// Attempts is the number of attempts that were started on servers.
	Attempts int32
}

// Verdict is the decision about one response frame.
type Verdict int

// Decisions about a frame.
const (
	// VerdictEmit delivers the frame to the caller.
	VerdictEmit Verdict = iota
	// VerdictFirst marks the first frame of an attempt; the runtime must apply FirstFrame and call Accept again.
	VerdictFirst
	// VerdictDrop discards a frame that was already delivered.
	VerdictDrop
	// VerdictStale discards a frame of an attempt that is not in progress.
	VerdictStale
	// VerdictGap means that frames before this one are missing; the attempt has failed.
	VerdictGap
)

// OutcomeName returns the outcome as written in headers, bodies, metrics and request records.
func OutcomeName(o value.Outcome) string {
	switch o {
	case value.OutcomeRan:
		return "ran"
	case value.OutcomeNotRun:
		return "not-run"
	default:
		return "unknown"
	}
}
