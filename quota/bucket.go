package quota

import "chicoryhoist.example/hoist"

// burstTime is the time for which an unused rate accumulates; demand varies within seconds.
const burstTime = hoist.Second

// Bucket is an immutable token bucket. Its level is negative after a charge that exceeded it.
type Bucket struct {
	// rate is in thousandths per second.
	rate int64
	// level is in millionths, so that the refill is a whole number in each millisecond.
	level   int64
	updated hoist.Millis
}

// NewBucket returns a full bucket with the rate in thousandths per second.
func NewBucket(rate int64, now hoist.Millis) Bucket {
	b := Bucket{rate: rate, updated: now}
	b.level = b.capacity()
	return b
}

// capacity returns the highest level: the burst, but at least one whole unit.
func (b Bucket) capacity() int64 {
	if b.rate == unlimited || b.rate == 0 {
		return 0
	}
	return max(milli*milli, b.rate*int64(burstTime))
}

// WithRate returns a copy with the rate replaced; the level stays, up to the new capacity.
//
// The first rate starts with one burst. Later changes add nothing; otherwise leases that come
// and go would refill the bucket.
func (b Bucket) WithRate(rate int64, now hoist.Millis) Bucket {
	if b.rate == rate {
		return b
	}
	if b.rate == unlimited {
		return NewBucket(rate, now)
	}
	b = b.refilled(now)
	b.rate = rate
	b.level = min(b.level, b.capacity())
	return b
}

// refilled returns a copy with the level as of now.
func (b Bucket) refilled(now hoist.Millis) Bucket {
	elapsed := int64(now - b.updated)
	if elapsed <= 0 {
		return b
	}
	b.updated = now
	if b.rate == unlimited || b.rate == 0 {
		return b
	}
	// The division comes first, because the product exceeds 64 bits after a long pause.
	if size := b.capacity(); elapsed > (size-b.level)/b.rate {
		b.level = size
	} else {
		b.level += b.rate * elapsed
	}
	return b
}

// Take returns the bucket without the amount in thousandths, or the time after which the amount is available.
//
// An amount larger than the capacity is taken from a full bucket and leaves a negative level.
func (b Bucket) Take(amount int64, now hoist.Millis) (Bucket, hoist.Millis, bool) {
	if b.rate == unlimited || amount <= 0 {
		return b, 0, true
	}
	if b.rate == 0 {
		return b, ReportInterval, false
	}
	b = b.refilled(now)
	required := min(amount*milli, b.capacity())
	if b.level < required {
		return b, hoist.Millis((required-b.level-1)/b.rate + 1), false
	}
	b.level -= amount * milli
	return b, 0, true
}

// Charge returns the bucket without an amount in thousandths that was not known in advance.
func (b Bucket) Charge(amount int64, now hoist.Millis) Bucket {
	if b.rate == unlimited {
		return b
	}
	b = b.refilled(now)
	b.level -= amount * milli
	return b
}

// Refund returns the bucket with an amount in thousandths put back.
func (b Bucket) Refund(amount int64) Bucket {
	if b.rate == unlimited {
		return b
	}
	b.level = min(b.level+amount*milli, b.capacity())
	return b
}
