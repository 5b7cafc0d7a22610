package soak

import (
	"maps"
	"slices"

	"chicoryhoist.example/hoist/cmd/hoistbench/sim"
	"chicoryhoist.example/hoist/value"
)

// itemRepeatTime is the time during which heartbeats repeat an item, so that the loss of one heartbeat doesn't matter.
const itemRepeatTime = 5 * sim.Second

// item is a quarantine item with the time of its last change at a process.
type item struct {
	value     value.Quarantine
	changedAt sim.Micros
}

// attributeCrash passes the end of an attempt to the guard at the shard owner and records the items to publish.
func (w *world) attributeCrash(p *process, s *shard, e value.End) {
	guard, items := p.guard.Ended(e, s.state.Table(), w.events.Now().Millis())
	p.guard = guard
	for q := range items.All() {
		p.quarantineItems[q.Fingerprint()] = item{q, w.events.Now()}
	}
}

// recentItems returns the items to publish, in order of their fingerprints, and forgets the older ones.
func (p *process) recentItems(now sim.Micros) value.List[value.Quarantine] {
	var items []value.Quarantine
	for _, f := range slices.Sorted(maps.Keys(p.quarantineItems)) {
		if now-p.quarantineItems[f].changedAt <= itemRepeatTime {
			items = append(items, p.quarantineItems[f].value)
		} else {
			delete(p.quarantineItems, f)
		}
	}
	return value.ListOf(items...)
}
