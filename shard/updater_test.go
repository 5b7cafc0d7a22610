package shard

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/invar"
	"chicoryhoist.example/hoist/sched"
	"chicoryhoist.example/hoist/value"
)

func TestShard(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "shard")
}

func ask(n uint64) value.Ask {
	return value.Ask{}.WithAttempt(value.Attempt{}.WithIncarnation(7).WithRequest(n).WithNumber(1)).WithClass("c").WithShard("s")
}

// Guards against a violation of I6 that is not reported; the test makes the grant that a faulty placement would make.
var _ = ginkgo.Describe("checkGrant", func() {
	ginkgo.It("reports only a grant of a server that has been leaving for more than 3 s", func() {
		var found []string
		defer invar.Attach(func(c invar.Invariant, d string) { found = append(found, c.String()+" "+d) })()
		s := sched.New("s")
		view := config.NewView(value.Snapshot{}, 1)
		instances := value.ListOf(value.Instance{}.WithName("a"), value.Instance{}.WithName("b"))
		s, _ = s.Decide(sched.Configured{View: view, Pool: value.Pool{}.WithSlots(4), Instances: instances}, 1000)
		s, _ = s.Decide(sched.ServerLeaving{Server: "a"}, 2000)
		u := New("s", hoist.NewSystemClock(), nil)
		u.checkGrant(s.Table(), value.Grant{}.WithServer("a"), 5000)
		u.checkGrant(s.Table(), value.Grant{}.WithServer("b"), 9000)
		gomega.Expect(found).To(gomega.BeEmpty())
		u.checkGrant(s.Table(), value.Grant{}.WithServer("a"), 5001)
		gomega.Expect(found).To(gomega.HaveLen(1))
		gomega.Expect(found[0]).To(gomega.HavePrefix("I6 shard s grants server a"))
	})
})

// TestStop guards against requests that wait forever, which occurs when a placement request reaches an updater
// that is stopping and is neither queued in its state nor refused.
func TestStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mutex sync.Mutex
		answered := map[uint64]int{}
		u := New("s", hoist.NewSystemClock(), func(e sched.Effect) {
			mutex.Lock()
			defer mutex.Unlock()
			if r, ok := e.(value.Refusal); ok {
				answered[r.Attempt().Request()]++
			}
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var group sync.WaitGroup
		group.Go(func() { u.Run(ctx) })
		for n := range uint64(4000) {
			group.Go(func() { u.Post(sched.MessageReceived{Body: ask(n)}) })
			if n == 2000 {
				group.Go(cancel)
			}
		}
		group.Wait()
		if u.Post(sched.MessageReceived{Body: ask(4000)}) {
			t.Error("a stopped updater accepts a placement request")
		}
		for w := range u.State().Queue().All() {
			answered[w.Ask().Attempt().Request()]++
		}
		var wrong []string
		for n := range uint64(4001) {
			if answered[n] != 1 {
				wrong = append(wrong, strings.Repeat("x", answered[n]))
			}
		}
		if len(wrong) > 0 {
			t.Errorf("%d of 4001 placement requests have no response or several", len(wrong))
		}
	})
}
