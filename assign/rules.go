package assign

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// readRate is the speed at which a busy engine computes prompt tokens between the tokens of other requests, in tokens per millisecond.
	readRate = 45
	// wasteWeight is the weight of prompt tokens that are computed in vain, against the time that they take.
	wasteWeight = 12
	// lowerWeight is the part of the prompt tokens of lower ranks that delays a request: what the engine has begun to compute.
	lowerWeight = 0.2
	// recentWeight is the weight of the prompt tokens that a server was given lately against those that it has still to compute.
	recentWeight = 0.02
	// recentTime is the time after which prompt tokens that a server was given count about a third.
	recentTime = 2 * hoist.Second
	// reuseWindow is the time within which computing a part again counts as waste; deployments state 4.8 to 7.1 s.
	reuseWindow = 8 * hoist.Second
	// pauseWeight is the weight of the pause that a prompt causes in each running stream of a higher rank.
	pauseWeight = 0.6
	// runCost is the delay that one running request adds to the first token of the next, in milliseconds.
	runCost = 2
	// plainCost scales the load of a plain service to milliseconds.
	plainCost = 60
	// plainFactor is the number of requests for each slot that a server of a plain service holds at once; the second one keeps the slot busy while the first answer travels.
	plainFactor = 2
	// slotCost is the wait for a slot behind each request that exceeds those that a server runs at once, in milliseconds.
	slotCost = 60
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
	// failLimit is the number of errors in a row from which a server is shunned; single errors are common and concern one request.
	failLimit = 3
	// maxShunDoublings bounds the doubling of the time.
	maxShunDoublings = 4
	// waitPoll is the longest time between two looks at waiting requests.
	waitPoll = 20 * hoist.Millis(1)
	// grantTravel is the time that a grant takes to its gateway, and the gateway's list of its requests back.
	grantTravel = 300 * hoist.Millis(1)
	// runTime is the time that a request needs at its server at least; a request with less time left is refused.
	runTime = 150 * hoist.Millis(1)
	// comebackPart divides the time that is left for a refused caller, so that a second attempt still has time to run.
	comebackPart = 8
)

// admits reports whether the server may take the request now.
//
// Engines take every request: they order what they have not begun by urgency, and keeping requests back costs more
// than it saves. A plain service works in the order of arrival, so what exceeds its slots waits here by rank, and goes
// to whichever server is free first.
func admits(x server, w value.Work) bool {
	return w.Parts().Len() > 0 || x.entry.Slots() == 0 || x.runs.Len() < plainFactor*int(x.entry.Slots())
}

// patience returns the time at which a request that found no server is refused.
func patience(w value.Work) hoist.Millis {
	return max(hoist.Millis(w.EndMs())-runTime, hoist.Millis(w.ArrivedMs()))
}

// RetryAfter returns the time after which a refused caller should try again, when its patience ends at the given time.
func RetryAfter(end, now hoist.Millis) hoist.Millis { return max(end-now, 0) / comebackPart }
