package sched

import (
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/value"
)

// Event is an input of Decide.
//
//sumtype:decl
type Event interface{ isEvent() }

// MessageReceived is a message from a gateway.
type MessageReceived struct{ Body value.GatewayMessageBody }

// Configured carries the configuration and the shard's instances after a change of either.
type Configured struct {
	View      *config.View
	Pool      value.Pool
	Instances value.List[value.Instance]
}

// LoadReported carries an engine's own load report.
type LoadReported struct {
	Server string
	Load   value.Load
}

// EngineStateRead carries what an engine has loaded, as read from the engine.
type EngineStateRead struct {
	Server string
	State  value.EngineState
}

// CacheChanged carries a batch of an engine's cache events, which arrive late and with gaps.
type CacheChanged struct {
	Server string
	Events value.CacheEvents
}

// Ticked means that the time of Wake has been reached.
type Ticked struct{}

// ServerLeaving means that a peer or the instance list shows the server as leaving.
type ServerLeaving struct{ Server string }

// GatewayLost means that a gateway process is lost; its attempts have ended.
type GatewayLost struct{ Incarnation uint64 }

// ShardAcquired means that this process acquires the shard from another owner.
//
// The state of an earlier ownership is dropped. A Query goes to every gateway, and no grant is
// given for takeoverPause, so that the slots in use are known before new work is placed.
type ShardAcquired struct{}

func (MessageReceived) isEvent() {}
func (Configured) isEvent()      {}
func (LoadReported) isEvent()    {}
func (EngineStateRead) isEvent() {}
func (CacheChanged) isEvent()    {}
func (Ticked) isEvent()          {}
func (ServerLeaving) isEvent()   {}
func (GatewayLost) isEvent()     {}
func (ShardAcquired) isEvent()   {}

// Effect is a message to the gateway that its attempt names; a Query goes to every gateway.
type Effect = value.DispatcherMessageBody
