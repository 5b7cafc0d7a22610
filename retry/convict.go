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

// convict returns the contents that explain the crashes best.
//
// A crash is charged to every content that the server was running, but one of them suffices to explain it. The content
// with the most crashes is convicted first, and its crashes no longer count for the others; of two with the same crashes
// the deeper one is convicted, because fewer requests share it. Contents that explain equally well are all convicted.
func (x Suspects) convict() map[uint64]bool {
	candidates := x.candidates()
	var convicted map[uint64]bool
	for {
		candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.count < quarantineCrashes })
		if len(candidates) == 0 {
			return convicted
		}
		best := slices.MaxFunc(candidates, compareCandidates)
		var explained []value.Charge
		if convicted == nil {
			convicted = map[uint64]bool{}
		}
		for _, c := range candidates {
			if compareCandidates(c, best) == 0 {
				convicted[c.fingerprint] = true
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

// Admit decides whether a request with the contents may be sent to a server. Content whose quarantine has ended is sent
// once, as a trial, and the verdict on other requests with it is Delay until the trial has ended.
func (x Suspects) Admit(contents []value.Content, now hoist.Millis) (Suspects, Verdict) {
	var trials []uint64
	for _, c := range contents {
		switch s := x.Status(c.Fingerprint(), now).(type) {
		case Quarantined:
			return x, Deny{Reason: value.RefusalReasonQuarantined, After: s.Until - now}
		case Suspected:
			if s.Released && s.TrialUntil > 0 {
				return x, Delay{s.TrialUntil - now}
			}
			if s.Released {
				trials = append(trials, c.Fingerprint())
			}
		case Clean:
		}
	}
	for _, f := range trials {
		x = x.TrialStarted(f, now)
	}
	return x, Allow{}
}

// ConvictedItems returns the items of at most n contents that best explain crashes, those with the newest crash first.
func (x Suspects) ConvictedItems(n int, now hoist.Millis) []value.Quarantine {
	var items []value.Quarantine
	for f := range x.convicted {
		if q, ok := x.Item(f, now); ok {
			items = append(items, q)
		}
	}
	slices.SortFunc(items, func(a, b value.Quarantine) int {
		return cmp.Or(cmp.Compare(b.Charges().At(0).AtMs(), a.Charges().At(0).AtMs()), cmp.Compare(a.Fingerprint(), b.Fingerprint()))
	})
	return items[:min(n, len(items))]
}
