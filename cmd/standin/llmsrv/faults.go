package llmsrv

import (
	"strings"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/message"
)

// Faults is the immutable set of active faults of one engine.
type Faults struct {
	slowdown         int
	slowEnd          hoist.Millis
	refuseEnd        hoist.Millis
	stallEnd         hoist.Millis
	crashText        string
	crashMs          hoist.Millis
	truncateAfter    int
	truncations      int
	mismatchedFrames int
	leaving          bool
}

// With returns the faults after a fault command.
func (f Faults) With(m *message.Fault, now hoist.Millis) Faults {
	switch m.WhichBody() {
	case message.Fault_Clear_case:
		return Faults{}
	case message.Fault_Slow_case:
		f.slowdown, f.slowEnd = int(m.GetSlow().GetFactor()), now+hoist.Millis(m.GetSlow().GetMs())
	case message.Fault_Crash_case:
		f.crashText, f.crashMs = m.GetCrash().GetText(), hoist.Millis(m.GetCrash().GetMs())
	case message.Fault_Refuse_case:
		f.refuseEnd = now + hoist.Millis(m.GetRefuse().GetMs())
	case message.Fault_Stall_case:
		f.stallEnd = now + hoist.Millis(m.GetStall().GetMs())
	case message.Fault_Cut_case:
		f.truncateAfter, f.truncations = int(m.GetCut().GetAfter()), int(m.GetCut().GetCount())
	case message.Fault_Foreign_case:
		f.mismatchedFrames = int(m.GetForeign().GetCount())
	case message.Fault_Leave_case:
		f.leaving = true
	default:
	}
	return f
}

// Slowdown returns the factor by which service times are multiplied.
func (f Faults) Slowdown(now hoist.Millis) int {
	if now < f.slowEnd {
		return max(1, f.slowdown)
	}
	return 1
}

// Refuses reports whether new requests are refused as if the engine were full.
func (f Faults) Refuses(now hoist.Millis) bool { return now < f.refuseEnd }

// Stalled returns the end of the stall, or false when the engine isn't stalled.
func (f Faults) Stalled(now hoist.Millis) (hoist.Millis, bool) { return f.stallEnd, now < f.stallEnd }

// Crashes reports whether the prompt crashes the engine.
func (f Faults) Crashes(prompt string) bool {
	return f.crashText != "" && strings.Contains(prompt, f.crashText)
}

// CrashMs returns the time for which the engine stays down after a crash.
func (f Faults) CrashMs() hoist.Millis { return f.crashMs }

// Leaving reports whether the engine refuses new requests because it is leaving.
func (f Faults) Leaving() bool { return f.leaving }

// TakeTruncation consumes one truncation; it returns the number of tokens before it, or -1 when none is pending.
func (f Faults) TakeTruncation() (Faults, int) {
	if f.truncations == 0 {
		return f, -1
	}
	f.truncations--
	return f, f.truncateAfter
}

// TakeMismatchedFrame consumes one mismatched frame; it returns false when none is pending.
func (f Faults) TakeMismatchedFrame() (Faults, bool) {
	if f.mismatchedFrames == 0 {
		return f, false
	}
	f.mismatchedFrames--
	return f, true
}
