package relay

import "chicoryhoist.example/hoist"

// Outcome is the result of one attempt at a server.
//
//sumtype:decl
type Outcome interface{ isOutcome() }

// Unsent means that no byte of the request was sent.
type Unsent struct{}

// NotRun means that the server refused the request and stated that it has not run it.
type NotRun struct{}

// ResponseLost means that the request was sent but no valid response was received, so the request may have run.
type ResponseLost struct{}

// ServerError means that the server returned a complete error response.
type ServerError struct{}

// Interrupted means that the response was interrupted after a part of it was forwarded.
type Interrupted struct{}

// Completed means that the complete response was forwarded.
type Completed struct{}

// CallerDisconnected means that the caller disconnected.
type CallerDisconnected struct{}

// Expired means that the deadline of the request passed.
type Expired struct{}

func (Unsent) isOutcome()             {}
func (NotRun) isOutcome()             {}
func (ResponseLost) isOutcome()       {}
func (ServerError) isOutcome()        {}
func (Interrupted) isOutcome()        {}
func (Completed) isOutcome()          {}
func (CallerDisconnected) isOutcome() {}
func (Expired) isOutcome()            {}

// suggestsCrash reports whether the server may have crashed while it ran the request, wherever the response ended.
func suggestsCrash(o Outcome) bool {
	switch o.(type) {
	case ResponseLost, Interrupted:
		return true
	case Unsent, NotRun, ServerError, Completed, CallerDisconnected, Expired:
	}
	return false
}

// Step is what to do after an attempt.
//
//sumtype:decl
type Step interface{ isStep() }

// Retry requests another server. If Charged is set, the retry counts against the retry budget, and the shard owner
// rejects it if the budget is exhausted.
type Retry struct{ Charged bool }

// ForwardError forwards the server's error response.
type ForwardError struct{}

// Reject sends a local error that says that the request has not run.
type Reject struct{}

// Fail sends a local error that says that a server failed.
type Fail struct{}

// TimeOut sends a local error that says that the deadline has passed; the request may have run.
type TimeOut struct{}

// Abort leaves the response that has begun incomplete.
type Abort struct{}

// Finish ends the request without sending anything more.
type Finish struct{}

func (Retry) isStep()        {}
func (ForwardError) isStep() {}
func (Reject) isStep()       {}
func (Fail) isStep()         {}
func (TimeOut) isStep()      {}
func (Abort) isStep()        {}
func (Finish) isStep()       {}

// maxSends bounds the attempts of one request, including those that did not run because a connection was refused.
const maxSends = 5

// minTimeLeft is the time before the deadline below which another attempt cannot succeed.
const minTimeLeft = 10 * hoist.Millis(1)

// Progress is the immutable state of one request between its attempts.
type Progress struct {
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// MaxRuns is the number of attempts that may run the request.
	MaxRuns int
	// Sends counts all attempts, Runs those that may have run.
	Sends, Runs int
	// Started is set once a part of a response was forwarded.
	Started bool
	// Deadline is the time by which the caller must have the response.
	Deadline hoist.Millis
}

// Next returns the progress after an attempt and the next step.
func (p Progress) Next(o Outcome, now hoist.Millis) (Progress, Step) {
	p.Sends++
	switch o.(type) {
	case Completed, CallerDisconnected:
		return p, Finish{}
	case Unsent:
		return p, p.stepNotRun(false, now)
	case NotRun:
		return p, p.stepNotRun(true, now)
	case ResponseLost:
		p.Runs++
		return p, p.stepAfterRun(now, Fail{})
	case ServerError:
		p.Runs++
		return p, p.stepAfterRun(now, ForwardError{})
	case Interrupted:
		p.Runs++
		return p, p.stepAfterRun(now, Abort{})
	case Expired:
		p.Runs++
		if p.Started {
			return p, Abort{}
		}
		return p, TimeOut{}
	default:
		return p, Abort{}
	}
}

// StepUnplaced returns the step if no server was granted for the next attempt; hasError says whether a server has returned
// an error response.
func (p Progress) StepUnplaced(hasError bool) Step {
	switch {
	case p.Started:
		return Abort{}
	case hasError:
		return ForwardError{}
	case p.Runs > 0:
		return Fail{}
	default:
		return Reject{}
	}
}

// stepNotRun returns the step after an attempt that has not run.
func (p Progress) stepNotRun(charged bool, now hoist.Millis) Step {
	switch {
	case p.Sends < maxSends && now+minTimeLeft < p.Deadline:
		return Retry{Charged: charged}
	case p.Started:
		return Abort{}
	case p.Runs > 0:
		return Fail{}
	default:
		return Reject{}
	}
}

// stepAfterRun returns the step after an attempt that may have run: a retry if one is allowed, otherwise Abort if a
// part of a response was forwarded, and the given step if not.
func (p Progress) stepAfterRun(now hoist.Millis, otherwise Step) Step {
	if p.Repeatable && p.Runs < p.MaxRuns && p.Sends < maxSends && now+minTimeLeft < p.Deadline {
		return Retry{Charged: true}
	}
	if p.Started {
		return Abort{}
	}
	return otherwise
}
