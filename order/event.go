package order

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/value"
)

// Event is an input of Decide.
//
//sumtype:decl
type Event interface{ isEvent() }

// Configured reports the configuration and the shard's instances after either has changed.
type Configured struct {
	View      *config.View
	Pool      value.Pool
	Instances value.List[value.Instance]
	// Share is the shard's share of the weight store's rate, from the published instance list.
	Share Share
}

// Observed reports the engine's state, the response to a Read.
type Observed struct {
	Server string
	State  value.EngineState
}

// Unreachable reports that a Read got no response.
type Unreachable struct{ Server string }

// Sent reports that an order is leaving this process now.
type Sent struct{ Server, ID string }

// Answered reports the engine's response to an order.
type Answered struct {
	Server, ID string
	Answer     Answer
}

// Answer is an engine's response to an order.
type Answer int

// Responses to an order.
const (
	// AnswerAccepted means that the order is pending or carried out.
	AnswerAccepted Answer = iota
	// AnswerFenced means that the order was refused because its fencing number is too low.
	AnswerFenced
	// AnswerUnknown means that there was no response; the order may still arrive until the order delay has passed.
	AnswerUnknown
)

// Ticked reports that the time of a Wait effect has come.
type Ticked struct{}

// BecameOwner reports that this router has become the owner of the shard.
type BecameOwner struct{}

// OwnershipLost reports that this router no longer owns the shard.
type OwnershipLost struct{}

func (Configured) isEvent()    {}
func (Observed) isEvent()      {}
func (Unreachable) isEvent()   {}
func (Sent) isEvent()          {}
func (Answered) isEvent()      {}
func (Ticked) isEvent()        {}
func (BecameOwner) isEvent()   {}
func (OwnershipLost) isEvent() {}

// Effect is an action that a decision asks the runtime to perform.
//
//sumtype:decl
type Effect interface{ isEffect() }

// Send sends an order to an engine; the runtime reports Sent and then Answered.
type Send struct {
	Server string
	Order  value.Order
	// Deadline is the deadline of the whole call; a process that resumes after it must not send the order.
	Deadline hoist.Millis
}

// Read reads the state of an engine; the runtime reports Observed or Unreachable.
type Read struct{ Server string }

// Wait requests a Ticked event at the time; it replaces an earlier Wait.
type Wait struct{ Until hoist.Millis }

func (Send) isEffect() {}
func (Read) isEffect() {}
func (Wait) isEffect() {}
