package gate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gleak"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/engine"
	"chicoryhoist.example/hoist/value"
)

// faultyDispatcher is a dispatcher that fails, refuses, repeats grants and preempts at random, reproducibly by its seed.
type faultyDispatcher struct {
	gateway         *Gateway
	address         string
	mutex           sync.Mutex
	random          *rand.Rand
	grantedAttempts map[value.Attempt]int
}

func (d *faultyDispatcher) Ask(_ context.Context, a value.Ask) (Dispatcher, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	owner := Dispatcher{Name: "owner", Incarnation: uint64(d.random.IntN(2))}
	g := value.Grant{}.WithAttempt(a.Attempt()).WithServer("v").WithAddress(d.address).WithHedgeMs(int64(d.random.IntN(3)))
	n := d.random.IntN(12)
	switch n {
	case 0:
		return Dispatcher{}, context.Canceled
	case 1:
		d.gateway.Deliver(owner, value.Refusal{}.WithAttempt(a.Attempt()).WithReason(value.RefusalReasonMoved))
		return owner, nil
	case 2:
		time.AfterFunc(time.Millisecond, func() { d.gateway.DispatcherLost(owner) })
		return owner, nil
	}
	d.grantedAttempts[a.Attempt()]++
	time.AfterFunc(time.Duration(n%3)*time.Millisecond, func() {
		d.gateway.Deliver(owner, g)
		if n == 3 {
			d.gateway.Deliver(owner, g)
		}
		if n == 4 {
			d.gateway.Deliver(owner, value.Preempt{}.WithAttempt(a.Attempt()))
		}
		if n == 5 {
			d.gateway.Deliver(Dispatcher{Name: "new"}, value.Query{}.WithShard("s"))
		}
	})
	return owner, nil
}

func (d *faultyDispatcher) Send(_ Dispatcher, body value.GatewayMessageBody) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	switch b := body.(type) {
	case value.End:
		delete(d.grantedAttempts, b.Attempt())
	case value.Withdraw:
		// A grant may already be in transit; the gateway responds to it with an end.
	default:
	}
}

func (d *faultyDispatcher) grantedCount() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.grantedAttempts)
}

// faultyServer streams "REQUEST/0" to "REQUEST/9" and fails at random, reproducibly by the seed.
func faultyServer(seed uint64) http.Handler {
	random, mutex := rand.New(rand.NewPCG(seed, 2)), sync.Mutex{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mutex.Lock()
		fault, faultAt := random.IntN(6), random.IntN(10)
		mutex.Unlock()
		id := r.Header.Get("X-Request-Id")
		if fault == 0 {
			w.Header().Set("X-Not-Started", "true")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		from, _ := strconv.Atoi(r.Header.Get("X-Resume-Tokens"))
		for i := from; i < 10; i++ {
			if fault == 1 && i == faultAt {
				panic(http.ErrAbortHandler)
			}
			if fault == 2 && i == faultAt {
				fmt.Fprintf(w, "id: ffff-1-1:%d\ndata: foreign\n\n", i)
			}
			fmt.Fprintf(w, "id: %s:%d\ndata: %s/%d\n\n", id, i, id[:strings.LastIndex(id, "-")], i)
			_ = http.NewResponseController(w).Flush()
		}
		fmt.Fprintf(w, "id: %s:END\ndata: [DONE]\n\n", id)
	})
}

// frameCollector is a sink that keeps its frames.
type frameCollector struct{ frames []string }

func (c *frameCollector) Frame(data []byte) error {
	c.frames = append(c.frames, string(data))
	return nil
}

func (c *frameCollector) Answer(engine.Answer) error { return nil }

var _ = ginkgo.Describe("Gateway", func() {
	// Guards against mismatched, lost and repeated frames and against leaked servers, goroutines and sessions, while
	// dispatchers, servers and callers fail at random.
	ginkgo.DescribeTable("delivers each response to its caller and releases every server", func(seed uint64) {
		before := gleak.Goroutines()
		violations := collectViolations()
		s := httptest.NewServer(faultyServer(seed))
		clock := hoist.NewSystemClock()
		client := engine.NewClient(clock, engine.Limits{Connect: hoist.Second, FirstFrame: hoist.Minute, Stall: hoist.Minute})
		d := &faultyDispatcher{address: s.Listener.Addr().String(), random: rand.New(rand.NewPCG(seed, 1)), grantedAttempts: map[value.Attempt]int{}}
		d.gateway = New(clock, client, d, 7)
		var group sync.WaitGroup
		results := make([]call.Result, 200)
		sinks := make([]frameCollector, len(results))
		names := make([]string, len(results))
		for i := range results {
			group.Go(func() {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if i%10 == 0 {
					time.AfterFunc(5*time.Millisecond, cancel)
				}
				ask := value.Ask{}.WithAttempt(d.gateway.NextRequest()).WithShard("s").WithRepeatable(i%4 != 0)
				names[i] = engine.RequestID(ask.Attempt())
				results[i] = d.gateway.Run(ctx, ask, engine.Completion{Path: "/"}, &sinks[i])
			})
		}
		group.Wait()
		ran := 0
		for i, r := range results {
			for n, f := range sinks[i].frames {
				gomega.Expect(f).To(gomega.Equal(fmt.Sprintf("%s/%d", names[i], n)))
			}
			if r.Outcome == value.OutcomeRan {
				ran++
				gomega.Expect(sinks[i].frames).To(gomega.HaveLen(10))
			}
			if i%4 == 0 {
				gomega.Expect(r.Attempts).To(gomega.BeNumerically("<=", 1))
			}
		}
		gomega.Expect(ran).To(gomega.BeNumerically(">", 100))
		gomega.Eventually(d.grantedCount, "5s").Should(gomega.BeZero())
		gomega.Expect(d.gateway.Active()).To(gomega.BeZero())
		client.Close()
		s.Close()
		gomega.Eventually(gleak.Goroutines, "5s").ShouldNot(gleak.HaveLeaked(before))
		gomega.Expect(*violations).To(gomega.BeEmpty())
	}, ginkgo.Entry("seed 1", uint64(1)), ginkgo.Entry("seed 2", uint64(2)), ginkgo.Entry("seed 3", uint64(3)))
})
