package feed

import (
	"cmp"

	"chicoryhoist.example/hoist/value"
)

// Position is a place in the history of the store.
//
// The store begins a new era when it returns from an older copy of its content. It then gives out revisions again that it has
// lost, so revisions are comparable within one era only.
type Position struct {
	// Era is the number of the era, or zero if the store states none.
	Era int64
	// Revision is the revision within the era.
	Revision int64
}

// Before reports whether the position comes before the other one.
func (p Position) Before(other Position) bool { return p.compare(other) < 0 }

// compare returns a negative number if the position comes before the other one, and a positive one if it comes after it.
func (p Position) compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// later returns the later of two positions.
func later(a, b Position) Position {
	if a.Before(b) {
		return b
	}
	return a
}

// positionOf returns the position of the last change of a record.
func positionOf(r value.FeedRecord) Position { return Position{r.Era(), r.Revision()} }
