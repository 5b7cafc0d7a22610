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

// fallback is a sender whose asks go to the gateway's own queue.
type fallback struct {
	gateway *gate.Gateway
	address string
	sent    chan routed
}

// routed is one message with its route.
type routed struct {
	route gate.Dispatcher
	body  value.GatewayMessageBody
}

var localQueue = gate.Dispatcher{Name: "router-1", Incarnation: 1, Local: true}

func (f *fallback) Ask(_ context.Context, a value.Ask) (gate.Dispatcher, error) {
	go f.gateway.Deliver(localQueue, value.Grant{}.WithAttempt(a.Attempt()).WithServer("engine-1").
		WithAddress(f.address).WithShard(a.Shard()))
	return localQueue, nil
}

func (f *fallback) Send(r gate.Dispatcher, body value.GatewayMessageBody) { f.sent <- routed{r, body} }

// discard is a sink that drops everything.
type discard struct{}

func (discard) Frame([]byte) error         { return nil }
func (discard) Answer(engine.Answer) error { return nil }

// TestRehomeFreesFallback guards against a fallback queue that counts attempts for ever whose
// ends go to the new owner, so that it has no slot left for the next outage.
func TestRehomeFreesFallback(t *testing.T) {
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
	f := &fallback{address: server.Listener.Addr().String(), sent: make(chan routed, 64)}
	f.gateway = gate.New(clock, client, f, 1)
	ask := value.Ask{}.WithAttempt(f.gateway.NextRequest()).WithShard("dispatch/central/0").WithClass("booking")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.gateway.Run(context.Background(), ask, engine.ServiceCall{Method: http.MethodPost, Path: "/", Header: http.Header{}}, discard{})
	}()
	<-started
	owner := gate.Dispatcher{Name: "router-2", Incarnation: 2}
	f.gateway.Deliver(owner, value.Query{}.WithShard("dispatch/central/0"))
	var first, second routed
	g.Eventually(f.sent, time.Minute).Should(Receive(&first))
	g.Eventually(f.sent, time.Minute).Should(Receive(&second))
	g.Expect(first.route).To(Equal(localQueue))
	g.Expect(first.body).To(BeAssignableToTypeOf(value.End{}))
	g.Expect(second.route).To(Equal(owner))
	g.Expect(second.body).To(BeAssignableToTypeOf(value.Holding{}))
	other := gate.Dispatcher{Name: "router-3", Incarnation: 3}
	f.gateway.Deliver(other, value.Query{}.WithShard("dispatch/central/0"))
	var third, fourth, fifth routed
	g.Eventually(f.sent, time.Minute).Should(Receive(&third))
	g.Expect(third.route).To(Equal(other))
	close(release)
	<-ended
	// Both the present and the former dispatcher must hear of the end, or one of them keeps the slot for ever.
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
	g.Expect([]gate.Dispatcher{fourth.route, fifth.route}).To(ConsistOf(owner, other))
}
