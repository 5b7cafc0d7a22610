package feed

import (
	"slices"

	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/value"
)

// evacuation is an evacuation in the store.
type evacuation struct {
	datacentre string
	position   Position
	// keptUntil is the time until which an evacuation stands that the store lacks since it came back from an older copy, or
	// zero.
	keptUntil hoist.Millis
}

// WithRegions returns a copy whose views set the regions of servers by their data centres. Without any data centre, all
// servers are in the home region: a deployment that lists no data centres has one region.
func (s State) WithRegions(byDatacentre map[string]string, home string) State {
	s.regions, s.homeRegion = byDatacentre, home
	return s
}

// withoutEvacuation removes an evacuation from the copied maps. Its removal is an operator's act at any time, because the
// key belongs to no process and cannot lapse.
func (s State) withoutEvacuation(key string, r removal) {
	delete(s.evacuations, key)
	s.recordRemoval(key, r)
}

// evacuated returns the evacuated data centres, sorted and without duplicates.
func (s State) evacuated() value.List[string] {
	var names []string
	for _, e := range s.evacuations {
		names = append(names, e.datacentre)
	}
	slices.Sort(names)
	return value.ListOf(slices.Compact(names)...)
}

// IsEvacuated reports whether the data centre is evacuated.
func (v *View) IsEvacuated(datacentre string) bool {
	for d := range v.Evacuated.All() {
		if d == datacentre {
			return true
		}
	}
	return false
}

// Marked returns the server with its region and with what the evacuations in force say of it.
func (v *View) Marked(s value.BackendServer) value.BackendServer {
	region := v.homeRegion
	if len(v.regions) > 0 {
		region = v.regions[s.Datacentre()]
	}
	return s.WithRegion(region).WithEvacuated(v.IsEvacuated(s.Datacentre()))
}

// logEvacuations logs the evacuations that the new view has begun or ended, with the number of listed servers there: none
// are the sign of a misspelt data centre.
func (f *Follower) logEvacuations(old, v *View) {
	for _, change := range []struct {
		code      event.Code
		from, now *View
	}{{event.EvacuationInForce, old, v}, {event.EvacuationEnded, v, old}} {
		for d := range change.now.Evacuated.All() {
			if change.from.IsEvacuated(d) {
				continue
			}
			servers := 0
			for s := range v.Servers.All() {
				if s.Datacentre() == d {
					servers++
				}
			}
			f.Log.Write(change.code, logrus.Fields{"datacentre": d, "servers": servers, "revision": f.state.Position().Revision, "age_ms": v.Age(f.Clock.Now())})
		}
	}
}
