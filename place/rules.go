package place

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// DefaultEjectPermille allows 2 of 12 servers to be ejected at once, the number of slow servers that the bench plans
// for.
const DefaultEjectPermille = 200

// DefaultAffinityWait is short compared with a first-token target of 690 ms.
const DefaultAffinityWait hoist.Millis = 50

// Rules holds the configured limits of placement; the zero value holds the defaults.
type Rules struct {
	ejectPermille int32
	affinityWait  hoist.Millis
	longCap       int32
	longAfter     int32
}

// RulesOf returns the rules of a pool under a policy.
func RulesOf(pool value.Pool, policy value.Policy) Rules {
	return Rules{
		ejectPermille: policy.EjectPermille(),
		affinityWait:  hoist.Millis(policy.AffinityWaitMs()),
		longCap:       pool.LongCap(),
		longAfter:     policy.LongAfterTokens(),
	}
}

// EjectPermille returns the share of servers that may be on probation or down when a straggler is ejected, in
// thousandths.
func (r Rules) EjectPermille() int32 {
	if r.ejectPermille > 0 {
		return r.ejectPermille
	}
	return DefaultEjectPermille
}

// AffinityWait returns the longest wait for a server that has cached the prefix or loaded the adapter.
func (r Rules) AffinityWait() hoist.Millis {
	if r.affinityWait > 0 {
		return r.affinityWait
	}
	return DefaultAffinityWait
}

// WithEjectPermille returns a copy with the share of servers that may be ejected replaced.
func (r Rules) WithEjectPermille(n int32) Rules {
	r.ejectPermille = n
	return r
}

// WithAffinityWait returns a copy with the longest affinity wait replaced.
func (r Rules) WithAffinityWait(d hoist.Millis) Rules {
	r.affinityWait = d
	return r
}

// WithLongLimits returns a copy with the long cap of a server and the token count of long work replaced; a zero cap
// means no cap.
func (r Rules) WithLongLimits(limit, after int32) Rules {
	r.longCap, r.longAfter = limit, after
	return r
}

// maxEjected returns how many of n servers may be ejected at once.
func (r Rules) maxEjected(n int) int { return n * int(r.EjectPermille()) / 1000 }
