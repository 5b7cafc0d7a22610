package soak

import (
	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/cmd/hoistbench/sim"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/idem"
	"chicoryhoist.example/hoist/value"
)

// event is an entry of the event queue of a run.
//
//sumtype:decl
type event interface{ isEvent() }

// processEvent delivers an input to a router process. It is dropped when the incarnation has ended, and postponed
// while the process is paused.
type processEvent struct {
	router      int
	incarnation uint64
	input       processInput
}

// serverEvent delivers an input to a backend server; it is dropped when the server has restarted since.
type serverEvent struct {
	server int
	epoch  int
	input  serverInput
}

// requestDue submits the next request of the callers.
type requestDue struct{}

// faultDue begins the next fault.
type faultDue struct{}

// delayedAction runs a function at its time, for example the end of a fault.
type delayedAction struct{ run func(*world) }

// inspectionDue runs the periodic checks of all processes.
type inspectionDue struct{}

// inForceDue checks that a published configuration is in force everywhere.
type inForceDue struct{ version config.Version }

func (processEvent) isEvent()  {}
func (serverEvent) isEvent()   {}
func (requestDue) isEvent()    {}
func (faultDue) isEvent()      {}
func (delayedAction) isEvent() {}
func (inspectionDue) isEvent() {}
func (inForceDue) isEvent()    {}

// processInput is an input of a router process.
//
//sumtype:decl
type processInput interface{ isProcessInput() }

// requestReceived is a caller's request; hops counts how often a router has forwarded it.
type requestReceived struct {
	job  *job
	hops int
}

// gatewayMessage is a message from a gateway to a dispatcher of a shard.
type gatewayMessage struct {
	from  endpoint
	shard string
	body  value.GatewayMessageBody
}

// dispatcherMessage is a message from a dispatcher to a gateway.
type dispatcherMessage struct {
	from endpoint
	body value.DispatcherMessageBody
}

// heartbeatReceived is a heartbeat of a peer with the items that it publishes.
type heartbeatReceived struct {
	member  value.Member
	view    *config.View
	leaving value.List[string]
	items   value.List[value.Quarantine]
}

// frameReceived is a frame of a response stream.
type frameReceived struct {
	// connection is the attempt to whose connection the frame belongs.
	connection value.Attempt
	// id is the attempt that the frame itself names.
	id  value.Attempt
	seq int32
	// origin is the request for which the server produced the content.
	origin *job
}

// connectionEnded is the end of the connection of an attempt.
type connectionEnded struct {
	id   value.Attempt
	kind value.EndKind
}

// timerFired is the expiry of a timer of a request.
type timerFired struct {
	request uint64
	timer   call.Timer
}

// linkLost means that the link to a peer is broken.
type linkLost struct{ peer endpoint }

// shardTick is the wake-up of a shard's scheduler.
type shardTick struct {
	shard string
	local bool
}

// heartbeatDue makes the process send heartbeats and refresh its membership view.
type heartbeatDue struct{}

// pollDue makes the process read the platform.
type pollDue struct{}

// loadReported is a load report of a backend server.
type loadReported struct {
	server string
	load   value.Load
}

func (requestReceived) isProcessInput()   {}
func (gatewayMessage) isProcessInput()    {}
func (dispatcherMessage) isProcessInput() {}
func (heartbeatReceived) isProcessInput() {}
func (frameReceived) isProcessInput()     {}
func (connectionEnded) isProcessInput()   {}
func (timerFired) isProcessInput()        {}
func (linkLost) isProcessInput()          {}
func (shardTick) isProcessInput()         {}
func (heartbeatDue) isProcessInput()      {}
func (pollDue) isProcessInput()           {}
func (loadReported) isProcessInput()      {}

// serverInput is an input of a backend server.
//
//sumtype:decl
type serverInput interface{ isServerInput() }

// attemptOpened is the arrival of a new attempt.
type attemptOpened struct{ attempt *attempt }

// attemptCancelled is the end of an attempt's connection from the router's side.
type attemptCancelled struct{ attempt *attempt }

// stepDue runs the next decoding step.
type stepDue struct{}

// loadReportDue makes the server report its load.
type loadReportDue struct{}

func (attemptOpened) isServerInput()    {}
func (attemptCancelled) isServerInput() {}
func (stepDue) isServerInput()          {}
func (loadReportDue) isServerInput()    {}

// endpoint names an incarnation of a router process; local selects its local queues instead of the shards that it owns.
type endpoint struct {
	router      int
	incarnation uint64
	local       bool
}

// job is one caller's request together with what really happened to it.
type job struct {
	number     int
	class      string
	tokens     int
	repeatable bool
	// token restricts the execution of the call to the issuer of the token; the zero value means that there is none.
	token idem.Token
	// contentGroup numbers the crash-inducing content of the job; zero means ordinary content.
	contentGroup int
	submittedAt  sim.Micros
	// runs counts how often servers started to run the job.
	runs int
	// receivedTokens counts the tokens that reached the caller.
	receivedTokens int32
}
