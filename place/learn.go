package place

import (
	"maps"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// trialDelay is the wait after a slow sample before a server on probation is tried again; it doubles up to 2 s.
	trialDelay     = hoist.Second / 4
	trialDoublings = 3
	// departureDoubt is the time after which an idle server that left by announcement alone, and still measures its load, may be tried again.
	departureDoubt = hoist.Minute
)

// RecordProgress records the tokens of an attempt and learns from its times; late and repeated reports are ignored.
func (t Table) RecordProgress(p value.Progress, now hoist.Millis) Table {
	i, j := t.locate(p.Attempt())
	if i < 0 {
		return t
	}
	t = t.at(now)
	s := t.servers.At(i)
	r := s.record.running.At(j)
	if p.Tokens() <= r.tokens {
		return t.sweep()
	}
	s = s.WithRunning(s.record.running.With(j, r.WithTokens(p.Tokens())))
	if s.record.failures > 0 {
		s = s.with(func(r *record) { r.failures = 0 })
	}
	if first := float64(p.FirstTokenMs()); r.tokens == 0 && first > 0 {
		x := first / t.prefill.with(r.prefill(), first).expected(r.prefill())
		t.prefill = t.prefill.with(r.prefill(), first)
		s = s.sampled(measureFirst, x, t.norms, t.clock)
		t = t.carry(s, r.ask.Model())
	}
	if inter := float64(p.InterTokenMs()); inter > 0 {
		s = s.sampled(measureInter, inter, t.norms, t.clock)
	}
	return t.put(i, s).sweep()
}

// sampled returns the server after one sample of a measure; enough good ones in a row end a probation.
func (s Server) sampled(m measure, x float64, norms [measures]float64, now hoist.Millis) Server {
	return s.with(func(r *record) {
		r.times[m] = r.times[m].with(x)
		if r.status != StatusProbation {
			return
		}
		switch q := ratio(x, norms[m]); {
		case q >= ejectRatio:
			r.relapse(now)
		case q <= proofRatio && (m == r.cause || r.reason == ReasonRecovering):
			r.prove(norms, now)
		}
	})
}

// prove counts one good sample of a server on probation.
func (r *record) prove(norms [measures]float64, now hoist.Millis) {
	r.proof++
	r.due = now
	if r.proof < proofSamples {
		return
	}
	r.enter(StatusReady, ReasonNone, now)
	for m, a := range r.times {
		// The fast average still remembers the slow time and would eject the server again.
		if norms[m] > 0 {
			r.times[m] = average{fast: norms[m], slow: a.slow}
		}
	}
}

// relapse restarts the proof after a slow or failed attempt on probation.
func (r *record) relapse(now hoist.Millis) {
	r.proof = 0
	r.due = now + trialDelay<<min(r.retries, trialDoublings)
	r.retries++
}

// End removes an attempt and learns from the way it ended.
//
// An attempt that was granted before the last failure or return of the server says nothing new:
// all attempts of one crash report it.
func (t Table) End(e value.End, now hoist.Millis) Table {
	i, j := t.locate(e.Attempt())
	if i < 0 {
		return t
	}
	t = t.at(now)
	r := t.servers.At(i).record.running.At(j)
	t = t.remove(e.Attempt())
	s := t.servers.At(i)
	if r.started <= s.record.floor {
		return t.sweep()
	}
	if x := t.prefill.lateness(r, t.clock); e.Kind() != value.EndKindFinished && x > max(1, s.record.times[measureFirst].fast) {
		// The first token of a cancelled or broken attempt would have taken longer still.
		s = s.sampled(measureFirst, x, t.norms, t.clock)
	}
	if e.Kind() == value.EndKindCrashed {
		t = t.forget(1 << s.record.bit)
	}
	return t.put(i, s.ended(e, t.norms, t.clock)).sweep()
}

// ended returns the server after an attempt of its current process has ended.
func (s Server) ended(e value.End, norms [measures]float64, now hoist.Millis) Server {
	if st := s.record.status; st == StatusLeaving || st == StatusDown {
		return s
	}
	switch e.Kind() {
	case value.EndKindLeaving:
		return s.leaving(sourceRefused, ReasonServerRefused, now)
	case value.EndKindCrashed:
		return s.down(ReasonCrashed, now)
	case value.EndKindUnreachable:
		return s.down(ReasonFailing, now)
	case value.EndKindFailed:
		return s.failed(now)
	case value.EndKindRefused:
		return s.full(now)
	case value.EndKindFinished:
		return s.finished(e, norms, now)
	case value.EndKindUnspecified, value.EndKindCancelled, value.EndKindPreempted, value.EndKindRejected:
		return s
	}
	return s
}

// failed returns the server after an attempt broke without a crash; a probe that breaks is enough.
func (s Server) failed(now hoist.Millis) Server {
	probe := s.record.reason == ReasonRecovering && s.record.proof == 0
	if probe || s.record.failures+1 >= failureStreak {
		return s.down(ReasonFailing, now)
	}
	return s.with(func(r *record) {
		r.failures++
		if r.status == StatusProbation {
			r.relapse(now)
		}
	})
}

// full returns the server after it refused an attempt for want of a slot: others use it too, so the limit falls to what it does run.
func (s Server) full(now hoist.Millis) Server {
	return s.with(func(r *record) {
		r.limit = max(1, min(r.limit, int32(r.running.Len())))
		r.limited = now
	})
}

// finished returns the server after a whole answer; for an answer without tokens, as of a plain service, this is the proof of health.
func (s Server) finished(e value.End, norms [measures]float64, now hoist.Millis) Server {
	return s.with(func(r *record) {
		r.failures = 0
		if r.status == StatusProbation && r.reason == ReasonRecovering && e.Tokens() == 0 {
			r.prove(norms, now)
		}
	})
}

// RecordLoad records an engine's own load report.
//
// The report is held against the largest number of attempts of the last seconds, because it may
// be that old; only what exceeds it is work of others. It expires, and its loss changes nothing
// but that. A report measured after a failure brings the server back on probation.
func (t Table) RecordLoad(server string, l value.Load, now hoist.Millis) Table {
	i := t.index(server)
	if i < 0 {
		return t
	}
	t = t.at(now)
	s := t.servers.At(i)
	measured := hoist.Millis(l.MeasuredMs())
	if measured <= s.record.measured {
		return t.sweep()
	}
	s = s.with(func(r *record) {
		own := max(r.peaks[0], r.peaks[1], int32(r.running.Len()))
		r.extra = max(0, l.Running()+l.Waiting()-own)
		r.engine = l.Slots()
		r.reported, r.measured = t.clock, measured
	})
	switch s.record.status {
	case StatusDown, StatusProbation:
		if measured > s.record.floor && s.record.status == StatusDown {
			s = s.entered(StatusProbation, ReasonRecovering, t.clock)
		}
		if measured > s.record.floor && s.record.reason == ReasonRecovering {
			s = s.with(func(r *record) { r.proof = max(r.proof, 1) })
		}
	case StatusLeaving:
		// A server may restart within the lag of the list, which then never shows it leaving.
		// One that has been idle for long and still answers is worth one probe.
		listed := s.record.left&(sourceListed|sourceAbsent) != 0
		idle := l.Running()+l.Waiting() == 0 && s.record.running.Len() == 0
		if !listed && idle && measured > s.record.since+departureDoubt {
			s = s.reset(s.record.slots, t.clock).entered(StatusDown, s.record.reason, t.clock)
		}
	case StatusReady:
	}
	return t.put(i, s).sweep()
}

// RecordEngineState records what an engine says it has loaded.
func (t Table) RecordEngineState(server string, e value.EngineState) Table {
	s, ok := t.Server(server)
	if !ok || s.record.bit >= prefixBits {
		return t
	}
	bit := uint64(1) << s.record.bit
	carriers := make(map[string]uint64, len(t.carriers))
	for name, servers := range t.carriers {
		carriers[name] = servers &^ bit
	}
	for l := range e.Loaded().All() {
		carriers[l.Name()] |= bit
	}
	t.carriers = carriers
	t.described |= bit
	return t
}

// carry records that a server answered for the model or adapter.
func (t Table) carry(s Server, model string) Table {
	bit := uint64(1) << s.record.bit
	if bit == 0 || model == "" || t.carriers[model]&bit != 0 {
		return t
	}
	carriers := maps.Clone(t.carriers)
	if carriers == nil {
		carriers = map[string]uint64{}
	}
	carriers[model] |= bit
	t.carriers = carriers
	return t
}

// RecordCacheEvents records the cache events of an engine.
//
// Events come late and with gaps, so they are hints: a lost eviction costs the processing of one
// prompt. Numbers that start again mean that the engine has restarted with an empty cache.
func (t Table) RecordCacheEvents(server string, e value.CacheEvents) Table {
	i := t.index(server)
	if i < 0 {
		return t
	}
	s := t.servers.At(i)
	bit := s.record.bit
	if e.Next() < s.record.seq {
		t.prefixes = t.prefixes.forget(1 << bit)
	}
	for c := range e.Events().All() {
		if c.Seq() < s.record.seq && e.Next() >= s.record.seq {
			continue
		}
		if c.Kind() == "stored" {
			t.prefixes = t.prefixes.stored(bit, c.Hash())
		} else {
			t.prefixes = t.prefixes.evicted(bit, c.Hash())
		}
	}
	return t.put(i, s.with(func(r *record) { r.seq = e.Next() }))
}
