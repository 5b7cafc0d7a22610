package place

import (
	"math"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// probeDelay is the first wait before a server that went down goes on probation again; it doubles with each failure.
	probeDelay = hoist.Second
	// probeDoublings caps the wait at 8 s, short against the minutes that a cold start takes.
	probeDoublings = 3
	// failureStreak is the number of attempts that fail in a row without a token before the server counts as down.
	failureStreak = 3
	// reportLife is the time that a load report keeps lowering the free slots; reports come each second.
	reportLife = 5 * hoist.Second
	// peakWindow is half of the time over which own attempts are held against a report, which may be 5 s late.
	peakWindow = 5 * hoist.Second
	// limitDown and limitUp space the steps of the concurrency limit, so that one slow batch makes one step.
	limitDown = hoist.Second / 2
	limitUp   = hoist.Second / 4
)

// sources is the set of sources that say a server is leaving.
type sources uint8

const (
	// sourceListed is the instance list showing the server as leaving.
	sourceListed sources = 1 << iota
	// sourceAbsent is the instance list no longer showing the server.
	sourceAbsent
	// sourceRefused is a refusal by the server itself.
	sourceRefused
	// sourceDeparted is the announcement of a peer.
	sourceDeparted
)

// Server is one backend server as its shard's owner knows it.
//
// It is a pointer to a record that is never modified, so that lists of servers are cheap to copy.
type Server struct {
	record *record
}

// record is the content of a Server.
type record struct {
	instance value.Instance
	status   Status
	reason   Reason
	since    hoist.Millis
	left     sources
	// floor is the start of the current process as far as known; attempts granted at or before it say nothing about it.
	floor hoist.Millis

	slots   int32
	limit   int32
	limited hoist.Millis
	running value.List[RunningAttempt]

	extra    int32
	engine   int32
	reported hoist.Millis
	measured hoist.Millis
	peaks    [2]int32
	rolled   hoist.Millis

	times    [measures]average
	cause    measure
	overdue  int32
	proof    int32
	failures int32
	retries  int32
	due      hoist.Millis
	reserved hoist.Millis

	bit uint8
	seq uint64
}

// NewServer returns a ready server with the slot count of its pool.
func NewServer(instance value.Instance, slots int32) Server {
	return Server{&record{instance: instance, slots: slots, limit: slots, bit: prefixBits, floor: math.MinInt64}}
}

// with returns a copy after the change.
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
func (s Server) StatusSince() hoist.Millis { return s.record.since }

// Slots returns the number of requests that the server runs at once.
func (s Server) Slots() int32 { return s.record.slots }

// ConcurrencyLimit returns the number of attempts that the server may run at once now; it is at most Slots.
func (s Server) ConcurrencyLimit() int32 { return s.record.limit }

// LastReport returns the time of the last load report, or zero.
func (s Server) LastReport() hoist.Millis { return s.record.reported }

// Running returns the attempts in progress.
func (s Server) Running() value.List[RunningAttempt] { return s.record.running }

// Fingerprints returns the content of the attempts in progress, which a crash of the server is charged to.
func (s Server) Fingerprints() value.List[uint64] {
	fingerprints := make([]uint64, 0, s.record.running.Len())
	for r := range s.record.running.All() {
		fingerprints = append(fingerprints, r.ask.Fingerprint())
	}
	return value.ListOf(fingerprints...)
}

// FirstTokenRatio returns the fast average of the first-token time relative to what the shard expects for the prompt, and the number of samples.
func (s Server) FirstTokenRatio() (float64, int32) {
	a := s.record.times[measureFirst]
	return a.fast, a.samples
}

// InterTokenMs returns the fast average of the time between tokens in milliseconds, and the number of samples.
func (s Server) InterTokenMs() (float64, int32) {
	a := s.record.times[measureInter]
	return a.fast, a.samples
}

// FreeSlots returns the slots that are not in use and that the status lets new work have; it is never negative.
func (s Server) FreeSlots() int32 {
	r := s.record
	switch r.status {
	case StatusReady:
		return max(0, s.usable()-int32(r.running.Len())-r.extra)
	case StatusProbation:
		if s.trial() || s.usable() <= int32(r.running.Len())+r.extra {
			return 0
		}
		return 1
	case StatusLeaving, StatusDown:
		return 0
	}
	return 0
}

// usable returns the limit after the engine's own slot count.
func (s Server) usable() int32 {
	if s.record.engine > 0 {
		return min(s.record.limit, s.record.engine)
	}
	return s.record.limit
}

// trial reports whether an attempt that was granted since the last change of status still waits for its first token.
func (s Server) trial() bool {
	for r := range s.record.running.All() {
		if r.tokens == 0 && r.started >= s.record.since {
			return true
		}
	}
	return false
}

// exclusive reports whether an attempt runs that must have the server for itself.
func (s Server) exclusive() bool {
	for r := range s.record.running.All() {
		if r.alone {
			return true
		}
	}
	return false
}

// long returns the number of attempts that have attained the tokens of long work.
func (s Server) long(after int32) int32 {
	n := int32(0)
	for r := range s.record.running.All() {
		if r.AttainedTokens() >= after {
			n++
		}
	}
	return n
}

// WithInstance returns a copy with the instance replaced.
func (s Server) WithInstance(i value.Instance) Server {
	return s.with(func(r *record) { r.instance = i })
}

// WithStatus returns a copy with the status replaced.
func (s Server) WithStatus(st Status) Server {
	return s.with(func(r *record) { r.status = st })
}

// WithRunning returns a copy with the attempts in progress replaced.
func (s Server) WithRunning(l value.List[RunningAttempt]) Server {
	return s.with(func(r *record) {
		r.running = l
		r.peaks[0] = max(r.peaks[0], int32(l.Len()))
	})
}

// withSlots returns a copy with the slot count of the pool replaced; a lowered limit stays lowered.
func (s Server) withSlots(n int32) Server {
	if n == s.record.slots {
		return s
	}
	return s.with(func(r *record) {
		if r.limit == r.slots {
			r.limit = n
		}
		r.limit = min(r.limit, n)
		r.slots = n
	})
}

// entered returns a copy in the status since now.
func (s Server) entered(st Status, why Reason, now hoist.Millis) Server {
	return s.with(func(r *record) { r.enter(st, why, now) })
}

// enter changes the status; the limit after a probation starts at half, because a full batch would hide a relapse.
func (r *record) enter(st Status, why Reason, now hoist.Millis) {
	if st == StatusReady {
		r.limit = max(1, r.slots/2)
		r.limited = now
		r.retries = 0
	}
	r.status, r.reason, r.since = st, why, now
	r.proof, r.overdue, r.failures = 0, 0, 0
	r.due = now
}

// leaving returns a copy that takes no new work because the source says that the server is leaving.
func (s Server) leaving(from sources, why Reason, now hoist.Millis) Server {
	return s.with(func(r *record) {
		if r.status != StatusLeaving {
			r.enter(StatusLeaving, why, now)
		}
		r.left |= from
	})
}

// down returns a copy that takes no work until the wait is over or a newer load report arrives.
func (s Server) down(why Reason, now hoist.Millis) Server {
	return s.with(func(r *record) {
		wait := probeDelay << min(r.retries, probeDoublings)
		r.enter(StatusDown, why, now)
		r.retries++
		r.due = now + wait
		r.floor = now
	})
}

// reset returns the state of a new process under the name; attempts of the old one keep their slots until they end.
func (s Server) reset(slots int32, now hoist.Millis) Server {
	return NewServer(s.record.instance, slots).with(func(r *record) {
		r.running = s.record.running
		r.peaks[0] = int32(s.record.running.Len())
		r.bit = s.record.bit
		r.since, r.floor = now, now
	})
}

// find returns the index of the attempt, or -1.
func (s Server) find(a value.Attempt) int {
	l := s.record.running
	for i := range l.Len() {
		if l.At(i).ask.Attempt() == a {
			return i
		}
	}
	return -1
}
