package assign

import "chicoryhoist.example/hoist/value"

// Rules are the decisions of a state that only some services need. The zero value has none of them.
type Rules struct {
	// Engines is set for a service of engines with few slots: the state learns their speeds.
	Engines bool
	// Plain is set for a plain service beside such engines.
	Plain bool
	// Owner is set if the state is that of the shard owner.
	Owner bool
}

// RulesFor returns the rules of a service, without Owner, of a table with the given services. Engines count as limited if
// they have between 1 and maxSlots slots.
func RulesFor(service string, specs value.List[value.ServiceSpec], maxSlots int32) Rules {
	limited, engine := false, false
	var r Rules
	for x := range specs.All() {
		if l := x.EngineSlots() >= 1 && x.EngineSlots() <= maxSlots; l {
			limited = true
			r.Engines = r.Engines || x.Name() == service
		}
		engine = engine || x.Name() == service && x.EngineSlots() > 0
	}
	r.Plain = limited && !engine
	return r
}

// Rules returns the rules that the state follows.
func (s State) Rules() Rules { return s.rules }

// RulesChanged reports the rules that the state follows from now on.
type RulesChanged struct{ Rules Rules }

func (RulesChanged) isEvent() {}
