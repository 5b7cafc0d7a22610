// Package hoist holds the core types of the router: time, findings and read-copy-update.
package hoist

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point in time or a duration in milliseconds. Points in time are relative to the Unix epoch, or to the start of the machine if they come from BootClock.
type Millis int64

// Second and Minute are durations.
const (
	Second Millis = 1000
	Minute Millis = 60 * Second
)

// Duration returns the duration as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// maxMillis bounds durations from settings so that they can be added to a point in time and converted to time.Duration.
const maxMillis = 1 << 40

// MillisOfFloat returns a number of milliseconds, rounded toward zero and limited to 34 years.
func MillisOfFloat(ms float64) Millis { return Millis(max(0, min(ms, maxMillis))) }

// MillisOfSeconds returns a number of seconds in milliseconds, limited to 34 years.
func MillisOfSeconds(s float64) Millis { return MillisOfFloat(s * float64(Second)) }

// MillisOf returns the duration in whole milliseconds, rounded toward zero.
func MillisOf(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock provides the time and timers.
type Clock interface {
	// Now returns the current time.
	Now() Millis
	// After returns a channel that receives the time once the delay has passed.
	After(delay Millis) <-chan Millis
}

// SystemClock is the machine's monotonic clock, set to the wall clock at construction.
type SystemClock struct {
	start  time.Time
	anchor Millis
}

// NewSystemClock returns a clock that never goes backwards while the process runs.
func NewSystemClock() *SystemClock {
	now := time.Now()
	return &SystemClock{start: now, anchor: Millis(now.UnixMilli())}
}

// Now returns the anchor plus the monotonic time since construction.
func (c *SystemClock) Now() Millis { return c.anchor + MillisOf(time.Since(c.start)) }

// After returns a channel that receives the time once the delay has passed.
func (c *SystemClock) After(delay Millis) <-chan Millis {
	ch := make(chan Millis, 1)
	time.AfterFunc(delay.Duration(), func() { ch <- c.Now() })
	return ch
}

// ManualClock is a clock that is advanced explicitly; it has no After.
type ManualClock struct {
	now atomic.Int64
}

// NewManualClock returns a clock set to the given time.
func NewManualClock(now Millis) *ManualClock {
	c := &ManualClock{}
	c.now.Store(int64(now))
	return c
}

// Now returns the current time of the clock.
func (c *ManualClock) Now() Millis { return Millis(c.now.Load()) }

// Advance advances the clock.
func (c *ManualClock) Advance(by Millis) { c.now.Add(int64(by)) }

// BootClock measures the time since the machine started; unlike SystemClock, it includes the time for which the machine was suspended.
// Its timers don't include that time.
type BootClock struct{}

// NewBootClock returns a clock that never goes backwards and never stops.
func NewBootClock() BootClock { return BootClock{} }

// Now returns the time since the machine started.
func (BootClock) Now() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // The call fails only for unknown clocks.
	}
	return Millis(t.Nano() / int64(time.Millisecond))
}

// After returns a channel that receives the time once the delay has passed on Go's monotonic clock, which doesn't count the time for
// which the machine was suspended.
func (c BootClock) After(delay Millis) <-chan Millis {
	ch := make(chan Millis, 1)
	time.AfterFunc(delay.Duration(), func() { ch <- c.Now() })
	return ch
}
