package retry

import (
	"maps"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// announceInterval is the shortest time between two announcements of one quarantined content by a router.
const announceInterval = 2 * hoist.Minute

// Announce returns the items of those of the contents that are quarantined and that this router has not announced lately.
//
// A router announces what it refuses although another one has found it: the items of that one end with its process, and
// routers that start later would not learn of the quarantine.
func (g Guard) Announce(fingerprints []uint64, now hoist.Millis) (Guard, []value.Quarantine) {
	var items []value.Quarantine
	for _, f := range fingerprints {
		at, announced := g.announced[f]
		if !g.Quarantined(f, now) || announced && now-at < announceInterval {
			continue
		}
		q, ok := g.prefixes.Item(f, now)
		if !ok {
			if q, ok = g.state.Suspects().Item(f, now); !ok {
				continue
			}
		}
		items = append(items, q)
	}
	if len(items) == 0 {
		return g, nil
	}
	next := maps.Clone(g.announced)
	if next == nil {
		next = map[uint64]hoist.Millis{}
	}
	maps.DeleteFunc(next, func(_ uint64, at hoist.Millis) bool { return now-at >= announceInterval })
	for _, q := range items {
		next[q.Fingerprint()] = now
	}
	g.announced = next
	return g, items
}
