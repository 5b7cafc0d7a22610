package sched

// Policy selects how a shard orders and places requests.
//
//sumtype:decl
type Policy interface{ isPolicy() }

// Tiered is the policy of a shard's owner: tiers with floors, early rejection, reserved slots and preemption.
type Tiered struct{}

// LocalShare is Tiered on a share of the slots, for a gateway that schedules without an owner.
type LocalShare struct {
	// Routers is the number of routers that share the slots.
	Routers int32
	// Index of this router among them, from 0.
	Index int32
}

// LeastRequest is a baseline that grants each request immediately, in order of arrival, on the
// server with the fewest requests in flight from this router.
type LeastRequest struct{}

// TierFIFO is a baseline with one queue per tier on a share of the slots, first in first out
// inside a tier, without floors, early rejection, reserved slots or preemption.
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

// slotShare returns the slots that the policy may use on the server at the index.
func slotShare(p Policy, slots int32, server int) int32 {
	switch x := p.(type) {
	case LocalShare:
		return divideSlots(slots, x.Routers, x.Index, server)
	case TierFIFO:
		return divideSlots(slots, x.Routers, x.Index, server)
	case Tiered, LeastRequest:
		return slots
	}
	return slots
}

// divideSlots returns one router's share of a server's slots. The remainder rotates over the servers, so that every
// router gets its turn.
func divideSlots(slots, routers, index int32, server int) int32 {
	if routers <= 1 {
		return slots
	}
	n := slots / routers
	if (index+int32(server))%routers < slots%routers {
		n++
	}
	return n
}

// managed reports whether the policy keeps floors, rejects early, reserves slots and preempts.
func managed(p Policy) bool {
	switch p.(type) {
	case Tiered, LocalShare:
		return true
	case LeastRequest, TierFIFO:
		return false
	}
	return true
}
