package quota

import "chicoryhoist.example/hoist"

// burstTime is the time for which an unused rate is saved up; demand varies within seconds.
const burstTime = hoist.Second

// Bucket is an immutable token bucket; its level may be negative after a charge that was not known in advance.
type Bucket struct {
	// rate in thousandths per second.
	rate int64
	// level in millionths, so that a rate earns a whole number in each millisecond.
	level int64
	at    hoist.Millis
}

// NewBucket returns a full bucket with the rate in thousandths per second.
func NewBucket(rate int64, now hoist.Millis) Bucket {
	b := Bucket{rate: rate, at: now}
	b.level = b.size()
	return b
}

// size returns the largest level: the burst, but at least one whole unit.
func (b Bucket) size() int64 {
	if b.rate == unlimited || b.rate == 0 {
		return 0
	}
	return max(milli*milli, b.rate*int64(burstTime))
}

// WithRate returns a copy with the rate replaced; what was saved stays, up to the new burst.
//
// A first rate starts with one burst; later changes add nothing, or leases that come
// and go would refill the bucket.
func (b Bucket) WithRate(rate int64, now hoist.Millis) Bucket {
	if b.rate == rate {
		return b
	}
	if b.rate == unlimited {
		return NewBucket(rate, now)
	}
	b = b.filled(now)
	b.rate = rate
	b.level = min(b.level, b.size())
	return b
}

// filled returns a copy with the level of the time.
func (b Bucket) filled(now hoist.Millis) Bucket {
	passed := int64(now - b.at)
	if passed <= 0 {
		return b
	}
	b.at = now
	if b.rate == unlimited || b.rate == 0 {
		return b
	}
	// The division comes first, because the product passes 64 bits after a long pause.
	if size := b.size(); passed > (size-b.level)/b.rate {
		b.level = size
	} else {
		b.level += b.rate * passed
	}
	return b
}

// Take returns the bucket without the amount in thousandths, or the time after which the amount is there.
//
// An amount larger than the bucket is taken from a full bucket and leaves a debt.
func (b Bucket) Take(amount int64, now hoist.Millis) (Bucket, hoist.Millis, bool) {
	if b.rate == unlimited || amount <= 0 {
		return b, 0, true
	}
	if b.rate == 0 {
		return b, ReportInterval, false
	}
	b = b.filled(now)
	need := min(amount*milli, b.size())
	if b.level < need {
		return b, hoist.Millis((need-b.level-1)/b.rate + 1), false
	}
	b.level -= amount * milli
	return b, 0, true
}

// Charge returns the bucket without an amount in thousandths that was not known in advance.
func (b Bucket) Charge(amount int64, now hoist.Millis) Bucket {
	if b.rate == unlimited {
		return b
	}
	b = b.filled(now)
	b.level -= amount * milli
	return b
}

// Refund returns the bucket with an amount in thousandths put back.
func (b Bucket) Refund(amount int64) Bucket {
	if b.rate == unlimited {
		return b
	}
	b.level = min(b.level+amount*milli, b.size())
	return b
}
