package place

import (
	"math"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// probeDelay is the first backoff of a server that went down; it doubles with each failure.
	probeDelay = hoist.Second
	// maxProbeDoublings limits the backoff to 8 s, short compared with the minutes of a cold start.
	maxProbeDoublings = 3
	// maxConsecutiveFailures is the number of consecutive attempts that fail without a token before the server counts
	// as down.
	maxConsecutiveFailures = 3
	// reportTTL is the time for which a load report lowers the free slots; reports come once per second.
	reportTTL = 5 * hoist.Second
	// peakWindow is half of the time over which the peak of own attempts is compared with a report, which may be 5 s
	// late.
	peakWindow = 5 * hoist.Second
	// limitDecreaseInterval and limitIncreaseInterval separate the steps of the concurrency limit, so that one slow
	// batch causes one step.
	limitDecreaseInterval = hoist.Second / 2
	limitIncreaseInterval = hoist.Second / 4
)

// leaveSources is the set of sources that show a server as leaving.
type leaveSources uint8

const (
	// sourceListed means that the instance list shows the server as leaving.
	sourceListed leaveSources = 1 << iota
	// sourceAbsent means that the instance list no longer shows the server.
	sourceAbsent
	// sourceRefused means that the server itself refused work.
	sourceRefused
	// sourceAnnounced means that a peer announced it.
	sourceAnnounced
)

// Server is one backend server as its shard's owner sees it.
//
// It points to a record that is never modified, so that lists of servers are cheap to copy.
type Server struct {
	record *record
}

// record is the content of a Server.
type record struct {
	instance     value.Instance
	status       Status
	reason       Reason
	statusSince  hoist.Millis
	leaveSources leaveSources
	// processStart is the assumed start of the current process. Attempts granted at or before it give no information
	// about the process.
	processStart hoist.Millis

	slots        int32
	limit        int32
	limitChanged hoist.Millis
	running      value.List[RunningAttempt]

	// otherRunning counts the requests of other users, and engineSlots the slots, according to the last load report.
	otherRunning int32
	engineSlots  int32
	reportedAt   hoist.Millis
	measuredAt   hoist.Millis
	// runningPeaks holds the largest number of running attempts in the current and the previous peakWindow.
	runningPeaks [2]int32
	peaksRotated hoist.Millis

	// latency holds the averages by metric; the first-token time is relative to the expected one.
	latency             [metricCount]average
	ejectCause          latencyMetric
	overdue             int32
	goodSamples         int32
	consecutiveFailures int32
	backoffSteps        int32
	probeAt             hoist.Millis
	reservedUntil       hoist.Millis

	// maskBit is the server's bit in the masks of cached prefixes and loaded models; prefixBits means none.
	maskBit      uint8
	nextCacheSeq uint64
}

// NewServer returns a ready server with the slot count of its pool.
func NewServer(instance value.Instance, slots int32) Server {
	return Server{&record{instance: instance, slots: slots, limit: slots, maskBit: prefixBits, processStart: math.MinInt64}}
}

// with returns a modified copy.
func (s Server) with(change func(*record)) Server {
	r := *s.record
	change(&r)
	return Server{&r}
}

// Name returns the instance name.
func (s Server) Name() string { return s.record.instance.Name() }

// Instance returns the entry of the instance list.
func (s Server) Instance() value.Instance { return s.record.instance }

// Status returns the status.
func (s Server) Status() Status { return s.record.status }

// Reason returns why the server has its status.
func (s Server) Reason() Reason { return s.record.reason }

// StatusSince returns the time of the last change of the status.
func (s Server) StatusSince() hoist.Millis { return s.record.statusSince }

// Slots returns the number of requests that the server can run at once.
func (s Server) Slots() int32 { return s.record.slots }

// ConcurrencyLimit returns the number of attempts that the server may currently run at once; it is at most Slots.
func (s Server) ConcurrencyLimit() int32 { return s.record.limit }

// LastReport returns the time of the last load report, or zero.
func (s Server) LastReport() hoist.Millis { return s.record.reportedAt }

// Running returns the attempts in progress.
func (s Server) Running() value.List[RunningAttempt] { return s.record.running }

// Fingerprints returns the content fingerprints of the attempts in progress, to which a crash of the server is
// attributed.
func (s Server) Fingerprints() value.List[uint64] {
	fingerprints := make([]uint64, 0, s.record.running.Len())
	for r := range s.record.running.All() {
		fingerprints = append(fingerprints, r.ask.Fingerprint())
	}
	return value.ListOf(fingerprints...)
}

// FirstTokenRatio returns the fast average of the first-token time relative to the expected time for the prompt, and
// the number of samples.
func (s Server) FirstTokenRatio() (float64, int32) {
	a := s.record.latency[metricFirstToken]
	return a.fast, a.samples
}

// InterTokenMs returns the fast average of the time between tokens in milliseconds, and the number of samples.
func (s Server) InterTokenMs() (float64, int32) {
	a := s.record.latency[metricInterToken]
	return a.fast, a.samples
}

// FreeSlots returns the slots that new work may use according to the status; it is never negative.
func (s Server) FreeSlots() int32 {
	r := s.record
	switch r.status {
	case StatusReady:
		return max(0, s.effectiveLimit()-int32(r.running.Len())-r.otherRunning)
	case StatusProbation:
		if s.probing() || s.effectiveLimit() <= int32(r.running.Len())+r.otherRunning {
			return 0
		}
		return 1
	case StatusLeaving, StatusDown:
		return 0
	}
	return 0
}

// effectiveLimit returns the concurrency limit, capped at the slot count that the engine reports.
func (s Server) effectiveLimit() int32 {
	if s.record.engineSlots > 0 {
		return min(s.record.limit, s.record.engineSlots)
	}
	return s.record.limit
}

// probing reports whether an attempt that was granted since the last change of the status still waits for its first
// token.
func (s Server) probing() bool {
	for r := range s.record.running.All() {
		if r.tokens == 0 && r.started >= s.record.statusSince {
			return true
		}
	}
	return false
}

// runsIsolated reports whether an attempt is running that must run alone on the server.
func (s Server) runsIsolated() bool {
	for r := range s.record.running.All() {
		if r.isolated {
			return true
		}
	}
	return false
}

// longAttempts returns the number of attempts that have attained the tokens of long work.
func (s Server) longAttempts(longAfter int32) int32 {
	count := int32(0)
	for r := range s.record.running.All() {
		if r.AttainedTokens() >= longAfter {
			count++
		}
	}
	return count
}

// WithInstance returns a copy with the instance replaced.
func (s Server) WithInstance(i value.Instance) Server {
	return s.with(func(r *record) { r.instance = i })
}

// WithStatus returns a copy with the status replaced.
func (s Server) WithStatus(status Status) Server {
	return s.with(func(r *record) { r.status = status })
}

// WithRunning returns a copy with the attempts in progress replaced.
func (s Server) WithRunning(running value.List[RunningAttempt]) Server {
	return s.with(func(r *record) {
		r.running = running
		r.runningPeaks[0] = max(r.runningPeaks[0], int32(running.Len()))
	})
}

// withSlots returns a copy with the slot count of the pool replaced; a lowered limit stays lowered.
func (s Server) withSlots(slots int32) Server {
	if slots == s.record.slots {
		return s
	}
	return s.with(func(r *record) {
		if r.limit == r.slots {
			r.limit = slots
		}
		r.limit = min(r.limit, slots)
		r.slots = slots
	})
}

// withTransition returns a copy that changes to the status now.
func (s Server) withTransition(status Status, reason Reason, now hoist.Millis) Server {
	return s.with(func(r *record) { r.setStatus(status, reason, now) })
}

// setStatus changes the status. A server that becomes ready starts at half of its slots, because a full batch would
// hide a relapse.
func (r *record) setStatus(status Status, reason Reason, now hoist.Millis) {
	if status == StatusReady {
		r.limit = max(1, r.slots/2)
		r.limitChanged = now
		r.backoffSteps = 0
	}
	r.status, r.reason, r.statusSince = status, reason, now
	r.goodSamples, r.overdue, r.consecutiveFailures = 0, 0, 0
	r.probeAt = now
}

// markedLeaving returns a copy that takes no new work because the source shows the server as leaving.
func (s Server) markedLeaving(source leaveSources, reason Reason, now hoist.Millis) Server {
	return s.with(func(r *record) {
		if r.status != StatusLeaving {
			r.setStatus(StatusLeaving, reason, now)
		}
		r.leaveSources |= source
	})
}

// markedDown returns a copy that takes no work until its backoff has passed or a newer load report arrives.
func (s Server) markedDown(reason Reason, now hoist.Millis) Server {
	return s.with(func(r *record) {
		backoff := probeDelay << min(r.backoffSteps, maxProbeDoublings)
		r.setStatus(StatusDown, reason, now)
		r.backoffSteps++
		r.probeAt = now + backoff
		r.processStart = now
	})
}

// restarted returns the state of a new process under the same name; attempts of the old process keep their slots
// until they end.
func (s Server) restarted(slots int32, now hoist.Millis) Server {
	return NewServer(s.record.instance, slots).with(func(r *record) {
		r.running = s.record.running
		r.runningPeaks[0] = int32(s.record.running.Len())
		r.maskBit = s.record.maskBit
		r.statusSince, r.processStart = now, now
	})
}

// find returns the index of the attempt, or -1.
func (s Server) find(a value.Attempt) int {
	running := s.record.running
	for i := range running.Len() {
		if running.At(i).ask.Attempt() == a {
			return i
		}
	}
	return -1
}
