package call

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/retry"
	"chicoryhoist.example/hoist/value"
)

// Effect is something that the runtime does for a request.
//
//sumtype:decl
type Effect interface{ isEffect() }

// Send passes a message to the dispatcher; an Ask goes to the current owner of its shard,
// any other message to the dispatcher that received the attempt's Ask.
type Send struct{ Body value.GatewayMessageBody }

// Start opens an attempt on the granted server; the answer continues after Resume tokens.
type Start struct {
	Grant  value.Grant
	Resume int32
}

// NotifyRetry passes an event to the retry state of the process; the runtime answers a question with RetryDecided at once.
type NotifyRetry struct{ Event retry.Event }

// Stop cancels an attempt's connection.
type Stop struct{ Attempt value.Attempt }

// SetTimer sets a timer.
type SetTimer struct {
	Timer Timer
	Delay hoist.Millis
}

// Finish ends the request.
type Finish struct{ Result Result }

func (Send) isEffect()        {}
func (Start) isEffect()       {}
func (NotifyRetry) isEffect() {}
func (Stop) isEffect()        {}
func (SetTimer) isEffect()    {}
func (Finish) isEffect()      {}

// Result is the end of a request as its caller sees it.
type Result struct {
	// Outcome says whether the request ran.
	Outcome value.Outcome
	// Reason is the dispatcher's refusal, or unspecified.
	Reason value.RefusalReason
	// RetryAfter is the time after which a new request is likely to be accepted.
	RetryAfter hoist.Millis
	// Emitted is the number of frames that were passed to the caller.
	Emitted int32
	// Attempts is the number of attempts that were started on a server.
	Attempts int32
}

// Verdict is the decision about one frame of an answer.
type Verdict int

// Verdict values.
const (
	// VerdictEmit passes the frame to the caller.
	VerdictEmit Verdict = iota
	// VerdictFirst asks the runtime to report FirstFrame and to offer the frame again.
	VerdictFirst
	// VerdictDrop discards a frame that the caller already has.
	VerdictDrop
	// VerdictStale discards a frame of an attempt that is not in progress.
	VerdictStale
	// VerdictGap means that a frame is missing; the attempt has failed.
	VerdictGap
)

// OutcomeName returns the outcome as headers, bodies, metrics and records carry it.
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
