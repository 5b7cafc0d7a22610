package sched

// Policy selects how a shard orders and places requests.
//
//sumtype:decl
type Policy interface{ isPolicy() }

// Tiered is the policy of a shard's owner.
type Tiered struct{}

// LocalShare is Tiered on a share of the slots, for a gateway that schedules without an owner.
type LocalShare struct {
	// Routers is the number of routers that share the slots.
	Routers int32
	// Index of this router among them, from 0.
	Index int32
}

// LeastRequest is a baseline: each request goes at once, in order of arrival, to the
// server with the fewest requests in flight from this router.
type LeastRequest struct{}

// TierFIFO is a baseline: a tier queue on a share of the slots, first in first out
// inside a tier, without floors, early refusal, reserved slots or preemption.
type TierFIFO struct {
	// Routers is the number of routers that share the slots.
	Routers int32
	// Index of this router among them, from 0.
	Index int32
}

func (Tiered) isPolicy()       {}
func (LocalShare) isPolicy()   {}
func (LeastRequest) isPolicy() {}
func (TierFIFO) isPolicy()     {}

// share returns the slots of the server at the index that the policy may use.
func share(p Policy, slots int32, server int) int32 {
	switch x := p.(type) {
	case LocalShare:
		return part(slots, x.Routers, x.Index, server)
	case TierFIFO:
		return part(slots, x.Routers, x.Index, server)
	case Tiered, LeastRequest:
		return slots
	}
	return slots
}

// part divides the slots of one server; the remainder rotates over the servers so that every part gets its turn.
func part(slots, parts, index int32, server int) int32 {
	if parts <= 1 {
		return slots
	}
	n := slots / parts
	if (index+int32(server))%parts < slots%parts {
		n++
	}
	return n
}

// managed reports whether the policy keeps floors, refuses early, reserves slots and preempts.
func managed(p Policy) bool {
	switch p.(type) {
	case Tiered, LocalShare:
		return true
	case LeastRequest, TierFIFO:
		return false
	}
	return true
}
