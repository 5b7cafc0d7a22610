// Package gossip stores the versioned items that routers publish, and selects the items that each peer lacks.
package gossip

import (
	"strconv"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// Kind is the kind of an item, given by its body.
type Kind int

// Kinds of items.
const (
	KindNone Kind = iota
	KindMember
	KindRoster
	KindDeparture
	KindQuarantine
	KindLease
	KindUsage
	KindBacklog
)

// String returns the lower-case name of the kind.
func (k Kind) String() string {
	return [...]string{"none", "member", "roster", "departure", "quarantine", "lease", "usage", "backlog"}[k]
}

// Key identifies an item among those of its origin.
type Key struct {
	// Kind of the item.
	Kind Kind
	// Name of the described object; empty for a member.
	Name string
}

// KeyOf returns the key of an item body; its kind is KindNone if the body is missing.
func KeyOf(body value.ItemBody) Key {
	switch b := body.(type) {
	case value.Member:
		return Key{Kind: KindMember}
	case value.Roster:
		return Key{KindRoster, b.Datacentre()}
	case value.Departure:
		return Key{KindDeparture, b.Server()}
	case value.Quarantine:
		return Key{KindQuarantine, strconv.FormatUint(b.Fingerprint(), 16)}
	case value.Lease:
		return Key{KindLease, b.Key() + " " + b.Holder()}
	case value.Usage:
		return Key{KindUsage, b.Key()}
	case value.Backlog:
		return Key{KindBacklog, b.Shard()}
	}
	return Key{}
}

const (
	// RefreshInterval is the interval at which an origin publishes its lasting items again, so that a router that missed one,
	// or became a forwarder, receives it.
	RefreshInterval = 2 * hoist.Minute
	// lastingLifetime is the time that an item is stored without a refresh; it exceeds a partition of several minutes.
	lastingLifetime = 10 * hoist.Minute
	// maxLifetime limits the lifetime that an origin can request.
	maxLifetime = 60 * hoist.Minute
	// loadLifetime is the time that a load summary is stored without a newer one.
	loadLifetime = 30 * hoist.Second
)

// lifetime returns the time that an item is stored after it was last received.
func lifetime(body value.ItemBody) hoist.Millis {
	switch b := body.(type) {
	case value.Quarantine:
		// An item for a single attributed crash, or for a cleared fingerprint, has no remaining time, but must be stored
		// longer than the crashes that other routers have attributed to the content.
		return min(max(hoist.Millis(b.RemainingMs()), lastingLifetime), maxLifetime)
	case value.Lease:
		return min(hoist.Millis(b.LengthMs()), hoist.Minute)
	case value.Usage, value.Backlog:
		return loadLifetime
	case value.Member, value.Roster, value.Departure:
		return lastingLifetime
	}
	return 0
}

// survivesFailure reports whether items of the kind remain valid after the failure of their origin.
func (k Kind) survivesFailure() bool {
	return k == KindMember || k == KindDeparture || k == KindQuarantine
}

const (
	// frameBytes is the encoded size of an item's frame: tags, lengths, incarnation and version.
	frameBytes = 24
	// maxNumberBytes is the largest encoded size of a 64-bit number with its tag.
	maxNumberBytes = 11
	// countBytes is the usual encoded size of a count with its tag.
	countBytes = 5
	// textOverheadBytes is the encoded size of the tag and length of a string.
	textOverheadBytes = 2
)

// Size returns an upper bound on the encoded size of an item, in bytes.
func Size(i value.Item) int {
	n := frameBytes + textOverheadBytes + len(i.Origin())
	switch b := i.Body().(type) {
	case value.Member:
		return n + 4*textOverheadBytes + len(b.Name()) + len(b.Address()) + len(b.Region()) + len(b.Datacentre()) + 2*maxNumberBytes + 3*countBytes
	case value.Roster:
		return n + textOverheadBytes + len(b.Datacentre()) + maxNumberBytes*b.Live().Len()
	case value.Departure:
		return n + textOverheadBytes + len(b.Server())
	case value.Quarantine:
		return n + maxNumberBytes + 2*countBytes
	case value.Lease:
		return n + 2*textOverheadBytes + len(b.Key()) + len(b.Holder()) + 3*countBytes
	case value.Usage:
		return n + textOverheadBytes + len(b.Key()) + 2*countBytes
	case value.Backlog:
		return n + textOverheadBytes + len(b.Shard()) + 2*countBytes + countBytes*b.Waiting().Len()
	}
	return n
}
