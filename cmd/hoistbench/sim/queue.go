// Package sim holds the simulated event queue and the model of a deployment that packages bench and soak share.
package sim

import (
	"container/heap"

	"chicoryhoist.example/hoist"
)

// Micros is a point in simulated time or a duration, in microseconds; latencies between data centres need this resolution.
type Micros int64

// Millisecond is one millisecond of simulated time.
const Millisecond Micros = 1000

// Second is one second of simulated time.
const Second = 1000 * Millisecond

// Millis returns the time rounded down to milliseconds, the unit of the decision code.
func (t Micros) Millis() hoist.Millis { return hoist.Millis(t / Millisecond) }

// FromMillis converts milliseconds of the decision code to simulated time.
func FromMillis(m hoist.Millis) Micros { return Micros(m) * Millisecond }

// EventQueue orders events by time; events with the same time keep their order of insertion.
type EventQueue[E any] struct {
	now  Micros
	seq  uint64
	heap eventHeap[E]
}

// Now returns the simulated time, which is that of the event that Next returned last.
func (q *EventQueue[E]) Now() Micros { return q.now }

// After schedules an event at the current time plus the delay; a negative delay counts as zero.
func (q *EventQueue[E]) After(delay Micros, event E) {
	q.seq++
	heap.Push(&q.heap, entry[E]{q.now + max(0, delay), q.seq, event})
}

// Next removes and returns the earliest event and advances the time to it; it returns false if no event is scheduled up to end.
func (q *EventQueue[E]) Next(end Micros) (E, bool) {
	if len(q.heap) == 0 || q.heap[0].time > end {
		var zero E
		return zero, false
	}
	first := heap.Pop(&q.heap).(entry[E])
	q.now = first.time
	return first.event, true
}

type entry[E any] struct {
	time  Micros
	seq   uint64
	event E
}

type eventHeap[E any] []entry[E]

func (h eventHeap[E]) Len() int { return len(h) }

func (h eventHeap[E]) Less(i, j int) bool {
	if h[i].time != h[j].time {
		return h[i].time < h[j].time
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap[E]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap[E]) Push(x any) { *h = append(*h, x.(entry[E])) }

func (h *eventHeap[E]) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}
