package retry

// FullShare is the share passed to Bucket.Filled that adds one unit for each unit of regular traffic.
const FullShare = unitScale

// unitScale is the value of one unit, an attempt or a token; levels are stored in thousandths of a unit.
const unitScale = 1000

// Bucket is an immutable token bucket that is filled by a share of the regular traffic.
//
// Its level may become negative, because past usage is charged in full; units can be taken only while the level covers them.
type Bucket struct {
	level, capacity int64
}

// NewBucket returns a bucket with the level and capacity in units.
func NewBucket(level, capacity int64) Bucket { return Bucket{level * unitScale, capacity * unitScale} }

// WithCapacity returns a copy with the capacity replaced and the level limited to it.
func (b Bucket) WithCapacity(capacity int64) Bucket {
	b.capacity = capacity * unitScale
	b.level = min(b.level, b.capacity)
	return b
}

// Level returns the level in whole units, rounded toward zero: it is negative only if the level is at least one unit below zero.
func (b Bucket) Level() int64 { return b.level / unitScale }

// Filled returns the bucket after n units of regular traffic, of which the given share in thousandths is added.
func (b Bucket) Filled(n, permille int64) Bucket {
	b.level = min(b.capacity, b.level+n*permille)
	return b
}

// Taken returns the bucket with n units removed, or false if it holds fewer.
func (b Bucket) Taken(n int64) (Bucket, bool) {
	if b.level < n*unitScale {
		return b, false
	}
	return b.Charged(n), true
}

// Charged returns the bucket after the use of n units, which may exceed its level; a negative n refunds units.
func (b Bucket) Charged(n int64) Bucket {
	b.level = min(b.capacity, b.level-n*unitScale)
	return b
}
