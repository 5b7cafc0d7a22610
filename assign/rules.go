package assign

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// readRate is the speed at which an engine computes prompt tokens, in tokens per millisecond, as the deployments state it.
	readRate = 112
	// freshWeight is the weight of the prompt tokens that a request makes a server compute against those that it waits behind; they delay every other request there too.
	freshWeight = 8
	// runCost is the delay that one running request adds to each step of the others, in milliseconds.
	runCost = 0.5
	// plainCost scales the load of a plain service to milliseconds.
	plainCost = 60
	// remoteCost is the round trip to another data centre plus the price of its link, in milliseconds.
	remoteCost = 5
	// coldShift divides the time for which a server stays slow, as a power of two.
	coldShift = 4
	// reportLife is the age up to which a load report counts; servers change their speed many times a second.
	reportLife = 300 * hoist.Millis(1)
	// fullShun, failShun and deadShun are the first times for which a server is shunned after a refusal, an error and a failed connection.
	fullShun = 100 * hoist.Millis(1)
	failShun = 200 * hoist.Millis(1)
	deadShun = 500 * hoist.Millis(1)
	// shunMost bounds the time for which a server is shunned, so that a restarted one gets work soon.
	shunMost = 2 * hoist.Second
	// maxShunDoublings bounds the doubling of the time.
	maxShunDoublings = 4
	// waitPoll is the longest time between two looks at waiting requests.
	waitPoll = 20 * hoist.Millis(1)
	// heldTenths is the part of the latency target for which a request may wait here, in tenths.
	heldTenths = 8
)

// Rules are the limits of admission to a server.
type Rules struct {
	// Unread bounds the prompt tokens in flight to one server from this process by rank; higher ranks than listed have the last bound.
	Unread value.List[int64]
}

// DefaultRules returns the rules of a deployment without settings of its own.
func DefaultRules() Rules {
	return Rules{Unread: value.ListOf[int64](1<<40, 1<<40, 1<<40)}
}

// unread returns the bound on prompt tokens in flight for a rank.
func (r Rules) unread(rank int32) int64 {
	return r.Unread.At(min(int(max(rank, 0)), r.Unread.Len()-1))
}

// held reports whether the time is over for which the request may be kept back.
func (r Rules) held(w value.Work, now hoist.Millis) bool {
	return now-hoist.Millis(w.ArrivedMs()) >= hoist.Millis(w.TargetMs()*heldTenths/10)
}

// admits reports whether the server may take the request now.
func (r Rules) admits(x server, w value.Work, now hoist.Millis) bool {
	if w.Parts().Len() == 0 || r.held(w, now) {
		return true
	}
	return x.unread() < r.unread(w.Rank())
}

// patience returns the time at which a request that found no server is refused.
func (r Rules) patience(w value.Work) hoist.Millis {
	return max(hoist.Millis(w.EndMs())-400, hoist.Millis(w.ArrivedMs()))
}

// comeback returns the time after which a refused caller should try again.
func (r Rules) comeback(w value.Work, now hoist.Millis) hoist.Millis {
	return max(hoist.Millis(w.EndMs())-now, 0) / comebackPart
}

// comebackPart divides the time that is left for a refused caller, so that a second attempt still has time to run.
const comebackPart = 8
