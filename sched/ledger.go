package sched

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
)

const (
	// debtTokens is the largest debt of a class and the largest cost of one grant; it fixes
	// the waiting bound, so long answers are charged only up to it.
	debtTokens = 1024
	// defaultFloor is the share of a class that states no floor, in thousandths; it rules out starvation.
	defaultFloor = 10
	// typicalTokens is the answer length that is assumed before any answer has ended.
	typicalTokens = 150
	// minCost keeps the cost of a grant above zero for classes with empty answers.
	minCost = 16
	// idleAfter is the time without an ask after which a class no longer asks for service and earns nothing.
	idleAfter = 10 * hoist.Second
	// rateWindow is the averaging time of arrival rates; demand changes within seconds.
	rateWindow = 2000.0
	// meanShift sets the weight of a new answer in the mean output to 1/32.
	meanShift = 32
)

// ledger is the immutable record of one class in the shard.
type ledger struct {
	class config.Class
	lanes [laneKinds]lane
	// credit is the deficit counter in thousandths of a token, as of the total in mark.
	credit int64
	mark   int64
	// served is the total at the last grant, or when the class began to ask.
	served int64
	// passed counts the grants to other classes after the waiting bound was reached.
	passed int32
	// asked is the time of the last ask.
	asked hoist.Millis
	// mean output of an attempt, in thousandths of a token.
	mean int64
	// arrivals decays over rateWindow; arrivals/rateWindow is the rate per millisecond at asked.
	arrivals float64
	// long counts the running long attempts of the class.
	long int32
}

// newLedger returns the record of a class that has not asked yet; it starts in debt so
// that the first request of a low class does not go ahead of a higher tier.
func newLedger(c config.Class) *ledger {
	return &ledger{class: c, credit: -debtTokens * 1000, mean: typicalTokens * 1000, asked: -idleAfter - 1}
}

// floor returns the share of the class in thousandths.
func (l *ledger) floor() int64 {
	if f := int64(l.class.FloorPermille()); f > 0 {
		return f
	}
	return defaultFloor
}

// waiting returns the number of requests in the queue.
func (l *ledger) waiting() int {
	n := 0
	for _, x := range l.lanes {
		n += x.Len()
	}
	return n
}

// cost returns the tokens that one grant is charged, in thousandths.
func (l *ledger) cost() int64 { return min(max(l.mean, minCost*1000), debtTokens*1000) }

// balance returns the deficit counter at the total of generated tokens.
func (l *ledger) balance(total int64) int64 {
	return min(debtTokens*1000, l.credit+l.floor()*(total-l.mark))
}

// owed reports whether the class is owed a slot.
func (l *ledger) owed(total int64) bool { return l.balance(total) >= 0 }

// owedSince returns the total at which the class became owed.
func (l *ledger) owedSince() int64 { return l.mark - l.credit/l.floor() }

// bound returns the tokens that the shard may generate between two grants to a class that keeps asking.
func (l *ledger) bound() int64 { return debtTokens*1000/l.floor() + 1 }

// withAsk returns a copy that has seen an ask.
func (l *ledger) withAsk(now hoist.Millis, total int64) *ledger {
	c := *l
	if c.waiting() == 0 && now-c.asked > idleAfter {
		c.mark = total
		c.served = total
		c.passed = 0
	}
	c.arrivals = c.arrivals*decay(now-c.asked, rateWindow) + 1
	c.asked = max(c.asked, now)
	return &c
}

// rate returns the arrivals per millisecond.
func (l *ledger) rate(now hoist.Millis) float64 {
	return l.arrivals * decay(now-l.asked, rateWindow) / rateWindow
}

// withGrant returns a copy that is charged for a grant.
func (l *ledger) withGrant(total int64) *ledger {
	c := *l
	c.credit = max(-debtTokens*1000, c.balance(total)-c.cost())
	c.mark = total
	c.served = total
	c.passed = 0
	return &c
}

// withOutput returns a copy that has learned the output of an attempt.
func (l *ledger) withOutput(tokens int32) *ledger {
	c := *l
	c.mean += (int64(tokens)*1000 - c.mean) / meanShift
	return &c
}

// withWaiting returns a copy that holds the request.
func (l *ledger) withWaiting(w *QueuedRequest) *ledger {
	c := *l
	c.lanes[w.kind()] = c.lanes[w.kind()].With(w)
	return &c
}

// withoutWaiting returns a copy that does not hold the request.
func (l *ledger) withoutWaiting(w *QueuedRequest) *ledger {
	c := *l
	c.lanes[w.kind()] = c.lanes[w.kind()].Without(w)
	return &c
}

// withLong returns a copy with the number of running long attempts changed.
func (l *ledger) withLong(by int32) *ledger {
	c := *l
	c.long += by
	return &c
}

// withPassed returns a copy that has been passed over once more.
func (l *ledger) withPassed() *ledger {
	c := *l
	c.passed++
	return &c
}

// withClass returns a copy for a changed definition of the class; waiting requests follow it.
func (l *ledger) withClass(class config.Class) *ledger {
	c := *l
	c.class = class
	for k, x := range l.lanes {
		var fresh lane
		for w := range x.All() {
			v := *w
			v.class = class
			fresh = fresh.With(&v)
		}
		c.lanes[k] = fresh
	}
	return &c
}

// decay returns the weight that is left of an average after the time; the rational form needs no exponential.
func decay(after hoist.Millis, window float64) float64 {
	if after <= 0 {
		return 1
	}
	return window / (window + float64(after))
}
