// Package admin is the administration HTTP interface: state of the router, checks of snapshots, metrics and health.
package admin

import (
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/value"
)

// Router is what the interface needs from the router process; every method returns at once and is safe for concurrent use.
type Router interface {
	// View returns the configuration in force, or nil before there is one.
	View() *config.View
	// Ready reports whether the router takes new work.
	Ready() bool
	// Status returns the state of this process.
	Status() value.RouterStatus
	// Instances returns the instances in this router's view, with the generation that each router has in force.
	Instances() value.InstanceReport
	// Servers returns the backend servers of the shards that this router owns.
	Servers() value.ServerReport
	// Queues returns the queues of the shards that this router owns.
	Queues() value.QueueReport
	// Request returns the recent record of a request of this gateway.
	Request(id string) (value.RequestRecord, bool)
	// Quarantines returns the quarantined fingerprints that this router knows.
	Quarantines() value.QuarantineReport
	// Drain begins a graceful shutdown; a second call has no effect.
	Drain()
}
