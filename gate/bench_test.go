package gate

import (
	"context"
	"testing"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/engine"
	"chicoryhoist.example/hoist/value"
)

// BenchmarkSession measures one frame through the queue and the decision of a session.
func BenchmarkSession(b *testing.B) {
	s := newTestSession(true)
	s.apply(call.Started{})
	s.state, _ = s.state.Decide(call.Granted{Grant: value.Grant{}.WithAttempt(attempt(1))}, 0)
	s.live[1] = &stream{cancel: func() {}}
	data := []byte("{}")
	b.ReportAllocs()
	for seq := int32(0); b.Loop(); seq++ {
		s.offer(context.Background(), item{attempt: attempt(1), part: engine.Frame{Seq: seq, Data: data}})
		s.receive(<-s.items)
	}
}

func attempt(n uint32) value.Attempt {
	return value.Attempt{}.WithIncarnation(7).WithRequest(9).WithNumber(n)
}

// quiet is a dispatcher that never answers and a caller that takes everything.
type quiet struct{}

func (q *quiet) Ask(context.Context, value.Ask) (Dispatcher, error) {
	return Dispatcher{Name: "owner"}, nil
}
func (q *quiet) Send(_ Dispatcher, b value.GatewayMessageBody) {}
func (q *quiet) Frame([]byte) error                            { return nil }
func (q *quiet) Answer(engine.Answer) error                    { return nil }

func newTestSession(repeatable bool) *session {
	q := &quiet{}
	clock := hoist.NewSystemClock()
	g := New(clock, engine.NewClient(clock, engine.Limits{}), q, 7)
	ask := value.Ask{}.WithAttempt(attempt(0)).WithShard("s").WithRepeatable(repeatable)
	return newSession(g, ask, engine.Completion{}, q)
}
