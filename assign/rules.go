package assign

import "chicoryhoist.example/hoist/value"

// Rules are the decisions of a state that only some services need. The zero value has none of them.
type Rules struct {
	// Engines is set for a service of engines with few slots: the state learns their speeds.
	Engines bool
	// Speeds is set if the choice of a server weighs engines by their learned speeds, and the distance by the target.
	Speeds bool
	// Plain is set for a plain service beside such engines.
	Plain bool
	// Owner is set if the state is that of the shard owner.
	Owner bool
}

// Limited reports whether the servers of the service are engines with little room: few slots, and little memory for each.
func Limited(x value.ServiceSpec, b value.ForwardBalance) bool {
	if x.EngineSlots() < 1 || x.EngineSlots() > b.MaxSlots() {
		return false
	}
	return b.MaxSlotTokens() == 0 || x.EngineMemoryTokens() <= int64(b.MaxSlotTokens())*int64(x.EngineSlots())
}

// RulesFor returns the rules of a service, without Owner, of a table with the given services.
func RulesFor(service string, specs value.List[value.ServiceSpec], b value.ForwardBalance) Rules {
	limited, engine := false, false
	var r Rules
	for x := range specs.All() {
		if Limited(x, b) {
			limited = true
			r.Engines = r.Engines || x.Name() == service
		}
		engine = engine || x.Name() == service && x.EngineSlots() > 0
	}
	r.Plain = limited && !engine
	r.Speeds = r.Engines && b.Speeds()
	return r
}

// Rules returns the rules that the state follows.
func (s State) Rules() Rules { return s.rules }

// RulesChanged reports the rules that the state follows from now on.
type RulesChanged struct{ Rules Rules }

func (RulesChanged) isEvent() {}
