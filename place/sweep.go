package place

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// sweepInterval bounds both the delay before a straggler is ejected and the cost of comparing all servers.
const sweepInterval = hoist.Second / 20

const (
	// lowerLimitRatio is the inter-token ratio above which the concurrency limit is lowered.
	lowerLimitRatio = 1.5
	// raiseLimitRatio is the inter-token ratio up to which the concurrency limit is raised.
	raiseLimitRatio = 1.2
)

// Tick advances the clock without another event: load reports expire, limits rise and attempts become overdue.
func (t Table) Tick(now hoist.Millis) Table { return t.advancedTo(now).sweep() }

// sweep compares all servers with one another, at most once per sweepInterval.
func (t Table) sweep() Table {
	if t.clock < t.lastSweep+sweepInterval {
		return t
	}
	t.lastSweep = t.clock
	t.norms = t.medians()
	servers := collect(t.servers)
	overdueRatio := t.prefill.overdueRatio()
	for i, s := range servers {
		servers[i] = t.updated(s, overdueRatio)
	}
	t.servers = value.ListOf(servers...)
	return t.eject()
}

// medians returns the norm of each metric over the ready servers.
func (t Table) medians() [metricCount]float64 {
	var norms [metricCount]float64
	var averages [metricCount][]float64
	for s := range t.servers.All() {
		if s.record.status != StatusReady {
			continue
		}
		for m, avg := range s.record.latency {
			if avg.significant() {
				averages[m] = append(averages[m], avg.fast)
			}
		}
	}
	for m := range norms {
		if len(averages[m]) > 1 {
			norms[m] = median(averages[m])
		}
	}
	return norms
}

// updated returns the server as of the table's clock. An attempt with a higher lateness than overdueRatio is overdue.
func (t Table) updated(s Server, overdueRatio float64) Server {
	return s.with(func(r *record) {
		r.overdue = 0
		for ra := range r.running.All() {
			if ra.started > r.processStart && t.prefill.lateness(ra, t.clock) > overdueRatio {
				r.overdue++
			}
		}
		if t.clock-r.peaksRotated >= peakWindow {
			r.runningPeaks[1], r.runningPeaks[0] = r.runningPeaks[0], int32(r.running.Len())
			r.peaksRotated = t.clock
		}
		if t.clock-r.reportedAt >= reportTTL {
			r.otherRunning, r.engineSlots = 0, 0
		}
		if r.status == StatusDown && t.clock >= r.probeAt {
			r.setStatus(StatusProbation, ReasonRecovering, t.clock)
		}
		if r.status == StatusReady {
			r.adaptLimit(t.norms, t.clock)
		}
	})
}

// adaptLimit moves the concurrency limit by one step: down while the server is loaded and slower than its peers, up
// otherwise.
func (r *record) adaptLimit(norms [metricCount]float64, now hoist.Millis) {
	slowdown := 1.0
	if avg := r.latency[metricInterToken]; avg.significant() {
		slowdown = ratio(avg.fast, norms[metricInterToken])
	}
	loaded := 2*int32(r.running.Len()) >= r.limit
	switch {
	case slowdown > lowerLimitRatio && loaded && now-r.limitChanged >= limitDecreaseInterval:
		r.limit = max(1, r.slots/4, r.limit*4/5)
		r.limitChanged = now
	case slowdown <= raiseLimitRatio && r.limit < r.slots && now-r.limitChanged >= limitIncreaseInterval:
		r.limit++
		r.limitChanged = now
	}
}

// eject puts the worst stragglers on probation, within the share of servers that may be ejected.
func (t Table) eject() Table {
	budget := t.ejectionBudget()
	overloaded := t.mostlyOverdue()
	for ; budget > 0; budget-- {
		worst, cause, factor := -1, metricFirstToken, ejectRatio
		for i := range t.servers.Len() {
			if m, slowdown := t.slowness(t.servers.At(i), overloaded); slowdown >= factor {
				worst, cause, factor = i, m, slowdown
			}
		}
		if worst < 0 {
			return t
		}
		s := t.servers.At(worst).withTransition(StatusProbation, cause.reason(), t.clock)
		t = t.withServer(worst, s.with(func(r *record) {
			r.ejectCause = cause
			r.probeAt = t.clock + reprobeDelay
		}))
	}
	return t
}

// ejectionBudget returns how many more servers may be ejected.
func (t Table) ejectionBudget() int {
	members, ejected := 0, 0
	for s := range t.servers.All() {
		switch s.record.status {
		case StatusProbation, StatusDown:
			ejected++
			members++
		case StatusReady:
			members++
		case StatusLeaving:
		}
	}
	return t.rules.maxEjected(members) - ejected
}

// mostlyOverdue reports whether more than half of the ready servers have overdue attempts. The shard is then
// overloaded, and no single server is slow.
func (t Table) mostlyOverdue() bool {
	ready, overdue := 0, 0
	for s := range t.servers.All() {
		if s.record.status == StatusReady {
			ready++
			if s.record.overdue > 0 {
				overdue++
			}
		}
	}
	return 2*overdue > ready
}

// slowness returns how many times slower than its peers a ready server is, and by which metric.
func (t Table) slowness(s Server, overloaded bool) (latencyMetric, float64) {
	r := s.record
	if r.status != StatusReady {
		return metricFirstToken, 0
	}
	cause, worst := metricFirstToken, 0.0
	for m, avg := range r.latency {
		if slowdown := ratio(avg.fast, t.norms[m]); avg.significant() && slowdown > worst {
			cause, worst = latencyMetric(m), slowdown
		}
	}
	// A stalled server gives no samples, and hedging cancels attempts before they give one.
	if r.overdue > 0 && !overloaded && worst < ejectRatio {
		return metricFirstToken, ejectRatio
	}
	return cause, worst
}
