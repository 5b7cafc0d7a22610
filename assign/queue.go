package assign

import (
	"cmp"
	"slices"

	"chicoryhoist.example/hoist/value"
)

// compareUrgency orders requests by rank, then by deadline, then by ID.
func compareUrgency(a, b value.Work) int {
	return cmp.Or(cmp.Compare(a.Rank(), b.Rank()), cmp.Compare(a.EndMs(), b.EndMs()), cmp.Compare(a.Id(), b.Id()))
}

// queueOrder returns the order of the queue. With the rules for plain services, the request with the least time left goes
// first within its rank; one that waits comes nearer to its deadline, so that later ones do not overtake it for ever.
func (s State) queueOrder() func(a, b value.Work) int {
	if s.rules.Plain {
		return compareUrgency
	}
	return compareWork
}

// withRules returns a copy that follows the rules.
func (s State) withRules(r Rules) State {
	if !r.Owner {
		// The next owner starts anew, and so does this one if it becomes the owner again.
		s.refusals = refusals{}
	}
	s.rules = r
	s.waiting = value.ListOf(slices.SortedFunc(s.waiting.All(), s.queueOrder())...)
	return s
}
