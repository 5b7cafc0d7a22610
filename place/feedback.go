package place

import (
	"maps"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// reprobeDelay is the backoff after a slow sample of a server on probation; it doubles up to 2 s.
	reprobeDelay        = hoist.Second / 4
	maxReprobeDoublings = 3
	// departureRecheck is the time after which an idle server may be probed again if only its own refusal or a peer
	// shows it as leaving and it still measures its load.
	departureRecheck = hoist.Minute
)

// RecordProgress records the tokens of an attempt and updates the latency estimates; late and repeated reports are
// ignored.
func (t Table) RecordProgress(p value.Progress, now hoist.Millis) Table {
	i, j := t.locate(p.Attempt())
	if i < 0 {
		return t
	}
	t = t.advancedTo(now)
	s := t.servers.At(i)
	r := s.record.running.At(j)
	if p.Tokens() <= r.tokens {
		return t.sweep()
	}
	s = s.WithRunning(s.record.running.With(j, r.WithTokens(p.Tokens())))
	if s.record.consecutiveFailures > 0 {
		s = s.with(func(r *record) { r.consecutiveFailures = 0 })
	}
	if first := float64(p.FirstTokenMs()); r.tokens == 0 && first > 0 {
		ratio := first / t.prefill.with(r.uncachedTokens(), first).expected(r.uncachedTokens())
		t.prefill = t.prefill.with(r.uncachedTokens(), first)
		s = s.withSample(metricFirstToken, ratio, t.norms, t.clock)
		t = t.recordServed(s, r.ask.Model())
	}
	if inter := float64(p.InterTokenMs()); inter > 0 {
		s = s.withSample(metricInterToken, inter, t.norms, t.clock)
	}
	return t.withServer(i, s).sweep()
}

// withSample returns the server updated by one sample of a metric; enough good samples end a probation.
func (s Server) withSample(m latencyMetric, sample float64, norms [metricCount]float64, now hoist.Millis) Server {
	return s.with(func(r *record) {
		r.latency[m] = r.latency[m].with(sample)
		if r.status != StatusProbation {
			return
		}
		switch slowdown := ratio(sample, norms[m]); {
		case slowdown >= ejectRatio:
			r.recordBadSample(now)
		case slowdown <= recoveryRatio && (m == r.ejectCause || r.reason == ReasonRecovering):
			r.recordGoodSample(norms, now)
		}
	})
}

// recordGoodSample counts a good sample of a server on probation.
func (r *record) recordGoodSample(norms [metricCount]float64, now hoist.Millis) {
	r.goodSamples++
	r.probeAt = now
	if r.goodSamples < recoverySamples {
		return
	}
	r.setStatus(StatusReady, ReasonNone, now)
	for m, avg := range r.latency {
		// The fast average still includes the slow samples and would eject the server again.
		if norms[m] > 0 {
			r.latency[m] = average{fast: norms[m], slow: avg.slow}
		}
	}
}

// recordBadSample restarts the count of good samples after a slow or failed attempt on probation.
func (r *record) recordBadSample(now hoist.Millis) {
	r.goodSamples = 0
	r.probeAt = now + reprobeDelay<<min(r.backoffSteps, maxReprobeDoublings)
	r.backoffSteps++
}

// End removes an attempt and updates the server's health by the way it ended.
//
// An attempt that was granted before the last failure or restart of the server gives no new information, because all
// attempts of one crash report it.
func (t Table) End(e value.End, now hoist.Millis) Table {
	i, j := t.locate(e.Attempt())
	if i < 0 {
		return t
	}
	t = t.advancedTo(now)
	r := t.servers.At(i).record.running.At(j)
	t = t.remove(e.Attempt())
	s := t.servers.At(i)
	if r.started <= s.record.processStart {
		return t.sweep()
	}
	if lateness := t.prefill.lateness(r, t.clock); e.Kind() != value.EndKindFinished && lateness > max(1, s.record.latency[metricFirstToken].fast) {
		// The first token of a cancelled or broken attempt would have taken even longer.
		s = s.withSample(metricFirstToken, lateness, t.norms, t.clock)
	}
	if e.Kind() == value.EndKindCrashed {
		t = t.withoutCaches(1 << s.record.maskBit)
	}
	return t.withServer(i, s.afterEnd(e, t.norms, t.clock)).sweep()
}

// afterEnd returns the server after an attempt of its current process has ended.
func (s Server) afterEnd(e value.End, norms [metricCount]float64, now hoist.Millis) Server {
	if status := s.record.status; status == StatusLeaving || status == StatusDown {
		return s
	}
	switch e.Kind() {
	case value.EndKindLeaving:
		return s.markedLeaving(sourceRefused, ReasonServerRefused, now)
	case value.EndKindCrashed:
		return s.markedDown(ReasonCrashed, now)
	case value.EndKindUnreachable:
		return s.markedDown(ReasonFailing, now)
	case value.EndKindFailed:
		return s.afterFailure(now)
	case value.EndKindRefused:
		return s.afterRefusal(now)
	case value.EndKindFinished:
		return s.afterFinish(e, norms, now)
	case value.EndKindUnspecified, value.EndKindCancelled, value.EndKindPreempted, value.EndKindRejected:
		return s
	}
	return s
}

// afterFailure returns the server after an attempt failed without a crash; a single failed probe marks it down.
func (s Server) afterFailure(now hoist.Millis) Server {
	probe := s.record.reason == ReasonRecovering && s.record.goodSamples == 0
	if probe || s.record.consecutiveFailures+1 >= maxConsecutiveFailures {
		return s.markedDown(ReasonFailing, now)
	}
	return s.with(func(r *record) {
		r.consecutiveFailures++
		if r.status == StatusProbation {
			r.recordBadSample(now)
		}
	})
}

// afterRefusal returns the server after it refused an attempt because it had no free slot. Others use the server too,
// so the limit is lowered to the attempts that it runs.
func (s Server) afterRefusal(now hoist.Millis) Server {
	return s.with(func(r *record) {
		r.limit = max(1, min(r.limit, int32(r.running.Len())))
		r.limitChanged = now
	})
}

// afterFinish returns the server after a complete response. A response without tokens, such as that of a plain
// service, counts as a good sample.
func (s Server) afterFinish(e value.End, norms [metricCount]float64, now hoist.Millis) Server {
	return s.with(func(r *record) {
		r.consecutiveFailures = 0
		if r.status == StatusProbation && r.reason == ReasonRecovering && e.Tokens() == 0 {
			r.recordGoodSample(norms, now)
		}
	})
}

// RecordLoad records an engine's own load report.
//
// The report may be some seconds old, so it is compared with the peak of own attempts in that time; only the
// excess is work of others. A report expires, and losing one has no other effect. A report that was measured after a
// failure puts the server on probation.
func (t Table) RecordLoad(server string, l value.Load, now hoist.Millis) Table {
	i := t.serverIndex(server)
	if i < 0 {
		return t
	}
	t = t.advancedTo(now)
	s := t.servers.At(i)
	measured := hoist.Millis(l.MeasuredMs())
	if measured <= s.record.measuredAt {
		return t.sweep()
	}
	s = s.with(func(r *record) {
		ownPeak := max(r.runningPeaks[0], r.runningPeaks[1], int32(r.running.Len()))
		r.otherRunning = max(0, l.Running()+l.Waiting()-ownPeak)
		r.engineSlots = l.Slots()
		r.reportedAt, r.measuredAt = t.clock, measured
	})
	switch s.record.status {
	case StatusDown, StatusProbation:
		if measured > s.record.processStart && s.record.status == StatusDown {
			s = s.withTransition(StatusProbation, ReasonRecovering, t.clock)
		}
		if measured > s.record.processStart && s.record.reason == ReasonRecovering {
			s = s.with(func(r *record) { r.goodSamples = max(r.goodSamples, 1) })
		}
	case StatusLeaving:
		// A server may restart before the instance list shows it as leaving, and the list then never does.
		// A server that has been idle for long and still responds is worth a probe.
		listed := s.record.leaveSources&(sourceListed|sourceAbsent) != 0
		idle := l.Running()+l.Waiting() == 0 && s.record.running.Len() == 0
		if !listed && idle && measured > s.record.statusSince+departureRecheck {
			s = s.restarted(s.record.slots, t.clock).withTransition(StatusDown, s.record.reason, t.clock)
		}
	case StatusReady:
	}
	return t.withServer(i, s).sweep()
}

// RecordEngineState records which models and adapters an engine has loaded.
func (t Table) RecordEngineState(server string, e value.EngineState) Table {
	s, ok := t.Server(server)
	if !ok || s.record.maskBit >= prefixBits {
		return t
	}
	bit := uint64(1) << s.record.maskBit
	loadedOn := make(map[string]uint64, len(t.loadedOn))
	for name, servers := range t.loadedOn {
		loadedOn[name] = servers &^ bit
	}
	for l := range e.Loaded().All() {
		loadedOn[l.Name()] |= bit
	}
	t.loadedOn = loadedOn
	t.reportedMask |= bit
	return t
}

// recordServed records that a server has responded with the model or adapter.
func (t Table) recordServed(s Server, model string) Table {
	bit := uint64(1) << s.record.maskBit
	if bit == 0 || model == "" || t.loadedOn[model]&bit != 0 {
		return t
	}
	loadedOn := maps.Clone(t.loadedOn)
	if loadedOn == nil {
		loadedOn = map[string]uint64{}
	}
	loadedOn[model] |= bit
	t.loadedOn = loadedOn
	return t
}

// RecordCacheEvents records the cache events of an engine.
//
// Events arrive late and with gaps, so they are hints: a lost eviction costs processing one prompt.
// Sequence numbers that start again mean that the engine has restarted with an empty cache.
func (t Table) RecordCacheEvents(server string, e value.CacheEvents) Table {
	i := t.serverIndex(server)
	if i < 0 {
		return t
	}
	s := t.servers.At(i)
	bit := s.record.maskBit
	if e.Next() < s.record.nextCacheSeq {
		t.prefixes = t.prefixes.withoutServers(1 << bit)
	}
	for c := range e.Events().All() {
		if c.Seq() < s.record.nextCacheSeq && e.Next() >= s.record.nextCacheSeq {
			continue
		}
		if c.Kind() == "stored" {
			t.prefixes = t.prefixes.withStored(bit, c.Hash())
		} else {
			t.prefixes = t.prefixes.withEvicted(bit, c.Hash())
		}
	}
	return t.withServer(i, s.with(func(r *record) { r.nextCacheSeq = e.Next() }))
}
