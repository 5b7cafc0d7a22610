package sched

import (
	"iter"
	"slices"
	"sort"

	"chicoryhoist.example/hoist"
)

// laneKind names one of the lanes of a class.
type laneKind int

const (
	// laneFirst holds requests that have not run; all of them have the same time from arrival to deadline.
	laneFirst laneKind = iota
	// laneRetried holds requests that may have run before and are not long.
	laneRetried
	// laneLong holds long requests that resume.
	laneLong
	laneKinds
)

// chunkSize bounds the requests that are copied when a lane changes.
const chunkSize = 64

// lane is an immutable list of waiting requests, oldest first; its zero value is empty.
//
// The list is split into chunks so that a change copies one chunk and the chunk
// directory instead of the whole queue.
type lane struct {
	chunks [][]*QueuedRequest
	size   int
}

// Len returns the number of requests.
func (l lane) Len() int { return l.size }

// First returns the oldest request; the lane must not be empty.
func (l lane) First() *QueuedRequest { return l.chunks[0][0] }

// Last returns the newest request; the lane must not be empty.
func (l lane) Last() *QueuedRequest {
	c := l.chunks[len(l.chunks)-1]
	return c[len(c)-1]
}

// At returns the request at the position.
func (l lane) At(i int) *QueuedRequest {
	for _, c := range l.chunks {
		if i < len(c) {
			return c[i]
		}
		i -= len(c)
	}
	panic("sched: lane position out of range")
}

// All yields the requests, oldest first.
func (l lane) All() iter.Seq[*QueuedRequest] {
	return func(yield func(*QueuedRequest) bool) {
		for _, c := range l.chunks {
			for _, w := range c {
				if !yield(w) {
					return
				}
			}
		}
	}
}

// With returns a lane that holds the request too.
func (l lane) With(w *QueuedRequest) lane {
	if l.size == 0 {
		return lane{[][]*QueuedRequest{{w}}, 1}
	}
	at := l.chunkOf(w)
	old := l.chunks[at]
	i := position(old, w)
	fresh := make([]*QueuedRequest, 0, len(old)+1)
	fresh = append(fresh, old[:i]...)
	fresh = append(fresh, w)
	fresh = append(fresh, old[i:]...)
	if len(fresh) <= chunkSize {
		return l.replace(at, fresh)
	}
	half := len(fresh) / 2
	if i == len(old) {
		half = len(old)
	}
	return l.replace(at, fresh[:half:half], fresh[half:])
}

// Without returns a lane that does not hold the request.
func (l lane) Without(w *QueuedRequest) lane {
	if l.size == 0 {
		return l
	}
	at := l.chunkOf(w)
	old := l.chunks[at]
	i := position(old, w)
	if i == len(old) || old[i] != w {
		return l
	}
	if len(old) == 1 {
		return l.replace(at)
	}
	return l.replace(at, slices.Concat(old[:i], old[i+1:]))
}

// chunkOf returns the index of the last chunk that starts at or before the request.
func (l lane) chunkOf(w *QueuedRequest) int {
	n := sort.Search(len(l.chunks), func(i int) bool { return w.older(l.chunks[i][0]) })
	return max(0, n-1)
}

// position returns the place of the request in the chunk.
func position(c []*QueuedRequest, w *QueuedRequest) int {
	return sort.Search(len(c), func(i int) bool { return !c[i].older(w) })
}

// replace returns a lane with the chunk replaced by others.
func (l lane) replace(at int, chunks ...[]*QueuedRequest) lane {
	all := make([][]*QueuedRequest, 0, len(l.chunks)+1)
	all = append(all, l.chunks[:at]...)
	all = append(all, chunks...)
	all = append(all, l.chunks[at+1:]...)
	size := l.size - len(l.chunks[at])
	for _, c := range chunks {
		size += len(c)
	}
	return lane{all, size}
}

// CountUntil returns the number of requests that wait since the time or longer.
func (l lane) CountUntil(since hoist.Millis) int {
	n := 0
	for _, c := range l.chunks {
		if c[len(c)-1].since <= since {
			n += len(c)
			continue
		}
		return n + sort.Search(len(c), func(i int) bool { return c[i].since > since })
	}
	return n
}
