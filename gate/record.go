package gate

import (
	"sync/atomic"

	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/engine"
	"chicoryhoist.example/hoist/value"
)

const (
	// recentRecords is the number of recent requests whose records a gateway keeps for operators.
	recentRecords = 4096
	// maxSteps bounds the number of steps of one record.
	maxSteps = 64
)

// records is a ring buffer of the records of recent requests, indexed by request number.
type records struct {
	slots [recentRecords]atomic.Pointer[value.RequestRecord]
}

// slot returns the slot of a request's record.
func (r *records) slot(request uint64) *atomic.Pointer[value.RequestRecord] {
	return &r.slots[request%recentRecords]
}

// Record returns the record of a recent request by the identifier in X-Request-Id.
func (g *Gateway) Record(id string) (value.RequestRecord, bool) {
	for i := range g.records.slots {
		if r := g.records.slots[i].Load(); r != nil && r.Request() == id {
			return *r, true
		}
	}
	return value.RequestRecord{}, false
}

// startRecord starts the record of the session's request.
func (s *session) startRecord() {
	a := s.state.Ask()
	s.startedAt = s.clock.Now()
	s.record = value.RequestRecord{}.WithRequest(engine.RequestID(a.Attempt())).WithClass(a.Class()).
		WithWorkspace(a.Workspace()).WithModel(a.Model())
	s.publishRecord()
}

// publishRecord publishes a copy of the record, which operators can read.
func (s *session) publishRecord() {
	r := s.record
	s.records.slot(s.state.Ask().Attempt().Request()).Store(&r)
}

// addStep adds a step to the record unless it is full.
func (s *session) addStep(step value.RequestStep) {
	if s.record.Steps().Len() >= maxSteps {
		return
	}
	step = step.WithAtMs(int64(s.clock.Now() - s.startedAt))
	s.record = s.record.WithSteps(s.record.Steps().Append(step))
	s.publishRecord()
}

// recordEvent adds the step of an event that explains how the request was placed, refused or ended.
func (s *session) recordEvent(e call.Event) {
	step := value.RequestStep{}
	switch e := e.(type) {
	case call.Granted:
		s.addStep(step.WithStep("granted").WithAttempt(e.Grant.Attempt().Number()).WithServer(e.Grant.Server()))
	case call.Refused:
		s.addStep(step.WithStep("refused").WithAttempt(e.Refusal.Attempt().Number()).WithReason(e.Refusal.Reason().String()))
	case call.Preempted:
		s.addStep(step.WithStep("preempted").WithAttempt(e.Attempt.Number()))
	case call.FirstFrame:
		s.addStep(step.WithStep("opened").WithAttempt(e.Attempt.Number()))
	case call.AttemptEnded:
		s.addStep(step.WithStep("closed").WithAttempt(e.Attempt.Number()).WithReason(e.Kind.String()))
	case call.CallerDisconnected:
		s.addStep(step.WithStep("caller left"))
	case call.OwnerLost:
		s.addStep(step.WithStep("owner lost").WithAttempt(e.Attempt.Number()))
	case call.Started, call.TimerFired, call.RetryDecided:
	}
}

// recordEffect adds the step of an effect that operators can look up.
func (s *session) recordEffect(x call.Effect) {
	switch x := x.(type) {
	case call.Send:
		if a, ok := x.Body.(value.Ask); ok {
			s.addStep(value.RequestStep{}.WithStep("asked").WithAttempt(a.Attempt().Number()))
		}
	case call.Finish:
		s.record = s.record.WithOutcome(call.OutcomeName(x.Result.Outcome))
		s.addStep(value.RequestStep{}.WithStep("finished").WithReason(x.Result.Reason.String()))
	case call.Start, call.Stop, call.SetTimer, call.NotifyRetry:
	}
}
