package gate

import (
	"context"
	"testing"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/engine"
	"chicoryhoist.example/hoist/value"
)

// BenchmarkSession measures the queueing of and the decision about one frame.
func BenchmarkSession(b *testing.B) {
	s := newTestSession(true)
	s.apply(call.Started{})
	s.state, _ = s.state.Decide(call.Granted{Grant: value.Grant{}.WithAttempt(attempt(1))}, 0)
	s.streams[1] = &stream{cancel: func() {}}
	data := []byte("{}")
	b.ReportAllocs()
	for seq := int32(0); b.Loop(); seq++ {
		s.queuePart(context.Background(), queuedPart{attempt: attempt(1), part: engine.Frame{Seq: seq, Data: data}})
		s.handlePart(<-s.parts)
	}
}

func attempt(n uint32) value.Attempt {
	return value.Attempt{}.WithIncarnation(7).WithRequest(9).WithNumber(n)
}

// silentDispatcher is a dispatcher that never responds, and a sink that accepts everything.
type silentDispatcher struct{}

func (q *silentDispatcher) Ask(context.Context, value.Ask) (Dispatcher, error) {
	return Dispatcher{Name: "owner"}, nil
}
func (q *silentDispatcher) Send(_ Dispatcher, b value.GatewayMessageBody) {}
func (q *silentDispatcher) Frame([]byte) error                            { return nil }
func (q *silentDispatcher) Answer(engine.Answer) error                    { return nil }

func newTestSession(repeatable bool) *session {
	q := &silentDispatcher{}
	clock := hoist.NewSystemClock()
	g := New(clock, engine.NewClient(clock, engine.Limits{}), q, 7)
	ask := value.Ask{}.WithAttempt(attempt(0)).WithShard("s").WithRepeatable(repeatable)
	return newSession(g, ask, engine.Completion{}, q)
}
