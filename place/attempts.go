package place

import (
	"slices"

	"chicoryhoist.example/hoist/value"
)

// attemptBuckets keeps a bucket at about 8 attempts if 32 servers run 16 attempts each.
const attemptBuckets = 64

// location is the position of an attempt's server in the table.
type location struct {
	attempt value.Attempt
	server  int32
}

// attemptIndex is an immutable hash index from attempts to servers; a change copies one bucket.
type attemptIndex struct {
	buckets *[attemptBuckets][]location
}

// bucketOf returns the bucket of an attempt.
func bucketOf(a value.Attempt) uint64 {
	h := a.Incarnation()*0x9e3779b97f4a7c15 ^ a.Request()*0xff51afd7ed558ccd ^ uint64(a.Number())
	return (h ^ h>>33) * 0xc4ceb9fe1a85ec53 >> 58
}

// find returns the server's position, or -1.
func (x attemptIndex) find(a value.Attempt) int {
	if x.buckets == nil {
		return -1
	}
	for _, loc := range x.buckets[bucketOf(a)] {
		if loc.attempt == a {
			return int(loc.server)
		}
	}
	return -1
}

// with returns the index with the attempt added.
func (x attemptIndex) with(a value.Attempt, server int) attemptIndex {
	return x.replace(a, func(bucket []location) []location {
		return append(slices.Clip(bucket), location{a, int32(server)})
	})
}

// without returns the index with the attempt removed.
func (x attemptIndex) without(a value.Attempt) attemptIndex {
	return x.replace(a, func(bucket []location) []location {
		i := slices.IndexFunc(bucket, func(loc location) bool { return loc.attempt == a })
		if i < 0 {
			return bucket
		}
		return slices.Concat(bucket[:i], bucket[i+1:])
	})
}

// replace returns the index with the bucket of the attempt replaced.
func (x attemptIndex) replace(a value.Attempt, change func([]location) []location) attemptIndex {
	buckets := &[attemptBuckets][]location{}
	if x.buckets != nil {
		*buckets = *x.buckets
	}
	b := bucketOf(a)
	buckets[b] = change(buckets[b])
	return attemptIndex{buckets}
}
