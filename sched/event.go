package sched

import (
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/value"
)

// Event is something that happened to a shard.
//
//sumtype:decl
type Event interface{ isEvent() }

// MessageReceived is a message from a gateway.
type MessageReceived struct{ Body value.GatewayMessageBody }

// Configured carries the configuration and the shard's instances after either has changed.
type Configured struct {
	View      *config.View
	Pool      value.Pool
	Instances value.List[value.Instance]
}

// LoadReported is an engine's own load report.
type LoadReported struct {
	Server string
	Load   value.Load
}

// EngineStateRead is what an engine has loaded, as it answered to a read.
type EngineStateRead struct {
	Server string
	State  value.EngineState
}

// CacheChanged is a batch of an engine's cache events; it is late and has gaps.
type CacheChanged struct {
	Server string
	Events value.CacheEvents
}

// Ticked means that the time of Wake has come.
type Ticked struct{}

// ServerLeaving means that a peer or the instance list says that a server is leaving.
type ServerLeaving struct{ Server string }

// GatewayLost means that a gateway process is gone; its attempts have ended.
type GatewayLost struct{ Incarnation uint64 }

// ShardAcquired means that this process takes the shard over from another owner.
//
// What is left of an earlier ownership is forgotten. A Query goes to every gateway, and
// grants pause for settleTime so that the slots in use are known before new work is placed.
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

// Effect is a message to the gateway that is named by the attempt in it; a Query goes to every gateway.
type Effect = value.DispatcherMessageBody
