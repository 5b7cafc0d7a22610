package idem

import (
	"github.com/cespare/xxhash/v2"

	"chicoryhoist.example/hoist/value"
)

// bucketCount is the number of hash buckets of a window; adding a record copies only its bucket.
const bucketCount = 256

// record is the issuer's record of one token.
type record struct {
	key          string
	fingerprint  uint64
	execution    any
	completed    bool
	responseKept bool
	response     value.ForwardAnswer
}

// window holds the records of one time window.
type window struct {
	number  uint64
	count   int
	buckets value.List[value.List[record]]
}

// newWindow returns a window without records.
func newWindow(number uint64) window {
	return window{number: number, buckets: value.ListOf(make([]value.List[record], bucketCount)...)}
}

// find returns the bucket and index of the record with the caller's key; the index is -1 if there is none.
func (w window) find(key string) (bucket, index int) {
	b := int(xxhash.Sum64String(key) % bucketCount)
	records := w.buckets.At(b)
	for i := range records.Len() {
		if records.At(i).key == key {
			return b, i
		}
	}
	return b, -1
}

// withRecord returns a copy with the record added or replaced.
func (w window) withRecord(r record) window {
	b, i := w.find(r.key)
	if i < 0 {
		w.count++
		w.buckets = w.buckets.With(b, w.buckets.At(b).Append(r))
		return w
	}
	w.buckets = w.buckets.With(b, w.buckets.At(b).With(i, r))
	return w
}

// keptBytes returns the total size of the responses that the window keeps.
func (w window) keptBytes() int64 {
	total := int64(0)
	for b := range w.buckets.All() {
		for r := range b.All() {
			total += int64(len(r.response.Body()))
		}
	}
	return total
}
