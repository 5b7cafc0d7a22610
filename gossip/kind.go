// Package gossip keeps the versioned items that routers spread, and chooses what each peer still lacks.
package gossip

import (
	"strconv"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// Kind is the kind of an item, by its body.
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
	// Name of what the item describes; empty for a member.
	Name string
}

// KeyOf returns the key of an item body; its kind is KindNone when the body is missing.
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
	// RefreshInterval is the interval at which an origin sends its lasting items again, so that a
	// router which missed one, or took over a part in spreading, learns of it.
	RefreshInterval = 2 * hoist.Minute
	// lasting is the time that an item is kept without a refresh; it outlives a partition of minutes.
	lasting = 10 * hoist.Minute
	// longest bounds the lifetime that an origin can ask for.
	longest = 60 * hoist.Minute
	// brief is the time that a summary of load is kept without a newer one.
	brief = 30 * hoist.Second
)

// lifetime returns the time that an item is kept after it was last heard.
func lifetime(body value.ItemBody) hoist.Millis {
	switch b := body.(type) {
	case value.Quarantine:
		// A single charge and a clearing have no remaining time and must still outlive the charges elsewhere.
		return min(max(hoist.Millis(b.RemainingMs()), lasting), longest)
	case value.Lease:
		return min(hoist.Millis(b.LengthMs()), hoist.Minute)
	case value.Usage, value.Backlog:
		return brief
	case value.Member, value.Roster, value.Departure:
		return lasting
	}
	return 0
}

// outlives reports whether an item of the kind stays valid when its origin fails.
func (k Kind) outlives() bool {
	return k == KindMember || k == KindDeparture || k == KindQuarantine
}

const (
	// fixedBytes is the encoded size of an item's frame: tags, lengths, incarnation and version.
	fixedBytes = 24
	// numberBytes is the largest encoded size of a 64-bit number with its tag.
	numberBytes = 11
	// countBytes is the usual encoded size of a count with its tag.
	countBytes = 5
	// textBytes is the encoded size of a string's tag and length.
	textBytes = 2
)

// Size returns an upper estimate of the encoded size of an item, in bytes.
func Size(i value.Item) int {
	n := fixedBytes + textBytes + len(i.Origin())
	switch b := i.Body().(type) {
	case value.Member:
		return n + 4*textBytes + len(b.Name()) + len(b.Address()) + len(b.Region()) + len(b.Datacentre()) + 2*numberBytes + 3*countBytes
	case value.Roster:
		return n + textBytes + len(b.Datacentre()) + numberBytes*b.Live().Len()
	case value.Departure:
		return n + textBytes + len(b.Server())
	case value.Quarantine:
		return n + numberBytes + 2*countBytes
	case value.Lease:
		return n + 2*textBytes + len(b.Key()) + len(b.Holder()) + 3*countBytes
	case value.Usage:
		return n + textBytes + len(b.Key()) + 2*countBytes
	case value.Backlog:
		return n + textBytes + len(b.Shard()) + 2*countBytes + countBytes*b.Waiting().Len()
	}
	return n
}
