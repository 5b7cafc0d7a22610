package quota_test

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/golden"
	"chicoryhoist.example/hoist/quota"
	"chicoryhoist.example/hoist/value"
)

func init() { golden.FixSeed() }

func TestQuota(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "quota")
}

// newView returns a configuration with limits of the classes "a" and "b" and of the workspace "w".
func newView(a, b, w value.Limit) *config.View {
	return config.NewView(value.Snapshot{}.
		WithClasses(value.ListOf(value.Class{}.WithName("a").WithLimit(a), value.Class{}.WithName("b").WithLimit(b), value.Class{}.WithName("free"))).
		WithWorkspaces(value.ListOf(value.Workspace{}.WithName("w").WithLimit(w))), 1)
}

var _ = ginkgo.Describe("Limiter", func() {
	admitted := func(m *quota.Limiter, class string, tokens int64, now hoist.Millis) int {
		n := 0
		for range 100 {
			if _, ok := m.Admit(class, "w", tokens, now).(quota.Admitted); ok {
				n++
			}
		}
		return n
	}

	// This case guards against a burst of one class that uses up the limit of another class or of the workspace.
	ginkgo.It("ends a burst of a class at its own share", func() {
		m := quota.NewLimiter()
		m.Configure(newView(value.Limit{}.WithRequestsPerSecond(20), value.Limit{}.WithRequestsPerSecond(40), value.Limit{}.WithRequestsPerSecond(80)), 1, 1000)
		for _, key := range []string{"class:a", "class:b", "workspace:w"} {
			milliPerSecond := map[string]int64{"class:a": 20_000, "class:b": 40_000, "workspace:w": 80_000}[key]
			m.Apply(quota.SetAllowance{Key: key, Allowance: quota.Allowance{Fallback: quota.NewRates(milliPerSecond, 1<<40, 1<<40)}}, 1000)
		}
		gomega.Expect(admitted(m, "a", 0, 3000)).To(gomega.Equal(20))
		gomega.Expect(admitted(m, "b", 0, 3000)).To(gomega.Equal(40))
		gomega.Expect(admitted(m, "free", 0, 3000)).To(gomega.Equal(20))
		gomega.Expect(m.Admit("a", "w", 0, 3000)).To(gomega.Equal(quota.Limited{Key: "class:a", RetryAfter: 50}))
		gomega.Expect(admitted(m, "a", 0, 3050)).To(gomega.Equal(1))
	})

	// This case guards against output tokens that are never charged because their number is unknown at the start.
	ginkgo.It("charges output tokens to later requests and counts requests in progress", func() {
		m := quota.NewLimiter()
		m.Configure(newView(value.Limit{}.WithTokensPerSecond(1000).WithConcurrent(8), value.Limit{}, value.Limit{}), 1, 1000)
		m.Apply(quota.SetAllowance{Key: "class:a", Allowance: quota.Allowance{Fallback: quota.NewRates(math.MaxInt64, 1_000_000, 8_000)}}, 1000)
		gomega.Expect(admitted(m, "a", 10, 5000)).To(gomega.Equal(8))
		m.Release("a", "w", 2920, 5000)
		gomega.Expect(m.Admit("a", "w", 10, 5000)).To(gomega.Equal(quota.Limited{Key: "class:a", RetryAfter: 2010}))
		gomega.Expect(m.Admit("a", "w", 10, 7010)).To(gomega.Equal(quota.Admitted{}))
		demands := m.Sample(7010)
		gomega.Expect(demands).To(gomega.HaveLen(1))
		gomega.Expect(demands[0].Running).To(gomega.Equal(int64(8)))
	})

	// This case guards against lost updates when several goroutines use one limit concurrently.
	ginkgo.It("is exact under concurrent use", func() {
		m := quota.NewLimiter()
		m.Configure(newView(value.Limit{}.WithConcurrent(40), value.Limit{}, value.Limit{}), 1, 1000)
		m.Apply(quota.SetAllowance{Key: "class:a", Allowance: quota.Allowance{Fallback: quota.NewRates(math.MaxInt64, math.MaxInt64, 10_000)}}, 1000)
		var running, most atomic.Int64
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				for range 500 {
					if _, ok := m.Admit("a", "w", 1, 1000).(quota.Admitted); ok {
						if n := running.Add(1); n > most.Load() {
							most.Store(n)
						}
						running.Add(-1)
						m.Release("a", "w", 1, 1000)
					}
				}
			})
		}
		group.Wait()
		gomega.Expect(most.Load()).To(gomega.BeNumerically("<=", 10))
		gomega.Expect(admitted(m, "a", 1, 1000)).To(gomega.Equal(10))
	})
})

// TestBucket guards against a bucket that admits more than its rate and one burst over any time, or that stops
// refilling.
func TestBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Int64Range(1, 100_000).Draw(t, "rate")
		now := hoist.Millis(1000)
		b := quota.NewBucket(rate, now)
		start, taken := now, int64(0)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now += hoist.Millis(rapid.Int64Range(0, 3000).Draw(t, "pause"))
			amount := rapid.Int64Range(1, 3000).Draw(t, "amount")
			next, wait, ok := b.Take(amount, now)
			if !ok {
				if _, _, ok := b.Take(amount, now+wait); !ok {
					t.Fatalf("not admitted after the stated wait of %d ms", wait)
				}
				if _, _, early := b.Take(amount, now+wait-1); early {
					t.Fatalf("admitted before the stated wait of %d ms", wait)
				}
				continue
			}
			b, taken = next, taken+amount
			burst := max(1000, rate) + 3000
			if taken > rate*int64(now-start)/1000+burst {
				t.Fatalf("took %d in %d ms at a rate of %d", taken, now-start, rate)
			}
		}
	})
}

const (
	step = 250 * hoist.Millis(1)
	// viewDelay and messageDelay bound the delays of membership changes and of messages in the model.
	viewDelay    = 2 * hoist.Second
	messageDelay = hoist.Second
	// leaseChangeTime is the time after which no lease of an earlier layout is valid: the view changes, the last
	// lease is sent and expires.
	leaseChangeTime = viewDelay + messageDelay + 2*quota.LeaseDuration
)

// router is one router of the model.
type router struct {
	holder    quota.Holder
	owner     quota.Owner
	allowed   quota.Allowance
	partition int
	draining  bool
	view      int
	phase     hoist.Millis
	running   int64
}

// message is a message in transit.
type message struct {
	at       hoist.Millis
	from, to int
	usage    value.Usage
	lease    value.Lease
}

// fleet is a model of routers that share one limit.
type fleet struct {
	*rapid.T
	now      hoist.Millis
	routers  []*router
	messages []message
	// noticeAt holds the times at which routers notice a changed layout.
	noticeAt map[int]hoist.Millis
}

// ownerOf returns the first router of the partition that is not draining. It replaces rendezvous hashing.
func (f *fleet) ownerOf(i int) int {
	owner := -1
	for k, r := range f.routers {
		if r.partition == f.routers[i].partition && (owner < 0 || f.routers[owner].draining && !r.draining) {
			owner = k
		}
	}
	return owner
}

func (f *fleet) send(m message) {
	m.at = f.now + hoist.Millis(rapid.Int64Range(0, int64(messageDelay)).Draw(f.T, "delay"))
	f.messages = append(f.messages, m)
}

// apply passes an event to a holder and applies its effects.
func (f *fleet) apply(i int, e quota.HolderEvent) {
	n := f.routers[i]
	var effects []quota.HolderEffect
	n.holder, effects = n.holder.Decide(e, f.now)
	for _, x := range effects {
		switch x := x.(type) {
		case quota.SendUsage:
			f.send(message{from: i, to: n.view, usage: x.Usage})
		case quota.SetAllowance:
			n.allowed = x.Allowance
		}
	}
}

// deliver delivers the messages that are due; messages between partitions are lost.
func (f *fleet) deliver() {
	var later []message
	due := f.messages
	f.messages = nil
	for _, m := range due {
		switch {
		case m.at > f.now:
			later = append(later, m)
		case f.routers[m.from].partition != f.routers[m.to].partition:
		case m.lease.Key() != "":
			f.apply(m.to, quota.LeaseReceived{Lease: m.lease})
		case f.routers[m.to].view == m.to:
			n := f.routers[m.to]
			var leases []value.Lease
			n.owner, leases = n.owner.Decide(quota.UsageReported{Router: fmt.Sprint(m.from), Usage: m.usage}, f.now)
			for _, l := range leases {
				f.send(message{from: m.to, to: m.from, lease: l})
			}
		}
	}
	f.messages = append(f.messages, later...)
}

// countOwners returns the number of owners that a router followed since the time.
func countOwners(lastFollowed map[int]hoist.Millis, since hoist.Millis) int64 {
	n := int64(0)
	for _, at := range lastFollowed {
		if at >= since {
			n++
		}
	}
	return n
}

// currentRates returns the rates of the allowance that apply now.
func currentRates(a quota.Allowance, now hoist.Millis) quota.Rates {
	if now < a.Until {
		return a.Rates
	}
	return a.Fallback
}

// TestSums guards against leases that add up to more than the limit, or during a partition to more than the number of
// partitions times the limit. That occurs when the owner of the limit changes while earlier leases are valid.
func TestSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 5000).Draw(t, "limit")
		l := value.Limit{}.WithRequestsPerSecond(limit).WithConcurrent(limit)
		v := newView(l, value.Limit{}, value.Limit{})
		f := &fleet{T: t, now: 100_000, noticeAt: map[int]hoist.Millis{}}
		for range rapid.IntRange(1, 6).Draw(t, "routers") {
			f.routers = append(f.routers, &router{phase: hoist.Millis(rapid.Int64Range(0, 7).Draw(t, "phase")) * step})
		}
		for i, n := range f.routers {
			n.owner, _ = n.owner.Decide(quota.OwnerConfigured{View: v, Routers: len(f.routers)}, f.now)
			f.apply(i, quota.HolderConfigured{View: v, Routers: len(f.routers)})
		}
		partitions, owners := map[hoist.Millis]int{}, map[int]hoist.Millis{}
		most := int64(0)
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			f.now += step
			change := rapid.IntRange(0, 80).Draw(t, "change")
			if change <= 1 {
				for i, n := range f.routers {
					if change == 0 {
						n.partition = rapid.IntRange(0, 1).Draw(t, "part")
					} else if n.draining = rapid.Bool().Draw(t, "drains"); i == len(f.routers)-1 {
						n.draining = false
					}
					f.noticeAt[i] = f.now + hoist.Millis(rapid.Int64Range(0, int64(viewDelay)).Draw(t, "notice"))
				}
			}
			seen := map[int]bool{}
			for i, n := range f.routers {
				if at, ok := f.noticeAt[i]; ok && f.now >= at {
					delete(f.noticeAt, i)
					if n.view == i && f.ownerOf(i) != i {
						n.owner, _ = n.owner.Decide(quota.OwnershipLost{Keys: value.ListOf(n.owner.Keys()...)}, f.now)
					}
					n.view = f.ownerOf(i)
				}
				seen[n.partition] = true
			}
			partitions[f.now] = len(seen)
			for _, n := range f.routers {
				owners[n.view] = f.now
			}
			f.deliver()
			for i, n := range f.routers {
				if (f.now+n.phase)%quota.ReportInterval == 0 {
					want := rapid.Int64Range(0, 3).Draw(t, "demand") * limit * 500
					d := quota.Demand{Key: "class:a", Rates: quota.NewRates(want, 0, want), Running: n.running}
					demands := value.ListOf(d)
					if want == 0 && n.running == 0 {
						demands = value.List[quota.Demand]{}
					}
					f.apply(i, quota.DemandSampled{Demands: demands})
				}
			}
			var requests, concurrent, running int64
			for _, n := range f.routers {
				r := currentRates(n.allowed, f.now)
				requests += r.Requests()
				concurrent += r.Concurrent()
				if free := r.Concurrent()/1000 - n.running; free > 0 {
					n.running += rapid.Int64Range(0, free).Draw(t, "starts")
				} else if n.running > 0 {
					n.running -= rapid.Int64Range(0, n.running).Draw(t, "ends")
				}
				running += n.running
			}
			p := int64(1)
			for at, k := range partitions {
				if f.now-at <= leaseChangeTime {
					p = max(p, int64(k))
				}
			}
			// If the partitions change while leases are valid, every owner that was followed in that time counts as a
			// partition: a trace with two splits and a drain within 13 s had three owners.
			if p > 1 {
				p = max(p, countOwners(owners, f.now-leaseChangeTime))
			}
			most = max(most, p)
			if requests > p*limit*1000 || concurrent > p*limit*1000 {
				t.Fatalf("at %d the routers use %d requests/s and %d in progress, in thousandths, of a limit of %d in %d partitions",
					f.now, requests, concurrent, limit, p)
			}
			if running > most*limit {
				t.Fatalf("at %d %d requests run; the limit is %d in %d partitions", f.now, running, limit, most)
			}
		}
	})
}

// BenchmarkTake measures the check of one request at two limits.
func BenchmarkTake(b *testing.B) {
	m := quota.NewLimiter()
	l := value.Limit{}.WithRequestsPerSecond(1_000_000).WithTokensPerSecond(1_000_000).WithConcurrent(1000)
	m.Configure(newView(l, value.Limit{}, l), 1, 1000)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		m.Admit("a", "w", 100, hoist.Millis(1000+n))
		m.Release("a", "w", 100, hoist.Millis(1000+n))
	}
}
