package assign

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// prefillTokensPerMs is the rate at which a busy engine computes prompt tokens between the decoding steps of
	// other requests, as long as no other rate has been learned.
	prefillTokensPerMs = 45
	// recomputeWeight multiplies the time to compute prompt tokens that another server has cached.
	recomputeWeight = 12
	// lowerRankWeight is the share of the pending prompt tokens of lower ranks that delays a request, because the
	// engine has already begun to compute them.
	lowerRankWeight = 0.2
	// assignedWeight is the weight of the prompt tokens recently assigned to a server, relative to its pending
	// tokens.
	assignedWeight = 0.02
	// assignedDecayTime is the time constant of the exponential decay of the assigned prompt tokens.
	assignedDecayTime = 2 * hoist.Second
	// reuseWindow is the time within which computing a part again counts as recomputation; deployments state 4.8 to
	// 7.1 s.
	reuseWindow = 8 * hoist.Second
	// streamPauseWeight is the weight of the pause that a prefill causes in each running stream of a higher rank.
	streamPauseWeight = 0.6
	// runCostMs is the delay that one running request adds to the first token of the next.
	runCostMs = 2
	// plainCostMs converts the slot utilisation of a plain service to milliseconds.
	plainCostMs = 60
	// plainRequestsPerSlot is the number of requests per slot that a server of a plain service holds at once; the
	// second one keeps the slot busy while the response to the first is on its way.
	plainRequestsPerSlot = 2
	// slotWaitMs is the wait for each request beyond the number of slots.
	slotWaitMs = 60
	// remoteCostMs is the least cost of a server in another data centre: the round trip there plus the price of its link.
	remoteCostMs = 5
	// coldStartShift scales the remaining cold time of a server to a cost: the time is divided by 2^coldStartShift.
	coldStartShift = 4
	// loadReportTTL is the age up to which a load report is used; the speed of servers changes many times a second.
	loadReportTTL = 300 * hoist.Millis(1)
	// sustainedTime is the time after which a request that goes on shows that its content does not crash its server.
	sustainedTime = hoist.Second
	// slownessWindow is the longest time between two load reports that together show a sustained slowness, and
	// slownessDecayTime the time constant of its decay. Engines stay slow for several seconds.
	slownessWindow    = 5 * hoist.Second
	slownessDecayTime = 4 * hoist.Second
	// slowStreamMs is the cost of the longer pauses between the events of a stream, for each multiple of the usual time.
	slowStreamMs = 40
	// queueFullBackoff, errorBackoff and unreachableBackoff are the initial backoffs after a refusal, an error and a
	// failed connection.
	queueFullBackoff   = 100 * hoist.Millis(1)
	errorBackoff       = 200 * hoist.Millis(1)
	unreachableBackoff = 500 * hoist.Millis(1)
	// maxBackoff bounds the backoff, so that a restarted server gets requests soon.
	maxBackoff = 2 * hoist.Second
	// errorThreshold is the number of consecutive errors after which a server is backed off; single errors are common
	// and usually caused by the request.
	errorThreshold = 3
	// maxBackoffDoublings bounds the exponential growth of the backoff.
	maxBackoffDoublings = 4
	// queuePollInterval is the longest time between two scheduling passes over the queue.
	queuePollInterval = 20 * hoist.Millis(1)
	// grantRoundTrip bounds the time that a grant takes to reach its instance plus the time that a reconciliation
	// list takes to come back.
	grantRoundTrip = 300 * hoist.Millis(1)
	// minRunTime is the shortest time in which a server can run a request; a queued request with less time left is
	// rejected.
	minRunTime = 150 * hoist.Millis(1)
	// retryAfterDivisor divides the time left until the deadline of a rejected request, so that a second attempt
	// still has time to run.
	retryAfterDivisor = 8
)

// admits reports whether the server may take the request now.
//
// Engines take every request: they order requests that they have not begun by urgency, and holding requests back
// costs more than it saves. A plain service processes requests in the order of arrival, so requests beyond its slots
// wait here by rank and go to the first server that becomes free.
func admits(x server, w value.Work) bool {
	return w.Parts().Len() > 0 || x.entry.Slots() == 0 || x.runs.Len() < plainRequestsPerSlot*int(x.entry.Slots())
}

// queueDeadline returns the time at which a queued request is rejected.
func queueDeadline(w value.Work) hoist.Millis {
	return max(hoist.Millis(w.EndMs())-minRunTime, hoist.Millis(w.ArrivedMs()))
}

// RetryAfter returns the delay after which a rejected caller should try again if its deadline is end.
func RetryAfter(end, now hoist.Millis) hoist.Millis { return max(end-now, 0) / retryAfterDivisor }
