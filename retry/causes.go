package retry

import (
	"cmp"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// candidate is a content that may explain crashes, with those that no better explanation covers.
type candidate struct {
	fingerprint uint64
	depth       int32
	crashes     []value.Charge
	// count is the number of the crashes as countMoments counts them.
	count int32
}

// findCauses returns the contents that explain the crashes best.
//
// A crash is charged to every content that the server was running, but one of them suffices to explain it. The content
// with the most crashes is taken first, and its crashes no longer count for the others; of two with the same crashes
// the deeper one is taken, because fewer requests share it. Contents that explain equally well are all taken.
func (x Suspects) findCauses() map[uint64]bool {
	candidates := x.candidates()
	var causes map[uint64]bool
	for {
		candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.count < quarantineCrashes })
		if len(candidates) == 0 {
			return causes
		}
		best := slices.MaxFunc(candidates, compareCandidates)
		var explained []value.Charge
		if causes == nil {
			causes = map[uint64]bool{}
		}
		for _, c := range candidates {
			if compareCandidates(c, best) == 0 {
				causes[c.fingerprint] = true
				explained = append(explained, c.crashes...)
			}
		}
		for i, c := range candidates {
			left := slices.DeleteFunc(c.crashes, func(y value.Charge) bool { return contains(explained, y) })
			candidates[i].crashes, candidates[i].count = left, x.countMoments(left)
		}
	}
}

// candidates returns the contents with enough crashes for a quarantine.
func (x Suspects) candidates() []candidate {
	var candidates []candidate
	for f, e := range x.entries {
		if e.charges.Len() < quarantineCrashes {
			continue
		}
		crashes := x.crashes(e)
		if n := x.countMoments(crashes); n >= quarantineCrashes {
			candidates = append(candidates, candidate{f, e.depth, crashes, n})
		}
	}
	return candidates
}

// compareCandidates orders contents by how well they explain crashes.
func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.count, b.count), cmp.Compare(a.depth, b.depth))
}

// CauseItems returns the items of at most n contents that best explain crashes, those with the newest crash first.
func (x Suspects) CauseItems(n int, now hoist.Millis) []value.Quarantine {
	var items []value.Quarantine
	for f := range x.causes {
		if q, ok := x.Item(f, now); ok {
			items = append(items, q)
		}
	}
	slices.SortFunc(items, func(a, b value.Quarantine) int {
		return cmp.Or(cmp.Compare(b.Charges().At(0).AtMs(), a.Charges().At(0).AtMs()), cmp.Compare(a.Fingerprint(), b.Fingerprint()))
	})
	return items[:min(n, len(items))]
}
