package sched

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
)

const (
	// maxDeficitTokens bounds the deficit counter in both directions and the cost of one grant. It determines
	// the waiting bound, so a long output is charged only up to it.
	maxDeficitTokens = 1024
	// defaultFloorPermille is the floor of a class without a configured floor, in thousandths of the generated
	// tokens. It prevents starvation.
	defaultFloorPermille = 10
	// assumedOutputTokens is the output length that is assumed until an attempt has finished. It also counts as the
	// output of each call to a plain service, which reports no tokens.
	assumedOutputTokens = 150
	// minCostTokens keeps the cost of a grant above zero for classes with empty outputs.
	minCostTokens = 16
	// idleTimeout is the time without a placement request after which a class counts as idle and its deficit
	// counter stops growing.
	idleTimeout = 10 * hoist.Second
	// rateWindowMs is the averaging window of arrival rates in milliseconds; demand changes within seconds.
	rateWindowMs = 2000.0
	// meanOutputDivisor sets the weight of a new output in the mean output to 1/32.
	meanOutputDivisor = 32
)

// classState is the immutable scheduling state of one class in the shard.
type classState struct {
	class  config.Class
	queues [queueKinds]requestQueue
	// deficit is the deficit counter in thousandths of a token, as of the token total deficitAsOf.
	deficit     int64
	deficitAsOf int64
	// lastServed is the token total at the last grant, or when the class stopped being idle.
	lastServed int64
	// passedOver counts the grants to other classes since the waiting bound was exceeded.
	passedOver int32
	// lastArrival is the time of the last placement request.
	lastArrival hoist.Millis
	// meanOutput is the mean output of an attempt, in thousandths of a token.
	meanOutput int64
	// arrivals decays over rateWindowMs; arrivals/rateWindowMs is the rate per millisecond at lastArrival.
	arrivals float64
	// runningLong counts the running long attempts of the class.
	runningLong int32
}

// newClassState returns the state of a class that has had no request yet. The deficit counter starts at its
// minimum, so that the first request of a low class does not go ahead of a higher tier.
func newClassState(c config.Class) *classState {
	return &classState{class: c, deficit: -maxDeficitTokens * 1000, meanOutput: assumedOutputTokens * 1000, lastArrival: -idleTimeout - 1}
}

// floor returns the guaranteed share of the class, in thousandths of the generated tokens.
func (cs *classState) floor() int64 {
	if f := int64(cs.class.FloorPermille()); f > 0 {
		return f
	}
	return defaultFloorPermille
}

// queuedCount returns the number of queued requests.
func (cs *classState) queuedCount() int {
	n := 0
	for _, q := range cs.queues {
		n += q.Len()
	}
	return n
}

// grantCost returns the charge for one grant, in thousandths of a token.
func (cs *classState) grantCost() int64 {
	return min(max(cs.meanOutput, minCostTokens*1000), maxDeficitTokens*1000)
}

// deficitAt returns the deficit counter at a total of generated tokens.
func (cs *classState) deficitAt(total int64) int64 {
	return min(maxDeficitTokens*1000, cs.deficit+cs.floor()*(total-cs.deficitAsOf))
}

// belowFloor reports whether the class has received less than its floor, which entitles it to the next slot.
func (cs *classState) belowFloor(total int64) bool { return cs.deficitAt(total) >= 0 }

// belowFloorSince returns the token total at which the class fell below its floor.
func (cs *classState) belowFloorSince() int64 { return cs.deficitAsOf - cs.deficit/cs.floor() }

// waitBoundTokens returns the tokens that the shard may generate between two grants to a class that always has
// queued requests.
func (cs *classState) waitBoundTokens() int64 { return maxDeficitTokens*1000/cs.floor() + 1 }

// withArrival returns a copy that has counted a placement request.
func (cs *classState) withArrival(now hoist.Millis, total int64) *classState {
	next := *cs
	if next.queuedCount() == 0 && now-next.lastArrival > idleTimeout {
		next.deficitAsOf = total
		next.lastServed = total
		next.passedOver = 0
	}
	next.arrivals = next.arrivals*decay(now-next.lastArrival, rateWindowMs) + 1
	next.lastArrival = max(next.lastArrival, now)
	return &next
}

// rate returns the arrivals per millisecond.
func (cs *classState) rate(now hoist.Millis) float64 {
	return cs.arrivals * decay(now-cs.lastArrival, rateWindowMs) / rateWindowMs
}

// withGrant returns a copy that is charged for one grant.
func (cs *classState) withGrant(total int64) *classState {
	next := *cs
	next.deficit = max(-maxDeficitTokens*1000, next.deficitAt(total)-next.grantCost())
	next.deficitAsOf = total
	next.lastServed = total
	next.passedOver = 0
	return &next
}

// withOutput returns a copy whose mean output includes a finished attempt.
func (cs *classState) withOutput(tokens int32) *classState {
	next := *cs
	next.meanOutput += (int64(tokens)*1000 - next.meanOutput) / meanOutputDivisor
	return &next
}

// withQueued returns a copy with the request added to its queue.
func (cs *classState) withQueued(r *QueuedRequest) *classState {
	next := *cs
	next.queues[r.queue()] = next.queues[r.queue()].With(r)
	return &next
}

// withoutQueued returns a copy with the request removed from its queue.
func (cs *classState) withoutQueued(r *QueuedRequest) *classState {
	next := *cs
	next.queues[r.queue()] = next.queues[r.queue()].Without(r)
	return &next
}

// withLong returns a copy with the number of running long attempts changed.
func (cs *classState) withLong(by int32) *classState {
	next := *cs
	next.runningLong += by
	return &next
}

// withPassedOver returns a copy that has been passed over once more.
func (cs *classState) withPassedOver() *classState {
	next := *cs
	next.passedOver++
	return &next
}

// withClass returns a copy for a changed definition of the class, which also applies to its queued requests.
func (cs *classState) withClass(class config.Class) *classState {
	next := *cs
	next.class = class
	for k, q := range cs.queues {
		var updated requestQueue
		for r := range q.All() {
			moved := *r
			moved.class = class
			updated = updated.With(&moved)
		}
		next.queues[k] = updated
	}
	return &next
}

// decay returns the remaining weight of an average after the elapsed time. The rational form needs no exponential.
func decay(elapsed hoist.Millis, window float64) float64 {
	if elapsed <= 0 {
		return 1
	}
	return window / (window + float64(elapsed))
}
