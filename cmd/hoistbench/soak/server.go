package soak

import (
	"fmt"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/hoistbench/sim"
	"chicoryhoist.example/hoist/cmd/standin/llmsrv"
	"chicoryhoist.example/hoist/value"
)

const (
	// reportInterval is the time between two load reports, and defaultReportLag their age without a fault.
	reportInterval   = sim.Second
	defaultReportLag = sim.Second
	// stallTimeout is the time after which a router abandons a silent connection.
	stallTimeout = 2 * sim.Second
	// connectTimeout is the time after which a router abandons a connection attempt.
	connectTimeout = sim.Second
	// crashDowntime is the time until a server restarts after content has crashed it.
	crashDowntime = 5 * sim.Second
	// restartDelay is the time until a router or server that stopped as planned is replaced.
	restartDelay = 5 * sim.Second
)

// attempt is one attempt that is in transit to a server or running there.
type attempt struct {
	id           value.Attempt
	job          *job
	router       int
	server       int
	priority     int32
	resumeTokens int32
	// abandoned is set when the connection of the attempt has failed or ended.
	abandoned bool
	// firstTokenTime is the time from sending to the first token; frames and reportedFrames count tokens for progress reports.
	sentAt, firstTokenTime, reportedAt sim.Micros
	frames, reportedFrames             int32
}

// serverKey returns the key of the attempt in the batch of its server.
func (a *attempt) serverKey() string {
	return fmt.Sprintf("%x-%x-%d", a.id.Incarnation(), a.id.Request(), a.id.Number())
}

// server is one backend server: a model engine, or a plain service whose response is a single frame.
type server struct {
	index             int
	instance          value.Instance
	epoch             int
	up                bool
	leaving           bool
	leavingAt         sim.Micros
	pendingMismatched int
	batch             llmsrv.Batch
	nextStep          hoist.Millis
	attempts          map[string]*attempt
}

// setSlowdown sets the factor by which service times are multiplied.
func (s *server) setSlowdown(factor int) { s.batch = s.batch.WithSlowdown(factor) }

// newBatch returns an empty batch for the kind of server.
func (s *server) newBatch() llmsrv.Batch {
	if s.instance.Pool() == servicePool {
		return llmsrv.NewBatch(serviceSlots, llmsrv.Speed{TokenMs: 40, PromptTokensPerMs: 8})
	}
	return llmsrv.NewBatch(engineSlots, llmsrv.Speed{TokenMs: 20, PromptTokensPerMs: 8})
}

// attemptKeys returns the keys of the attempts in progress, in ascending order.
func (s *server) attemptKeys() []string {
	keys := make([]string, 0, len(s.attempts))
	for key := range s.attempts {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// handleServerInput handles one input of a server.
func (w *world) handleServerInput(s *server, x serverInput) {
	switch x := x.(type) {
	case attemptOpened:
		w.openAttempt(s, x.attempt)
	case attemptCancelled:
		if _, ok := s.attempts[x.attempt.serverKey()]; ok {
			delete(s.attempts, x.attempt.serverKey())
			s.batch = s.batch.Cancel(x.attempt.serverKey(), w.events.Now().Millis())
			w.scheduleStep(s)
			w.replaceIfDrained(s)
		}
	case stepDue:
		w.runStep(s)
	case loadReportDue:
		w.events.After(reportInterval, serverEvent{s.index, s.epoch, loadReportDue{}})
		w.reportLoad(s)
	}
}

// reportLoad sends a load report to every reachable router.
func (w *world) reportLoad(s *server) {
	if w.reportsMuted {
		return
	}
	load := value.Load{}.WithRunning(int32(s.batch.Running().Len())).WithWaiting(int32(s.batch.Waiting().Len())).
		WithSlots(int32(s.batch.Slots())).WithMeasuredMs(int64(w.events.Now().Millis()))
	for _, p := range w.processes {
		if w.linkOpen(s.index, p.index) {
			w.post(p, w.reportLag, loadReported{s.instance.Name(), load})
		}
	}
}

// openAttempt accepts an attempt, or refuses it if the server is leaving.
func (w *world) openAttempt(s *server, a *attempt) {
	p := w.processes[a.router]
	if a.abandoned || w.blockedLinks[w.datacentreOf(a.router)][w.datacentreOf(s.index)] > 0 {
		w.postToIncarnation(p, a.id.Incarnation(), stallTimeout, connectionEnded{a.id, value.EndKindFailed})
		return
	}
	returnDelay := w.site.OneWayLatency(a.router, s.index)
	if s.leaving {
		w.checkDeparture(s)
		w.postToIncarnation(p, a.id.Incarnation(), returnDelay, connectionEnded{a.id, value.EndKindLeaving})
		return
	}
	a.job.runs++
	w.checkRun(a.job)
	s.attempts[a.serverKey()] = a
	s.batch = s.batch.Submit(
		llmsrv.NewJob(a.serverKey(), a.priority, 100+int(a.resumeTokens), int(a.resumeTokens), a.job.tokens),
		w.events.Now().Millis())
	w.scheduleStep(s)
}

// scheduleStep schedules the next decoding step.
func (w *world) scheduleStep(s *server) {
	now := w.events.Now()
	if wakeAt, ok := s.batch.NextTokenAt(); ok && (s.nextStep <= now.Millis() || wakeAt < s.nextStep) {
		s.nextStep = wakeAt
		w.events.After(sim.FromMillis(wakeAt)-now, serverEvent{s.index, s.epoch, stepDue{}})
	}
}

// runStep runs a decoding step and sends its tokens.
func (w *world) runStep(s *server) {
	now := w.events.Now().Millis()
	if wakeAt, ok := s.batch.NextTokenAt(); !ok || wakeAt > now {
		w.scheduleStep(s)
		return
	}
	batch, jobs := s.batch.Step(now)
	s.batch = batch
	for _, j := range jobs {
		a := s.attempts[j.ID()]
		if a.job.contentGroup > 0 {
			w.crashContents[a.job.contentGroup].crashes++
			w.crashServer(s, crashDowntime)
			return
		}
		last := j.NextPosition()+1 >= a.job.tokens
		w.sendFrame(s, a, int32(j.NextPosition()), last)
		if last {
			delete(s.attempts, j.ID())
		}
	}
	s.nextStep = 0
	w.scheduleStep(s)
	w.replaceIfDrained(s)
}

// sendFrame sends a frame, preceded by mismatched frames while that fault is active.
func (w *world) sendFrame(s *server, a *attempt, seq int32, last bool) {
	p := w.processes[a.router]
	delay := w.site.OneWayLatency(s.index, a.router)
	if w.blockedLinks[w.datacentreOf(s.index)][w.datacentreOf(a.router)] > 0 {
		if !a.abandoned {
			a.abandoned = true
			w.postToIncarnation(p, a.id.Incarnation(), stallTimeout, connectionEnded{a.id, value.EndKindFailed})
			w.events.After(stallTimeout, serverEvent{s.index, s.epoch, attemptCancelled{a}})
		}
		return
	}
	if s.pendingMismatched > 0 {
		w.sendMismatched(s, a, seq, delay)
	}
	w.postToIncarnation(p, a.id.Incarnation(), delay, frameReceived{a.id, a.id, seq, a.job})
	if last {
		w.postToIncarnation(p, a.id.Incarnation(), delay, connectionEnded{a.id, value.EndKindFinished})
	}
}

// sendMismatched sends two mismatched frames on the connection of an attempt: one names another request, the other an
// attempt of the same request that doesn't exist.
func (w *world) sendMismatched(s *server, a *attempt, seq int32, delay sim.Micros) {
	p := w.processes[a.router]
	for _, n := range s.attemptKeys() {
		if other := s.attempts[n]; other != a {
			s.pendingMismatched--
			w.postToIncarnation(p, a.id.Incarnation(), delay, frameReceived{a.id, other.id, seq, other.job})
			w.postToIncarnation(p, a.id.Incarnation(), delay, frameReceived{a.id, a.id.WithNumber(a.id.Number() + 1), seq, other.job})
			return
		}
	}
}

// crashServer ends a server: its connections break, and it restarts without requests.
func (w *world) crashServer(s *server, downtime sim.Micros) {
	if !s.up {
		return
	}
	for _, n := range s.attemptKeys() {
		a := s.attempts[n]
		w.postToIncarnation(w.processes[a.router], a.id.Incarnation(), w.site.OneWayLatency(s.index, a.router),
			connectionEnded{a.id, value.EndKindCrashed})
	}
	w.restartServer(s, downtime)
	w.activateFault(downtime, func(*world) {})
}

// restartServer takes a server down and brings it back without requests.
func (w *world) restartServer(s *server, downtime sim.Micros) {
	s.epoch++
	s.up = false
	s.attempts = map[string]*attempt{}
	s.batch = s.newBatch()
	s.nextStep = 0
	w.events.After(downtime, delayedAction{func(w *world) {
		s.up, s.leaving = true, false
		w.publishInstances()
		w.events.After(0, serverEvent{s.index, s.epoch, loadReportDue{}})
	}})
}

// beginLeaving begins the planned stop of a server.
func (w *world) beginLeaving(s *server) {
	if !s.up || s.leaving {
		return
	}
	s.leaving, s.leavingAt = true, w.events.Now()
	w.publishInstances()
	w.replaceIfDrained(s)
}

// replaceIfDrained replaces a leaving server once its last request has ended and every router had time to see that it
// is leaving.
func (w *world) replaceIfDrained(s *server) {
	if !s.leaving || !s.up || len(s.attempts) > 0 {
		return
	}
	epoch := s.epoch
	w.events.After(2*departureLimit, delayedAction{func(w *world) {
		if s.epoch == epoch && s.up && len(s.attempts) == 0 {
			w.restartServer(s, restartDelay)
		}
	}})
}
