package gate_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/engine"
	"chicoryhoist.example/hoist/gate"
	"chicoryhoist.example/hoist/value"
)

// fallbackSender is a sender whose placement requests go to the gateway's local fallback queue.
type fallbackSender struct {
	gateway *gate.Gateway
	address string
	sent    chan sentMessage
}

// sentMessage is a message and the dispatcher that it was sent to.
type sentMessage struct {
	dispatcher gate.Dispatcher
	body       value.GatewayMessageBody
}

var localQueue = gate.Dispatcher{Name: "router-1", Incarnation: 1, Local: true}

func (f *fallbackSender) Ask(_ context.Context, a value.Ask) (gate.Dispatcher, error) {
	go f.gateway.Deliver(localQueue, value.Grant{}.WithAttempt(a.Attempt()).WithServer("engine-1").
		WithAddress(f.address).WithShard(a.Shard()))
	return localQueue, nil
}

func (f *fallbackSender) Send(d gate.Dispatcher, body value.GatewayMessageBody) {
	f.sent <- sentMessage{d, body}
}

// discardSink is a sink that discards everything.
type discardSink struct{}

func (discardSink) Frame([]byte) error         { return nil }
func (discardSink) Answer(engine.Answer) error { return nil }

// TestTakeoverReleasesFallback guards against a fallback queue without a free slot for the next outage, which occurs
// when the ends of its attempts are sent only to the new owner and their slots are never released.
func TestTakeoverReleasesFallback(t *testing.T) {
	g := NewWithT(t)
	started, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	}))
	defer server.Close()
	clock := hoist.NewSystemClock()
	client := engine.NewClient(clock, engine.Limits{Connect: hoist.Minute, FirstFrame: hoist.Minute, Stall: hoist.Minute, MaxBody: 1 << 20})
	defer client.Close()
	f := &fallbackSender{address: server.Listener.Addr().String(), sent: make(chan sentMessage, 64)}
	f.gateway = gate.New(clock, client, f, 1)
	ask := value.Ask{}.WithAttempt(f.gateway.NextRequest()).WithShard("dispatch/central/0").WithClass("booking")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.gateway.Run(context.Background(), ask, engine.ServiceCall{Method: http.MethodPost, Path: "/", Header: http.Header{}}, discardSink{})
	}()
	<-started
	owner := gate.Dispatcher{Name: "router-2", Incarnation: 2}
	f.gateway.Deliver(owner, value.Query{}.WithShard("dispatch/central/0"))
	var first, second sentMessage
	g.Eventually(f.sent, time.Minute).Should(Receive(&first))
	g.Eventually(f.sent, time.Minute).Should(Receive(&second))
	g.Expect(first.dispatcher).To(Equal(localQueue))
	g.Expect(first.body).To(BeAssignableToTypeOf(value.End{}))
	g.Expect(second.dispatcher).To(Equal(owner))
	g.Expect(second.body).To(BeAssignableToTypeOf(value.Holding{}))
	other := gate.Dispatcher{Name: "router-3", Incarnation: 3}
	f.gateway.Deliver(other, value.Query{}.WithShard("dispatch/central/0"))
	var third, fourth, fifth sentMessage
	g.Eventually(f.sent, time.Minute).Should(Receive(&third))
	g.Expect(third.dispatcher).To(Equal(other))
	close(release)
	<-ended
	// Both the current and the former dispatcher must be notified of the end; otherwise one of them never releases the slot.
	g.Eventually(f.sent, time.Minute).Should(Receive(&fourth))
	for {
		g.Eventually(f.sent, time.Minute).Should(Receive(&fifth))
		if _, ok := fifth.body.(value.End); ok {
			if _, also := fourth.body.(value.End); also {
				break
			}
		}
		fourth = fifth
	}
	g.Expect([]gate.Dispatcher{fourth.dispatcher, fifth.dispatcher}).To(ConsistOf(owner, other))
}
