package gate

import (
	"sync/atomic"

	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/engine"
	"chicoryhoist.example/hoist/value"
)

const (
	// recentRecords is the number of request records that a gateway keeps for operators.
	recentRecords = 4096
	// maxSteps bounds the steps of one record.
	maxSteps = 64
)

// records keeps the records of recent requests; a newer request replaces the one that is recentRecords older.
type records struct {
	slots [recentRecords]atomic.Pointer[value.RequestRecord]
}

// slot returns the place of a request's record.
func (r *records) slot(request uint64) *atomic.Pointer[value.RequestRecord] {
	return &r.slots[request%recentRecords]
}

// Record returns the record of a recent request by its identifier, as in X-Request-Id.
func (g *Gateway) Record(id string) (value.RequestRecord, bool) {
	for i := range g.records.slots {
		if r := g.records.slots[i].Load(); r != nil && r.Request() == id {
			return *r, true
		}
	}
	return value.RequestRecord{}, false
}

// begin starts the record of the session's request.
func (s *session) begin() {
	a := s.state.Ask()
	s.began = s.clock.Now()
	s.record = value.RequestRecord{}.WithRequest(engine.RequestID(a.Attempt())).WithClass(a.Class()).
		WithWorkspace(a.Workspace()).WithModel(a.Model())
	s.publish()
}

// publish makes the record visible to operators.
func (s *session) publish() {
	r := s.record
	s.records.slot(s.state.Ask().Attempt().Request()).Store(&r)
}

// note adds a step to the record.
func (s *session) note(step value.RequestStep) {
	if s.record.Steps().Len() >= maxSteps {
		return
	}
	step = step.WithAtMs(int64(s.clock.Now() - s.began))
	s.record = s.record.WithSteps(s.record.Steps().Append(step))
	s.publish()
}

// noteEvent adds the step of an event that says why the request was placed or refused.
func (s *session) noteEvent(e call.Event) {
	step := value.RequestStep{}
	switch e := e.(type) {
	case call.Granted:
		s.note(step.WithStep("granted").WithAttempt(e.Grant.Attempt().Number()).WithServer(e.Grant.Server()))
	case call.Refused:
		s.note(step.WithStep("refused").WithAttempt(e.Refusal.Attempt().Number()).WithReason(e.Refusal.Reason().String()))
	case call.Preempted:
		s.note(step.WithStep("preempted").WithAttempt(e.Attempt.Number()))
	case call.FirstFrame:
		s.note(step.WithStep("opened").WithAttempt(e.Attempt.Number()))
	case call.AttemptEnded:
		s.note(step.WithStep("closed").WithAttempt(e.Attempt.Number()).WithReason(e.Kind.String()))
	case call.CallerDisconnected:
		s.note(step.WithStep("caller left"))
	case call.OwnerLost:
		s.note(step.WithStep("owner lost").WithAttempt(e.Attempt.Number()))
	case call.Started, call.TimerFired, call.RetryDecided:
	}
}

// noteEffect adds the step of an effect.
func (s *session) noteEffect(x call.Effect) {
	switch x := x.(type) {
	case call.Send:
		if a, ok := x.Body.(value.Ask); ok {
			s.note(value.RequestStep{}.WithStep("asked").WithAttempt(a.Attempt().Number()))
		}
	case call.Finish:
		s.record = s.record.WithOutcome(call.OutcomeName(x.Result.Outcome))
		s.note(value.RequestStep{}.WithStep("finished").WithReason(x.Result.Reason.String()))
	case call.Start, call.Stop, call.SetTimer, call.NotifyRetry:
	}
}
