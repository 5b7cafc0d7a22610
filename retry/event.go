package retry

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// Event is an input of Decide: an observation or a question about an extra attempt.
//
//sumtype:decl
type Event interface{ isEvent() }

// Configured carries the policy in force.
type Configured struct{ Policy value.Policy }

// RequestArrived asks whether a new request may run; the verdict is Allow, Deny or Delay.
type RequestArrived struct{ Fingerprint uint64 }

// Requested asks whether a request may be retried after an attempt has ended; the verdict is Allow, Deny or Delay.
type Requested struct {
	Fingerprint uint64
	// Kind is how the last attempt ended.
	Kind value.EndKind
}

// HedgeRequested asks whether a hedge may start; the verdict is Allow or Deny.
type HedgeRequested struct {
	Fingerprint uint64
}

// HedgeEnded reports the tokens that the cancelled attempt of a hedged request had produced; what these leave of the reserve is refunded.
//
// Package call always reports 0 tokens, so that the whole reserve is refunded. It reports nothing if only one attempt
// is in progress at the first frame, for example because the other one has failed; the reserve then stays charged.
type HedgeEnded struct{ Wasted int32 }

// Delivered reports tokens that were delivered to a caller.
type Delivered struct{ Tokens int32 }

// Wasted reports the tokens of preempted or failed attempts.
type Wasted struct{ Tokens int32 }

// FirstToken reports the time from the start of an attempt to its first token; package call passes the shard key as Pool.
type FirstToken struct {
	Class, Pool string
	Elapsed     hoist.Millis
}

// Crashed reports that a server crashed, with the fingerprints of all attempts that it was running; the verdict is Broadcast.
type Crashed struct {
	Server       string
	Fingerprints value.List[uint64]
}

// TrialEnded reports the end of an attempt that was allowed with Alone; the verdict is Broadcast if the attempt finished.
type TrialEnded struct {
	Fingerprint uint64
	Kind        value.EndKind
}

// QuarantineReceived reports an item that another router has broadcast.
type QuarantineReceived struct{ Item value.Quarantine }

// Ticked removes expired entries.
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

// Verdict is the result of a decision.
//
//sumtype:decl
type Verdict interface{ isVerdict() }

// None is the verdict on an event that asks nothing.
type None struct{}

// Allow permits the attempt.
type Allow struct {
	// Alone means that the attempt is a trial: no other attempt may run on its server, and TrialEnded must follow.
	Alone bool
}

// Deny refuses the attempt.
type Deny struct {
	Reason value.RefusalReason
	// After is the time after which a retry is likely to be allowed; zero means unknown.
	After hoist.Millis
}

// Delay means that the question must be repeated after the delay, because a trial of the same content is in progress.
type Delay struct{ After hoist.Millis }

// Broadcast carries items that must be sent to the other routers.
type Broadcast struct{ Items value.List[value.Quarantine] }

func (None) isVerdict()      {}
func (Allow) isVerdict()     {}
func (Deny) isVerdict()      {}
func (Delay) isVerdict()     {}
func (Broadcast) isVerdict() {}
