// Package feed follows the store in which routes and backend servers are published, and determines which of its content is
// valid.
package feed

import (
	"context"
	"errors"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// ErrCompacted means that the store no longer has the history that a watch requests.
var ErrCompacted = errors.New("history is no longer available")

// ErrEraChanged means that the store has begun a new era, whose content must be listed.
var ErrEraChanged = errors.New("store has begun a new era")

// Source reads the store. The changes that it returns state the era of the response also beside an error, if there was a
// response.
type Source interface {
	// List returns every record and the revision from which a watch continues.
	List(ctx context.Context) (Changes, error)
	// Watch returns the changes after a revision, or none when the wait is over. It fails with ErrCompacted if the store no
	// longer has them. The caller compares the era of the changes with that of the revision.
	Watch(ctx context.Context, after int64, wait hoist.Millis) (Changes, error)
}

// Changes are records of the store.
type Changes struct {
	Records []value.FeedRecord
	// Era is the era of the store, or zero if it states none.
	Era int64
	// Revision is the revision of the store after the changes.
	Revision int64
}

// Position returns the position after the changes.
func (c Changes) Position() Position { return Position{c.Era, c.Revision} }

// Event is an input of State: the result of a request to the store, or the passing of time.
//
//sumtype:decl
type Event interface{ isEvent() }

// Response is a response of the store, or of another instance that follows it.
type Response struct {
	Changes
	// RequestedAt is the time at which the request was sent, or at which the content of the other instance was confirmed.
	RequestedAt hoist.Millis
	// ReachableSince is the time at which the store returned after an outage, as known to the other instance, or zero.
	ReachableSince hoist.Millis
	// Relayed is set if another instance has responded.
	Relayed bool
	// KeysLag is the time by which the other instance's proof of the API keys is older than RequestedAt.
	KeysLag hoist.Millis
}

// Listed is the response to a list request, or a complete response of another instance.
type Listed struct{ Response }

// Changed is the response to a watch request, or a response of another instance with the changes after the known position.
type Changed struct{ Response }

// TableLearned means that another instance has a newer route table. The rest of its content is not used.
type TableLearned struct{ Record value.FeedRecord }

// Failed means that a request got no response, or that no other instance has current content.
type Failed struct {
	// Since is the time from which the store may have been unreachable, or zero if that is now: a request without any response
	// within its time tells nothing of the store since it was sent.
	Since hoist.Millis
}

// Ticked means that time has passed.
type Ticked struct{}

func (Listed) isEvent()       {}
func (Changed) isEvent()      {}
func (TableLearned) isEvent() {}
func (Failed) isEvent()       {}
func (Ticked) isEvent()       {}
