// Package sim holds the event loop and the small models of engines and distances that bench and soak share.
package sim

import (
	"container/heap"

	"chicoryhoist.example/hoist"
)

// Micros is a point in simulated time or a length of it, in microseconds; distances between data centres need the resolution.
type Micros int64

// Millisecond is a millisecond.
const Millisecond Micros = 1000

// Second is a second.
const Second = 1000 * Millisecond

// Millis returns the time in whole milliseconds, as decisions see it.
func (t Micros) Millis() hoist.Millis { return hoist.Millis(t / Millisecond) }

// FromMillis returns the time of a decision's milliseconds.
func FromMillis(m hoist.Millis) Micros { return Micros(m) * Millisecond }

// EventQueue is a queue of events in the order of their times; events of one time keep the order of their insertion.
type EventQueue[E any] struct {
	now   Micros
	seq   uint64
	queue queue[E]
}

// Now returns the time of the event that was taken last.
func (l *EventQueue[E]) Now() Micros { return l.now }

// After adds an event that happens after the delay.
func (l *EventQueue[E]) After(delay Micros, e E) {
	l.seq++
	heap.Push(&l.queue, entry[E]{l.now + max(0, delay), l.seq, e})
}

// Next takes the next event up to the end, or returns false.
func (l *EventQueue[E]) Next(end Micros) (E, bool) {
	if len(l.queue) == 0 || l.queue[0].at > end {
		var none E
		return none, false
	}
	x := heap.Pop(&l.queue).(entry[E])
	l.now = x.at
	return x.event, true
}

type entry[E any] struct {
	at    Micros
	seq   uint64
	event E
}

type queue[E any] []entry[E]

func (q queue[E]) Len() int { return len(q) }

func (q queue[E]) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q queue[E]) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue[E]) Push(x any) { *q = append(*q, x.(entry[E])) }

func (q *queue[E]) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}
