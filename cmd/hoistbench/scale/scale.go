// Package scale measures how the cost of each role grows with the size of the fleet.
//
// Every figure comes from the production code under a manual clock; docs/CAPACITY.md quotes them.
package scale

import (
	"fmt"
	"io"
	"runtime"
	"time"
)

// report prints one figure.
func report(w io.Writer, name string, v float64, unit string) {
	_, _ = fmt.Fprintf(w, "%s %.4g %s\n", name, v, unit)
}

// cost is what a piece of work took.
type cost struct {
	// nanos is the processor time of the work, in nanoseconds; the work runs on one goroutine.
	nanos float64
	// bytes is the growth of the live heap, in bytes.
	bytes float64
}

// measure runs the work once and returns its cost; the result of the work stays alive until after the measurement.
func measure(work func() any) cost {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	begun := time.Now()
	result := work()
	nanos := float64(time.Since(begun).Nanoseconds())
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(result)
	return cost{nanos: nanos, bytes: float64(after.HeapAlloc) - float64(before.HeapAlloc)}
}

// Run measures every slope and prints one line for each figure.
func Run(w io.Writer) {
	members(w)
	shards(w)
	configurations(w)
	limits(w)
	tokens(w)
}
