package retry

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// Event is something that bears on extra attempts, or a question about one.
//
//sumtype:decl
type Event interface{ isEvent() }

// Configured carries the policy in force.
type Configured struct{ Policy value.Policy }

// RequestArrived asks whether a new request may run. The answer is Allow, Deny or Delay.
type RequestArrived struct{ Fingerprint uint64 }

// Requested asks whether a request may be attempted again after an attempt ended. The answer is Allow, Deny or Delay.
type Requested struct {
	Fingerprint uint64
	// Kind of the end of the last attempt.
	Kind value.EndKind
}

// HedgeRequested asks whether a second attempt may start beside the first. The answer is Allow or Deny.
type HedgeRequested struct {
	Fingerprint uint64
}

// HedgeEnded reports the tokens that the losing attempt of a hedged request had produced.
type HedgeEnded struct{ Wasted int32 }

// Delivered reports tokens that reached a caller.
type Delivered struct{ Tokens int32 }

// Wasted reports tokens of preempted or lost attempts.
type Wasted struct{ Tokens int32 }

// FirstToken reports the time from the send of an attempt to its first token.
type FirstToken struct {
	Class, Pool string
	Elapsed     hoist.Millis
}

// Crashed reports that a server crashed, with the fingerprints of all attempts that it was running. The answer is Broadcast.
type Crashed struct {
	Server       string
	Fingerprints value.List[uint64]
}

// TrialEnded reports the end of a run that was allowed with Alone. The answer is Broadcast after a whole answer.
type TrialEnded struct {
	Fingerprint uint64
	Kind        value.EndKind
}

// QuarantineReceived carries an item of another router.
type QuarantineReceived struct{ Item value.Quarantine }

// Ticked lets expired entries go.
type Ticked struct{}

func (Configured) isEvent()         {}
func (RequestArrived) isEvent()     {}
func (Requested) isEvent()          {}
func (HedgeRequested) isEvent()     {}
func (HedgeEnded) isEvent()         {}
func (Delivered) isEvent()          {}
func (Wasted) isEvent()             {}
func (FirstToken) isEvent()         {}
func (Crashed) isEvent()            {}
func (TrialEnded) isEvent()         {}
func (QuarantineReceived) isEvent() {}
func (Ticked) isEvent()             {}

// Verdict is the answer to an event.
//
//sumtype:decl
type Verdict interface{ isVerdict() }

// None answers an event that asked nothing.
type None struct{}

// Allow permits the attempt.
type Allow struct {
	// Alone means that the attempt must have its server for itself and that TrialEnded must follow.
	Alone bool
}

// Deny refuses the attempt.
type Deny struct {
	Reason value.RefusalReason
	// After is the time after which another try is likely to succeed, in milliseconds; zero when unknown.
	After hoist.Millis
}

// Delay asks to repeat the question later, because the same content is being run alone.
type Delay struct{ After hoist.Millis }

// Broadcast carries the items that other routers must learn.
type Broadcast struct{ Items value.List[value.Quarantine] }

func (None) isVerdict()      {}
func (Allow) isVerdict()     {}
func (Deny) isVerdict()      {}
func (Delay) isVerdict()     {}
func (Broadcast) isVerdict() {}
