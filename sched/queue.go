package sched

import (
	"iter"
	"slices"
	"sort"

	"chicoryhoist.example/hoist"
)

// queueKind names one of the queues of a class.
type queueKind int

const (
	// queueNew holds requests that have not run; for all of them the time from arrival to deadline is the same.
	queueNew queueKind = iota
	// queueRetried holds requests that may have run before and are not long.
	queueRetried
	// queueLong holds long requests that wait to resume.
	queueLong
	queueKinds
)

// chunkSize bounds the number of requests that are copied when a queue changes.
const chunkSize = 64

// requestQueue is an immutable list of queued requests, oldest first. The zero value is empty.
//
// The list is split into chunks, so that a change copies one chunk and the list of chunks
// instead of the whole queue.
type requestQueue struct {
	chunks [][]*QueuedRequest
	size   int
}

// Len returns the number of requests.
func (q requestQueue) Len() int { return q.size }

// First returns the oldest request; the queue must not be empty.
func (q requestQueue) First() *QueuedRequest { return q.chunks[0][0] }

// Last returns the newest request; the queue must not be empty.
func (q requestQueue) Last() *QueuedRequest {
	chunk := q.chunks[len(q.chunks)-1]
	return chunk[len(chunk)-1]
}

// At returns the request at the position.
func (q requestQueue) At(i int) *QueuedRequest {
	for _, c := range q.chunks {
		if i < len(c) {
			return c[i]
		}
		i -= len(c)
	}
	panic("sched: queue position out of range")
}

// All yields the requests, oldest first.
func (q requestQueue) All() iter.Seq[*QueuedRequest] {
	return func(yield func(*QueuedRequest) bool) {
		for _, c := range q.chunks {
			for _, r := range c {
				if !yield(r) {
					return
				}
			}
		}
	}
}

// With returns a queue with the request added.
func (q requestQueue) With(r *QueuedRequest) requestQueue {
	if q.size == 0 {
		return requestQueue{[][]*QueuedRequest{{r}}, 1}
	}
	chunk := q.chunkOf(r)
	old := q.chunks[chunk]
	i := position(old, r)
	grown := make([]*QueuedRequest, 0, len(old)+1)
	grown = append(grown, old[:i]...)
	grown = append(grown, r)
	grown = append(grown, old[i:]...)
	if len(grown) <= chunkSize {
		return q.replace(chunk, grown)
	}
	half := len(grown) / 2
	if i == len(old) {
		half = len(old)
	}
	return q.replace(chunk, grown[:half:half], grown[half:])
}

// Without returns a queue with the request removed.
func (q requestQueue) Without(r *QueuedRequest) requestQueue {
	if q.size == 0 {
		return q
	}
	chunk := q.chunkOf(r)
	old := q.chunks[chunk]
	i := position(old, r)
	if i == len(old) || old[i] != r {
		return q
	}
	if len(old) == 1 {
		return q.replace(chunk)
	}
	return q.replace(chunk, slices.Concat(old[:i], old[i+1:]))
}

// chunkOf returns the index of the last chunk that starts at or before the request.
func (q requestQueue) chunkOf(r *QueuedRequest) int {
	n := sort.Search(len(q.chunks), func(i int) bool { return r.queuedBefore(q.chunks[i][0]) })
	return max(0, n-1)
}

// position returns the index of the request in the chunk.
func position(chunk []*QueuedRequest, r *QueuedRequest) int {
	return sort.Search(len(chunk), func(i int) bool { return !chunk[i].queuedBefore(r) })
}

// replace returns a queue with one chunk replaced by others.
func (q requestQueue) replace(chunk int, replacements ...[]*QueuedRequest) requestQueue {
	all := make([][]*QueuedRequest, 0, len(q.chunks)+1)
	all = append(all, q.chunks[:chunk]...)
	all = append(all, replacements...)
	all = append(all, q.chunks[chunk+1:]...)
	size := q.size - len(q.chunks[chunk])
	for _, c := range replacements {
		size += len(c)
	}
	return requestQueue{all, size}
}

// CountUntil returns the number of requests that have waited since the time or longer.
func (q requestQueue) CountUntil(since hoist.Millis) int {
	n := 0
	for _, c := range q.chunks {
		if c[len(c)-1].since <= since {
			n += len(c)
			continue
		}
		return n + sort.Search(len(c), func(i int) bool { return c[i].since > since })
	}
	return n
}
