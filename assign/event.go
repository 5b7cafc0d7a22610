// Package assign decides which backend server of a service runs a request, and which requests wait.
package assign

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// Event is something that changes the state of a service.
//
//sumtype:decl
type Event interface{ isEvent() }

// Submitted is a request that needs a server.
type Submitted struct{ Work value.Work }

// Cancelled is a request whose caller has left while it waited.
type Cancelled struct{ ID uint64 }

// Responded is the first byte of an answer.
type Responded struct {
	ID uint64
	// Load is what the server says of itself; Loaded is false when it says nothing.
	Load   value.ServerLoad
	Loaded bool
}

// Finished is the end of a request at its server.
type Finished struct {
	ID     uint64
	Result Result
}

// ServersUpdated is a new list of the servers of the service.
type ServersUpdated struct {
	Servers value.List[value.BackendServer]
}

// Placed is a request that runs at a server without having been granted by this state.
type Placed struct {
	Run value.PlaceRun
	// By is the instance that has granted it, or empty.
	By string
}

// RunsReported lists all requests of another instance at the servers.
type RunsReported struct {
	Origin string
	// Granted are the ids of the requests that this state has granted, and Runs the other requests.
	Granted value.List[uint64]
	Runs    value.List[value.PlaceRun]
}

// InstanceLost is an instance that is gone, with its requests.
type InstanceLost struct{ Origin string }

// Ticked is the passing of time.
type Ticked struct{}

func (Submitted) isEvent()      {}
func (Cancelled) isEvent()      {}
func (Responded) isEvent()      {}
func (Finished) isEvent()       {}
func (ServersUpdated) isEvent() {}
func (Placed) isEvent()         {}
func (RunsReported) isEvent()   {}
func (InstanceLost) isEvent()   {}
func (Ticked) isEvent()         {}

// Result says how a request ended at its server.
type Result int

const (
	// ResultOK requests were answered.
	ResultOK Result = iota
	// ResultCancelled requests were given up by their caller.
	ResultCancelled
	// ResultQueueFull servers refused the request because their queue is full.
	ResultQueueFull
	// ResultWrongServer servers are not the expected ones.
	ResultWrongServer
	// ResultError servers answered with an error or broke off.
	ResultError
	// ResultUnreachable servers could not be connected to.
	ResultUnreachable
)

// Effect is what the state asks its runtime to do.
//
//sumtype:decl
type Effect interface{ isEffect() }

// Grant sends a request to a server.
type Grant struct {
	ID uint64
	// Origin is the instance that has asked.
	Origin string
	Server value.BackendServer
	// Basis is what the choice rested on.
	Basis Estimate
}

// Estimate is what the choice of a server rested on.
type Estimate struct {
	// UncachedTokens is the number of prompt tokens that the server is expected to compute.
	UncachedTokens int32
	// PendingTokens is the number of prompt tokens that it has still to compute for earlier requests, as far as known.
	PendingTokens int64
	// Running is the number of earlier requests there, as far as known.
	Running int
}

// Refuse ends a request that has not run.
type Refuse struct {
	ID     uint64
	Origin string
	// After is the time after which a new attempt may succeed.
	After  hoist.Millis
	Reason Reason
}

// Queued says that a request waits.
type Queued struct {
	ID     uint64
	Origin string
}

func (Queued) isEffect() {}
func (Grant) isEffect()  {}
func (Refuse) isEffect() {}

// Reason says why a request was refused.
type Reason int

const (
	// NoServer means that the service has no server that takes work.
	NoServer Reason = iota
	// Overload means that the service cannot serve the request in time.
	Overload
)

// String returns the reason in lower case.
func (r Reason) String() string {
	switch r {
	case NoServer:
		return "no server"
	case Overload:
		return "overload"
	default:
		return "unknown"
	}
}
