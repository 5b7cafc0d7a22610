package retry

// unit is one attempt or token in a bucket, which counts in thousandths.
const unit = 1000

// Bucket is an immutable token bucket that fills with a share of what passes; it counts in thousandths.
//
// It may run into debt: what has happened already is charged in full, and nothing is allowed until it is paid.
type Bucket struct {
	level, bound int64
}

// NewBucket returns a bucket that holds level units and at most bound units.
func NewBucket(level, bound int64) Bucket { return Bucket{level * unit, bound * unit} }

// WithCapacity returns the bucket with another bound; what exceeds it is lost.
func (b Bucket) WithCapacity(bound int64) Bucket {
	b.bound = bound * unit
	b.level = min(b.level, b.bound)
	return b
}

// Level returns the whole units that can be taken; it is negative in debt.
func (b Bucket) Level() int64 { return b.level / unit }

// Filled returns the bucket after n units have passed, of which the share in thousandths counts.
func (b Bucket) Filled(n, permille int64) Bucket {
	b.level = min(b.bound, b.level+n*permille)
	return b
}

// Taken returns the bucket without n units, or false when it holds fewer.
func (b Bucket) Taken(n int64) (Bucket, bool) {
	if b.level < n*unit {
		return b, false
	}
	return b.Charged(n), true
}

// Charged returns the bucket after n units were used, even beyond its level; a negative n gives units back.
func (b Bucket) Charged(n int64) Bucket {
	b.level = min(b.bound, b.level-n*unit)
	return b
}
