// Package scale measures how the cost of each role grows with the size of the fleet.
//
// The measurements run the production decision code under a manual clock; docs/CAPACITY.md quotes the figures.
package scale

import (
	"fmt"
	"io"
	"runtime"
	"time"
)

// report prints one figure.
func report(w io.Writer, name string, value float64, unit string) {
	_, _ = fmt.Fprintf(w, "%s %.4g %s\n", name, value, unit)
}

// cost is the time and memory that a piece of work took.
type cost struct {
	// nanos is the wall time of the work, in nanoseconds; it stands for processor time, because the work runs on one goroutine.
	nanos float64
	// heapBytes is the growth of the live heap.
	heapBytes float64
}

// measure runs the work once and returns its cost; the result stays reachable until the heap has been measured.
func measure(work func() any) cost {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := time.Now()
	result := work()
	nanos := float64(time.Since(start).Nanoseconds())
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(result)
	return cost{nanos: nanos, heapBytes: float64(after.HeapAlloc) - float64(before.HeapAlloc)}
}

// Run measures the cost of each role at several sizes and prints one line for each figure.
func Run(w io.Writer) {
	measureMembership(w)
	measureScheduling(w)
	measureConfig(w)
	measureQuota(w)
	measureIdempotency(w)
}
