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

// unsteady is a dispatcher that loses, refuses, repeats and preempts on the draw of its seed.
type unsteady struct {
	gateway *Gateway
	address string
	mutex   sync.Mutex
	draw    *rand.Rand
	held    map[value.Attempt]int
}

func (u *unsteady) Ask(_ context.Context, a value.Ask) (Dispatcher, error) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	owner := Dispatcher{Name: "owner", Incarnation: uint64(u.draw.IntN(2))}
	g := value.Grant{}.WithAttempt(a.Attempt()).WithServer("v").WithAddress(u.address).WithHedgeMs(int64(u.draw.IntN(3)))
	n := u.draw.IntN(12)
	switch n {
	case 0:
		return Dispatcher{}, context.Canceled
	case 1:
		u.gateway.Deliver(owner, value.Refusal{}.WithAttempt(a.Attempt()).WithReason(value.RefusalReasonMoved))
		return owner, nil
	case 2:
		time.AfterFunc(time.Millisecond, func() { u.gateway.DispatcherLost(owner) })
		return owner, nil
	}
	u.held[a.Attempt()]++
	time.AfterFunc(time.Duration(n%3)*time.Millisecond, func() {
		u.gateway.Deliver(owner, g)
		if n == 3 {
			u.gateway.Deliver(owner, g)
		}
		if n == 4 {
			u.gateway.Deliver(owner, value.Preempt{}.WithAttempt(a.Attempt()))
		}
		if n == 5 {
			u.gateway.Deliver(Dispatcher{Name: "new"}, value.Query{}.WithShard("s"))
		}
	})
	return owner, nil
}

func (u *unsteady) Send(_ Dispatcher, body value.GatewayMessageBody) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	switch b := body.(type) {
	case value.End:
		delete(u.held, b.Attempt())
	case value.Withdraw:
		// A grant may already be on its way; the end that answers it follows.
	default:
	}
}

func (u *unsteady) count() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return len(u.held)
}

// flaky streams "REQUEST/0" to "REQUEST/9" and fails on the draw of a seed.
func flaky(seed uint64) http.Handler {
	draw, mutex := rand.New(rand.NewPCG(seed, 2)), sync.Mutex{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mutex.Lock()
		fault, at := draw.IntN(6), draw.IntN(10)
		mutex.Unlock()
		id := r.Header.Get("X-Request-Id")
		if fault == 0 {
			w.Header().Set("X-Not-Started", "true")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		from, _ := strconv.Atoi(r.Header.Get("X-Resume-Tokens"))
		for i := from; i < 10; i++ {
			if fault == 1 && i == at {
				panic(http.ErrAbortHandler)
			}
			if fault == 2 && i == at {
				fmt.Fprintf(w, "id: ffff-1-1:%d\ndata: foreign\n\n", i)
			}
			fmt.Fprintf(w, "id: %s:%d\ndata: %s/%d\n\n", id, i, id[:strings.LastIndex(id, "-")], i)
			_ = http.NewResponseController(w).Flush()
		}
		fmt.Fprintf(w, "id: %s:END\ndata: [DONE]\n\n", id)
	})
}

// collect is a caller that keeps its frames.
type collect struct{ frames []string }

func (c *collect) Frame(data []byte) error { c.frames = append(c.frames, string(data)); return nil }

func (c *collect) Answer(engine.Answer) error { return nil }

var _ = ginkgo.Describe("Gateway", func() {
	// Guards against mixed, lost and repeated frames, leaked servers, goroutines and sessions when everything fails at once.
	ginkgo.DescribeTable("keeps answers apart and gives every server back", func(seed uint64) {
		before := gleak.Goroutines()
		found := watch()
		s := httptest.NewServer(flaky(seed))
		clock := hoist.NewSystemClock()
		client := engine.NewClient(clock, engine.Limits{Connect: hoist.Second, FirstFrame: hoist.Minute, Stall: hoist.Minute})
		u := &unsteady{address: s.Listener.Addr().String(), draw: rand.New(rand.NewPCG(seed, 1)), held: map[value.Attempt]int{}}
		u.gateway = New(clock, client, u, 7)
		var group sync.WaitGroup
		results := make([]call.Result, 200)
		sinks := make([]collect, len(results))
		names := make([]string, len(results))
		for i := range results {
			group.Go(func() {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if i%10 == 0 {
					time.AfterFunc(5*time.Millisecond, cancel)
				}
				ask := value.Ask{}.WithAttempt(u.gateway.NextRequest()).WithShard("s").WithRepeatable(i%4 != 0)
				names[i] = engine.RequestID(ask.Attempt())
				results[i] = u.gateway.Run(ctx, ask, engine.Completion{Path: "/"}, &sinks[i])
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
		gomega.Eventually(u.count, "5s").Should(gomega.BeZero())
		gomega.Expect(u.gateway.Active()).To(gomega.BeZero())
		client.Close()
		s.Close()
		gomega.Eventually(gleak.Goroutines, "5s").ShouldNot(gleak.HaveLeaked(before))
		gomega.Expect(*found).To(gomega.BeEmpty())
	}, ginkgo.Entry("seed 1", uint64(1)), ginkgo.Entry("seed 2", uint64(2)), ginkgo.Entry("seed 3", uint64(3)))
})
