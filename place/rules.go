package place

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// DefaultEjectPermille lets 2 of 12 servers be out at once, the number of slow servers that the bench plans for.
const DefaultEjectPermille = 200

// DefaultAffinityWait is short against a first-token target of 690 ms, in milliseconds.
const DefaultAffinityWait hoist.Millis = 50

// Rules are the configured limits of placement; the zero value holds the defaults.
type Rules struct {
	eject     int32
	affinity  hoist.Millis
	longCap   int32
	longAfter int32
}

// RulesOf returns the rules of a pool under a policy.
func RulesOf(pool value.Pool, policy value.Policy) Rules {
	return Rules{
		eject:     policy.EjectPermille(),
		affinity:  hoist.Millis(policy.AffinityWaitMs()),
		longCap:   pool.LongCap(),
		longAfter: policy.LongAfterTokens(),
	}
}

// EjectPermille returns the share of servers that may be out on probation, in thousandths.
func (r Rules) EjectPermille() int32 {
	if r.eject > 0 {
		return r.eject
	}
	return DefaultEjectPermille
}

// AffinityWait returns the longest wait for a server that holds the prefix or adapter, in milliseconds.
func (r Rules) AffinityWait() hoist.Millis {
	if r.affinity > 0 {
		return r.affinity
	}
	return DefaultAffinityWait
}

// WithEjectPermille returns a copy with the share of servers that may be out replaced.
func (r Rules) WithEjectPermille(n int32) Rules {
	r.eject = n
	return r
}

// WithAffinityWait returns a copy with the longest affinity wait replaced.
func (r Rules) WithAffinityWait(d hoist.Millis) Rules {
	r.affinity = d
	return r
}

// WithLongLimits returns a copy with the long cap of a server and the token count of long work replaced; a zero cap is no cap.
func (r Rules) WithLongLimits(limit, after int32) Rules {
	r.longCap, r.longAfter = limit, after
	return r
}

// ejectable returns how many of n servers may be out at once.
func (r Rules) ejectable(n int) int { return n * int(r.EjectPermille()) / 1000 }
