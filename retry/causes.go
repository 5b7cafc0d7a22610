package retry

import (
	"cmp"
	"fmt"
	"iter"
	"maps"
	"slices"

	"github.com/samber/lo"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// candidate is the contents that account for exactly the same crashes, so that nothing tells them apart. It holds the crashes
// that no better explanation covers.
type candidate struct {
	contents []uint64
	whole    bool
	// onceComplete is set if a response with each of the contents has ended whole.
	onceComplete bool
	crashes      []value.Charge
	// count is the number of the crashes as countMoments counts them.
	count int32
}

// rivals are lists of contents, any of which may have caused the same crashes. Contents of one list occur at the same crashes.
type rivals [][]uint64

// suffices reports whether the crashes suffice for a quarantine, of all that no better explanation covers.
//
// Where servers crash for other reasons too, a rare content is soon lost with two of them. Two crashes suffice for content
// that accounts for half of the crashes since its first one.
func (x Suspects) suffices(c candidate, all []value.Charge) bool {
	switch {
	case x.isHerd(c):
		return true
	case c.count < quarantineCrashes:
		return false
	case c.count >= quarantineCrashesInDoubt || x.firstQuarantine == 0:
		return true
	case c.onceComplete:
		return false
	}
	first := slices.MinFunc(c.crashes, compareTimes)
	since := lo.Filter(all, func(y value.Charge, _ int) bool { return y.AtMs() >= first.AtMs() })
	return 2*c.count >= x.countMoments(since)
}

// isHerd reports whether so many servers have crashed with the contents at one moment that the contents may be the cause,
// although servers that crash together usually have an outside cause in common. Such contents have to run as a trial.
func (x Suspects) isHerd(c candidate) bool {
	return x.firstQuarantine > 0 && !c.onceComplete && c.count < quarantineCrashes && len(c.crashes) >= quarantineCrashesInDoubt
}

// mayCauseAll reports whether the contents are as likely as the other ones to have caused all crashes of the other ones.
func (c candidate) mayCauseAll(other candidate) bool {
	return c.onceComplete == other.onceComplete &&
		!slices.ContainsFunc(other.crashes, func(x value.Charge) bool { return !contains(c.crashes, x) })
}

// findCauses returns the contents that explain the crashes best, each with its rivals.
//
// A crash is charged to every content that the server was running, but one of them suffices to explain it. A content that
// was never in a complete response is taken first, then the one with the most crashes, and its crashes no longer count for
// the others. Contents that explain equally well are all taken. A whole request explains crashes of whole requests only: a
// stream that is resumed may be lost with two servers that a prompt part has crashed. The rivals of a cause are the contents
// that explain all of its crashes as well. Contents that account for the same crashes are judged as one, so that the cost
// depends on the crashes and not on the length of a prompt.
func (x Suspects) findCauses() map[uint64]rivals {
	candidates := x.candidates()
	if len(candidates) == 0 {
		return nil
	}
	all := x.allCrashes()
	candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return !x.suffices(c, all) })
	possible := slices.Clone(candidates)
	causes := map[uint64]rivals{}
	for len(candidates) > 0 {
		best := slices.MaxFunc(candidates, compareCandidates)
		var byPart, byWhole []value.Charge
		for _, c := range candidates {
			switch {
			case compareCandidates(c, best) != 0:
				continue
			case c.whole:
				byWhole = lo.Union(byWhole, c.crashes)
			default:
				byPart = lo.Union(byPart, c.crashes)
			}
			r := rivalsOf(c, possible)
			for _, f := range c.contents {
				causes[f] = r
			}
		}
		all = without(all, byPart)
		for i, c := range candidates {
			left := without(c.crashes, byPart)
			if c.whole {
				left = without(left, byWhole)
			}
			candidates[i].crashes, candidates[i].count = left, x.countMoments(left)
		}
		candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return !x.suffices(c, all) })
	}
	return causes
}

// without returns the charges that are about none of the other crashes.
func without(charges, others []value.Charge) []value.Charge {
	return lo.Reject(charges, func(c value.Charge, _ int) bool { return contains(others, c) })
}

// rivalsOf returns the contents that may have caused all crashes of the candidate, its own among them.
func rivalsOf(c candidate, candidates []candidate) rivals {
	var r rivals
	for _, other := range candidates {
		if other.mayCauseAll(c) {
			r = append(r, other.contents)
		}
	}
	return r
}

// candidates returns the contents that were running at several crashes.
func (x Suspects) candidates() []candidate {
	var candidates []candidate
	indices := map[string]int{}
	for f, e := range x.entries {
		if e.charges.Len() < quarantineCrashes {
			continue
		}
		crashes := x.crashes(e)
		c := candidate{[]uint64{f}, e.whole, x.isOnceComplete(e), crashes, x.countMoments(crashes)}
		if c.count < quarantineCrashes && !x.isHerd(c) {
			continue
		}
		key := c.key()
		if i, ok := indices[key]; ok {
			candidates[i].contents = append(candidates[i].contents, f)
			continue
		}
		indices[key] = len(candidates)
		candidates = append(candidates, c)
	}
	return candidates
}

// key returns a text that is the same for contents that account for the same crashes.
func (c candidate) key() string {
	b := fmt.Appendf(nil, "%t %t", c.whole, c.onceComplete)
	for _, x := range c.crashes {
		b = fmt.Appendf(b, " %d %d %s", x.AtMs(), x.Born(), x.Server())
	}
	return string(b)
}

// allCrashes returns one charge for each crash in the table, also for those of contents that were cleared since.
func (x Suspects) allCrashes() []value.Charge {
	// Most charges are equal, because a crash is charged to all that the server was running.
	distinct := map[value.Charge]bool{}
	for _, e := range x.entries {
		for c := range e.charges.All() {
			distinct[c] = true
		}
	}
	all := slices.SortedFunc(maps.Keys(distinct), func(a, b value.Charge) int {
		return cmp.Or(cmp.Compare(a.Server(), b.Server()), cmp.Compare(a.Born(), b.Born()), compareTimes(a, b))
	})
	return slices.CompactFunc(all, sameCrash)
}

// compareTimes orders charges by their time.
func compareTimes(a, b value.Charge) int { return cmp.Compare(a.AtMs(), b.AtMs()) }

// compareCandidates orders contents by how well they explain crashes.
func compareCandidates(a, b candidate) int {
	return cmp.Or(compareBools(b.onceComplete, a.onceComplete), cmp.Compare(a.count, b.count))
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Rivals returns the contents that explain the crashes of the cause as well as it does.
func (x Suspects) Rivals(cause uint64) []uint64 {
	return lo.Without(slices.Sorted(slices.Values(slices.Concat(x.causes[cause]...))), cause)
}

// lackedBy reports whether a request with the contents lacks one of the rivals. How such a request ends tells which of them
// has caused the crashes.
func (r rivals) lackedBy(contents map[uint64]bool) bool {
	return slices.ContainsFunc(r, func(list []uint64) bool {
		return slices.ContainsFunc(list, func(f uint64) bool { return !contents[f] })
	})
}

// CauseItems returns the items of at most n contents that best explain crashes, those with the newest crash first.
func (x Suspects) CauseItems(n int, now hoist.Millis) []value.Quarantine {
	items := x.itemsOf(maps.Keys(x.causes), now)
	slices.SortFunc(items, func(a, b value.Quarantine) int {
		return cmp.Or(cmp.Compare(b.Charges().At(0).AtMs(), a.Charges().At(0).AtMs()), cmp.Compare(a.Fingerprint(), b.Fingerprint()))
	})
	return items[:min(n, len(items))]
}

// CauseChanges returns the items of the contents that became a cause of crashes, were released or were charged with another
// crash since the older table.
func (x Suspects) CauseChanges(old Suspects, now hoist.Millis) []value.Quarantine {
	return x.itemsOf(func(yield func(uint64) bool) {
		for f := range old.causes {
			if !x.IsCause(f) && !yield(f) {
				return
			}
		}
		for f := range x.causes {
			recharged := x.countCrashes(x.entries[f]) != old.countCrashes(old.entries[f])
			if (!old.IsCause(f) || recharged) && !yield(f) {
				return
			}
		}
	}, now)
}

// itemsOf returns the items of the contents.
func (x Suspects) itemsOf(fingerprints iter.Seq[uint64], now hoist.Millis) []value.Quarantine {
	var items []value.Quarantine
	for f := range fingerprints {
		if q, ok := x.Item(f, now); ok {
			items = append(items, q)
		}
	}
	return items
}
