// Package assign decides which backend server of a service runs a request, and which requests wait.
//
// The decisions are a pure state machine: State.Decide takes an event and returns the next state and the effects that
// the caller has to carry out.
package assign

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// Event is an input of State.Decide.
//
//sumtype:decl
type Event interface{ isEvent() }

// Submitted reports a request that needs a server.
type Submitted struct{ Work value.Work }

// Cancelled reports that the caller of a queued request has disconnected.
type Cancelled struct{ ID uint64 }

// Responded reports the first byte of a response.
type Responded struct {
	ID uint64
	// Load is the load report in the response header; it is valid if Loaded is set.
	Load   value.ServerLoad
	Loaded bool
}

// Finished reports that a request has ended at its server.
type Finished struct {
	ID     uint64
	Result Result
}

// ServersUpdated replaces the list of servers of the service.
type ServersUpdated struct {
	Servers value.List[value.BackendServer]
	// Kept holds the IDs of the servers that the instance knew before with the same start time; such a server may be new to
	// the state, because it was moved from another shard.
	Kept map[string]bool
}

// Placed reports a request that runs at a server although this state did not grant it.
type Placed struct {
	Run value.PlaceRun
	// By is the name of the instance that granted the request, or empty.
	By string
}

// RunsReported is the reconciliation list of an instance: all of its requests that run at servers.
type RunsReported struct {
	Origin string
	// Granted holds the IDs of the requests that this state granted, Runs all other requests.
	Granted value.List[uint64]
	Runs    value.List[value.PlaceRun]
}

// InstanceLost reports that an instance is lost, and its requests with it.
type InstanceLost struct{ Origin string }

// LeavingReported reports that a response of a server says that it is leaving, before its entry does.
type LeavingReported struct{ Server string }

// Paused reports that a server has refused a request of an instance and wants none from it until a time.
type Paused struct {
	Server, Origin string
	Until          hoist.Millis
}

// RetryLimitsChanged reports new limits of the retries that the state may grant.
type RetryLimitsChanged struct{ Limits RetryLimits }

// ColdReported reports that a response of a server has stated how long it stays cold.
type ColdReported struct {
	Server string
	Left   hoist.Millis
}

// DownReported reports that a server has refused a connection or has crashed, so that it starts anew before it serves again.
type DownReported struct{ Server string }

// ColdLimitsChanged reports new limits on the grants to servers that may be cold.
type ColdLimitsChanged struct{ Limits ColdLimits }

// Ticked reports that time has passed.
type Ticked struct{}

func (Submitted) isEvent()          {}
func (Cancelled) isEvent()          {}
func (Responded) isEvent()          {}
func (Finished) isEvent()           {}
func (ServersUpdated) isEvent()     {}
func (Placed) isEvent()             {}
func (RunsReported) isEvent()       {}
func (InstanceLost) isEvent()       {}
func (LeavingReported) isEvent()    {}
func (Paused) isEvent()             {}
func (RetryLimitsChanged) isEvent() {}
func (ColdReported) isEvent()       {}
func (DownReported) isEvent()       {}
func (ColdLimitsChanged) isEvent()  {}
func (Ticked) isEvent()             {}

// Result is how a request ended at its server.
type Result int

const (
	// ResultOK means that the server responded.
	ResultOK Result = iota
	// ResultCancelled means that the caller disconnected or the deadline passed.
	ResultCancelled
	// ResultQueueFull means that the server refused the request because its queue is full.
	ResultQueueFull
	// ResultWrongServer means that another server than the expected one uses the address. Package relay does not report it:
	// it reports a response of the wrong server as ResultQueueFull.
	ResultWrongServer
	// ResultError means that the server returned an error or the response was interrupted.
	ResultError
	// ResultUnreachable means that the connection could not be opened.
	ResultUnreachable
)

// Effect is an output of State.Decide that the caller has to carry out.
//
//sumtype:decl
type Effect interface{ isEffect() }

// Grant assigns a request to a server.
type Grant struct {
	ID uint64
	// Origin is the instance that submitted the request.
	Origin string
	Server value.BackendServer
	// Basis is the estimate that the choice of the server was based on.
	Basis Estimate
}

// Estimate describes the load of a server as known when it was chosen.
type Estimate struct {
	// UncachedTokens is the number of prompt tokens that the server is expected to compute for the request.
	UncachedTokens int32
	// PendingTokens is the number of prompt tokens that the server has not yet computed for earlier requests.
	PendingTokens int64
	// Running is the number of earlier requests at the server.
	Running int
}

// Refuse rejects a request that has not run.
type Refuse struct {
	ID     uint64
	Origin string
	// After is the delay after which a new attempt may succeed.
	After  hoist.Millis
	Reason Reason
	// Inputs are set if Reason.Early returns true.
	Inputs RefusalInputs
}

// Queued reports that a request waits for a server.
type Queued struct {
	ID     uint64
	Origin string
}

// TakenCold reports that a server is taken as cold from now on.
type TakenCold struct {
	Server value.BackendServer
	Reason ColdReason
	// Left is the time for which it stays cold.
	Left hoist.Millis
}

func (Queued) isEffect()    {}
func (Grant) isEffect()     {}
func (Refuse) isEffect()    {}
func (TakenCold) isEffect() {}

// Reason is why a request was rejected.
type Reason int

const (
	// NoServer means that the service has no server that accepts requests.
	NoServer Reason = iota
	// Overload means that no server can run the request before its deadline.
	Overload
	// RetryLimit means that the request has run and the retry budget does not cover another attempt.
	RetryLimit
	// NoTime means that no engine can send the first event before the deadline.
	NoTime
	// OverShare means that the workspace has sent far more than its share and that the engines are behind.
	OverShare
	// HigherRank means that requests of a higher rank are refused by share.
	HigherRank
)

// Early reports whether the request was refused early, by the load of the engines.
func (r Reason) Early() bool { return r == NoTime || r == OverShare || r == HigherRank }

// String returns the reason in lower case.
func (r Reason) String() string {
	switch r {
	case NoServer:
		return "no server"
	case Overload:
		return "overload"
	case RetryLimit:
		return "retry limit"
	case NoTime:
		return "no time"
	case OverShare:
		return "over share"
	case HigherRank:
		return "higher rank"
	default:
		return "unknown"
	}
}
