package sched

import (
	"iter"

	"chicoryhoist.example/hoist/value"
)

// keyed is a record with an attempt as its key.
type keyed interface{ attempt() value.Attempt }

const (
	// fanoutBits is the number of hash bits that select a child at each of two levels.
	fanoutBits = 4
	// fanout is the number of children of a node. A change copies two nodes of 16 pointers and, with
	// 512 running attempts, about two records.
	fanout = 1 << fanoutBits
)

// entry is one record of a chain.
type entry[V keyed] struct {
	record V
	next   *entry[V]
}

// branch holds the chains of one hash prefix.
type branch[V keyed] [fanout]*entry[V]

// index is an immutable hash table of records by attempt; its zero value is empty.
type index[V keyed] struct {
	root *[fanout]*branch[V]
	size int
}

// Len returns the number of records.
func (x index[V]) Len() int { return x.size }

// Get returns the record of the attempt.
func (x index[V]) Get(a value.Attempt) (V, bool) {
	for e := x.chain(a); e != nil; e = e.next {
		if e.record.attempt() == a {
			return e.record, true
		}
	}
	var none V
	return none, false
}

// With returns an index that holds the record, in place of an earlier one of the same attempt.
func (x index[V]) With(v V) index[V] {
	a := v.attempt()
	if _, ok := x.Get(a); ok {
		return x.replace(a, &entry[V]{v, x.chain(a).without(a)}, 0)
	}
	return x.replace(a, &entry[V]{v, x.chain(a)}, 1)
}

// Without returns an index that does not hold the attempt.
func (x index[V]) Without(a value.Attempt) index[V] {
	if _, ok := x.Get(a); !ok {
		return x
	}
	return x.replace(a, x.chain(a).without(a), -1)
}

// without returns the chain without the attempt, which it must hold.
func (e *entry[V]) without(a value.Attempt) *entry[V] {
	if e.record.attempt() == a {
		return e.next
	}
	return &entry[V]{e.record, e.next.without(a)}
}

// All yields the records in an order that depends only on the sequence of changes.
func (x index[V]) All() iter.Seq[V] {
	return func(yield func(V) bool) {
		if x.root == nil {
			return
		}
		for _, b := range x.root {
			if b == nil {
				continue
			}
			for _, e := range b {
				for ; e != nil; e = e.next {
					if !yield(e.record) {
						return
					}
				}
			}
		}
	}
}

// SameRequest returns the records of all attempts of the attempt's request.
func (x index[V]) SameRequest(a value.Attempt) []V {
	var found []V
	for e := x.chain(a); e != nil; e = e.next {
		if e.record.attempt().WithNumber(a.Number()) == a {
			found = append(found, e.record)
		}
	}
	return found
}

// chain returns the records whose hash equals that of the attempt.
func (x index[V]) chain(a value.Attempt) *entry[V] {
	first, second := hash(a)
	if x.root == nil || x.root[first] == nil {
		return nil
	}
	return x.root[first][second]
}

// replace returns an index with the chain of the attempt replaced.
func (x index[V]) replace(a value.Attempt, e *entry[V], change int) index[V] {
	first, second := hash(a)
	root, b := new([fanout]*branch[V]), new(branch[V])
	if x.root != nil {
		*root = *x.root
	}
	if root[first] != nil {
		*b = *root[first]
	}
	b[second] = e
	root[first] = b
	return index[V]{root, x.size + change}
}

// hash distributes requests over the chains; all attempts of one request share a chain.
// The odd factors are those of 64-bit Fibonacci and splitmix hashing.
func hash(a value.Attempt) (first, second int) {
	h := a.Incarnation()*0x9e3779b97f4a7c15 ^ a.Request()*0xbf58476d1ce4e5b9
	return int(h >> (64 - fanoutBits)), int(h >> (64 - 2*fanoutBits) & (fanout - 1))
}

// settledAttempt is an attempt that has ended, was rejected or was withdrawn.
type settledAttempt struct{ value.Attempt }

// attempt returns the key in the index.
func (e settledAttempt) attempt() value.Attempt { return e.Attempt }

// settledSetSize is the size at which the newer generation becomes the older one. At 350 requests/s an
// attempt is remembered for at least 5 s, longer than a message can be delayed on a stream.
const settledSetSize = 2048

// settledSet remembers settled attempts in two generations, so that a late copy of a message cannot cause a second
// grant.
type settledSet struct {
	newer, older index[settledAttempt]
}

// Has reports whether the attempt is remembered.
func (m settledSet) Has(a value.Attempt) bool {
	if _, ok := m.newer.Get(a); ok {
		return true
	}
	_, ok := m.older.Get(a)
	return ok
}

// With returns a set that holds the attempt.
func (m settledSet) With(a value.Attempt) settledSet {
	m.newer = m.newer.With(settledAttempt{a})
	if m.newer.Len() >= settledSetSize {
		return settledSet{older: m.newer}
	}
	return m
}
