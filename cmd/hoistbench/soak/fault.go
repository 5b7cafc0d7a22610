package soak

import (
	"chicoryhoist.example/hoist/cmd/hoistbench/sim"
)

// fault is one kind of fault; the type names are part of the printed report.
//
//sumtype:decl
type fault interface{ isFault() }

type (
	// burst multiplies the demand of one class.
	burst struct{ class, factor int }
	// straggle multiplies the service times of a server.
	straggle struct{ server, factor int }
	// crash ends a server at once.
	crash struct{ server int }
	// poison repeatedly sends content that crashes servers.
	poison struct{ sends int }
	// mute suppresses or delays the load reports of all servers.
	mute struct{ delayed bool }
	// down makes the platform refuse every call; stale makes it serve the state that it had when the fault began.
	down  struct{}
	stale struct{}
	// pause suspends a router process, which handles its pending events when it resumes.
	pause struct{ router int }
	// partition blocks messages from one data centre to another, in one direction or both.
	partition struct {
		from, to int
		both     bool
	}
	// kill ends a router process without a drain and starts a new one.
	kill struct{ router int }
	// stopRouter and stopServer are planned stops, each followed by a replacement.
	stopRouter struct{ router int }
	stopServer struct{ server int }
	// stray makes a server send mismatched frames, which belong to other requests.
	stray struct{ server int }
	// publish publishes a configuration; conflicting adds a second content of the same generation.
	publish struct{ conflicting bool }
)

func (burst) isFault()      {}
func (straggle) isFault()   {}
func (crash) isFault()      {}
func (poison) isFault()     {}
func (mute) isFault()       {}
func (down) isFault()       {}
func (stale) isFault()      {}
func (pause) isFault()      {}
func (partition) isFault()  {}
func (kill) isFault()       {}
func (stopRouter) isFault() {}
func (stopServer) isFault() {}
func (stray) isFault()      {}
func (publish) isFault()    {}

const (
	// faultChoices is the number of equally likely choices of drawFault.
	faultChoices = 14
	// meanFaultInterval is the mean time between the starts of two faults, short enough for several to overlap.
	meanFaultInterval = 2 * sim.Second
	// faultsPerCycle is the number of faults before a quiet period, in which the invariants of planned stops are checked.
	faultsPerCycle = 8
	quietPeriod    = 25 * sim.Second
	// minFaultDuration and faultDurationRange bound the duration of a fault.
	minFaultDuration   = sim.Second
	faultDurationRange = 9 * sim.Second
)

// drawFault chooses the next fault.
func (w *world) drawFault() fault {
	r := w.random
	server, router := r.IntN(len(w.servers)), r.IntN(len(w.processes))
	switch r.IntN(faultChoices) {
	case 0:
		return burst{r.IntN(len(classes)), 4 + r.IntN(8)}
	case 1:
		return straggle{server, 4 + r.IntN(8)}
	case 2:
		return crash{server}
	case 3:
		return poison{20}
	case 4:
		return mute{r.IntN(2) == 0}
	case 5:
		return down{}
	case 6:
		return stale{}
	case 7:
		return pause{router}
	case 8, 9:
		n := w.site.Datacentres
		from := r.IntN(n)
		return partition{from, (from + 1 + r.IntN(n-1)) % n, r.IntN(2) == 0}
	case 10:
		return kill{router}
	case 11:
		return stray{server}
	case 12:
		return publish{conflicting: r.IntN(4) == 0}
	default:
		return w.drawPlannedStop()
	}
}

// drawPlannedStop chooses a planned stop.
func (w *world) drawPlannedStop() fault {
	if w.random.IntN(2) == 0 {
		return stopRouter{w.random.IntN(len(w.processes))}
	}
	return stopServer{w.random.IntN(len(w.servers))}
}

// beginNextFault begins a fault and schedules the next one. In a quiet period only planned stops and publications happen.
func (w *world) beginNextFault() {
	w.faultsBegun++
	delay := sim.Micros(w.random.ExpFloat64() * float64(meanFaultInterval))
	switch w.faultsBegun % faultsPerCycle {
	case 0:
		delay = quietPeriod
	case 1:
		w.inject(w.drawPlannedStop())
		w.inject(publish{})
		w.events.After(quietPeriod/2, faultDue{})
		return
	}
	w.inject(w.drawFault())
	w.events.After(delay, faultDue{})
}

// inject activates a fault and schedules its end.
func (w *world) inject(f fault) {
	duration := minFaultDuration + sim.Micros(w.random.Int64N(int64(faultDurationRange)))
	w.countFault(f)
	switch x := f.(type) {
	case burst:
		w.demandFactors[x.class] = x.factor
		w.activateFault(duration, func(w *world) { w.demandFactors[x.class] = 1 })
	case straggle:
		w.servers[x.server].setSlowdown(x.factor)
		w.activateFault(duration, func(w *world) { w.servers[x.server].setSlowdown(1) })
	case crash:
		w.crashServer(w.servers[x.server], duration)
	case poison:
		w.sendCrashContent(x.sends)
	case mute:
		w.reportsMuted, w.reportLag = !x.delayed, 5*sim.Second
		w.activateFault(duration, func(w *world) { w.reportsMuted, w.reportLag = false, defaultReportLag })
	case down:
		w.platformDown++
		w.activateFault(duration, func(w *world) { w.platformDown-- })
	case stale:
		w.staleState = w.published
		w.activateFault(duration, func(w *world) { w.staleState = nil })
	case pause:
		p := w.processes[x.router]
		p.pausedUntil = max(p.pausedUntil, w.events.Now()+duration)
		w.lastPauseEnd = max(w.lastPauseEnd, p.pausedUntil)
		w.markViewsSplit(duration)
	case partition:
		w.adjustBlockedLinks(x, 1)
		w.markViewsSplit(duration)
		w.activateFault(duration, func(w *world) { w.adjustBlockedLinks(x, -1) })
	case kill:
		w.killProcess(w.processes[x.router], duration)
	case stopRouter:
		w.markViewsSplit(duration)
		w.processes[x.router].drain()
	case stopServer:
		w.beginLeaving(w.servers[x.server])
	case stray:
		w.servers[x.server].pendingMismatched += 3
	case publish:
		w.publish(x.conflicting)
	}
}

// markViewsSplit marks a period in which routers may have different views of shard owners and quarantined content.
func (w *world) markViewsSplit(duration sim.Micros) {
	w.viewSplits++
	for _, x := range w.crashContents {
		x.viewsSplit = x.viewsSplit || x.remainingSends > 0
	}
	w.events.After(duration+2*suspectTimeout, delayedAction{func(w *world) { w.viewSplits-- }})
	w.activateFault(duration, func(*world) {})
}

// activateFault starts a period in which failures are allowed; at its end it undoes the fault.
func (w *world) activateFault(duration sim.Micros, undo func(*world)) {
	w.activeFaults++
	w.events.After(duration, delayedAction{func(w *world) {
		undo(w)
		w.activeFaults--
		w.lastFaultEnd = w.events.Now()
	}})
}

// adjustBlockedLinks changes the number of active partitions between two data centres.
func (w *world) adjustBlockedLinks(x partition, change int) {
	w.blockedLinks[x.from][x.to] += change
	if x.both {
		w.blockedLinks[x.to][x.from] += change
	}
}
