// Package admin serves the administration interface over HTTP: state of the router, checks of snapshots, metrics and health checks.
package admin

import (
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/value"
)

// Router gives the handler access to the router process. Its methods do not block and are safe for concurrent use.
type Router interface {
	// View returns the configuration in force, or nil if there is none yet.
	View() *config.View
	// Ready reports whether the router accepts new requests.
	Ready() bool
	// Status returns the state of this process.
	Status() value.RouterStatus
	// Instances returns the instances that this router knows, with the generation in force on each router.
	Instances() value.InstanceReport
	// Servers returns the backend servers of the shards that this router owns.
	Servers() value.ServerReport
	// Queues returns the queues of the shards that this router owns.
	Queues() value.QueueReport
	// Request returns the record of a recent request that this router received, or false if there is none.
	Request(id string) (value.RequestRecord, bool)
	// Quarantines returns the quarantined content fingerprints that this router knows.
	Quarantines() value.QuarantineReport
	// Drain starts a graceful shutdown; further calls have no effect.
	Drain()
}
