package relay

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"

	"github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/assign"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/feed"
	"chicoryhoist.example/hoist/http1"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/route"
	"chicoryhoist.example/hoist/spread"
	"chicoryhoist.example/hoist/value"
)

// meshLog is a Mesh that keeps the answers to placement requests.
type meshLog struct {
	mutex   sync.Mutex
	answers []value.PlaceAnswer
}

// SendTo keeps an answer.
func (m *meshLog) SendTo(_ string, b value.DatagramBody) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if a, ok := b.(value.PlaceAnswer); ok {
		m.answers = append(m.answers, a)
	}
}

// Submit does nothing.
func (m *meshLog) Submit(member.Event) {}

// answersOf returns the kept answers with the verdict.
func (m *meshLog) answersOf(v value.PlaceVerdict) []value.PlaceAnswer {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var found []value.PlaceAnswer
	for _, a := range m.answers {
		if a.Verdict() == v {
			found = append(found, a)
		}
	}
	return found
}

// balancedRelay returns a relay with the setting max_slots.
func balancedRelay(t *testing.T, maxSlots int32) (*Relay, *meshLog) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	clock, m := hoist.NewBootClock(), &meshLog{}
	settings := value.ForwardSettings{}.WithName("n1").WithBalance(value.ForwardBalance{}.WithMaxSlots(maxSlots))
	return New(ctx, Options{Clock: clock, Client: http1.NewClient(clock, http1.Limits{}), Log: event.NewLog(logger), Settings: settings, Mesh: m}), m
}

// balancedView returns a view of n servers of a service whose engines have the slots. Servers of the shard leaving are leaving;
// it is negative for none.
func balancedView(n int, slots int32, leaving int) *feed.View {
	v := viewOf(n, false)
	r := value.Route{}.WithHost("a").WithPrefix("/").WithTargets(value.ListOf(value.RouteTarget{}.WithService("llm").WithWeight(1)))
	spec := value.ServiceSpec{}.WithName("llm").WithEngineSlots(slots)
	v.Table = route.NewTable(value.RouteTable{}.WithRoutes(value.ListOf(r)).WithServices(value.ListOf(spec)))
	for i := range v.Servers.Len() {
		if x := v.Servers.At(i); shardIndex(x.Id(), shardCount(n)) == leaving {
			v.Servers = v.Servers.With(i, x.WithLeaving(true))
		}
	}
	return v
}

// prompt returns a request whose prompt has a shared part and one of its own.
func prompt(id string, part uint64) Request {
	p := value.PromptPart{}
	return Request{ID: id, Parts: value.ListOf(p.WithId(part).WithTokens(450), p.WithId(part<<32+1).WithTokens(450))}
}

// chosen returns the index of the shard that the job is given.
func chosen(g *gomega.WithT, r *Relay, j *job) int {
	j.Relay, j.serviceName, j.view = r, "llm", &feed.View{}
	g.Expect(j.selectDispatcher()).To(gomega.BeNil())
	for i, d := range (*r.services.Load())["llm"].dispatchers {
		if d == j.dispatcher {
			return i
		}
	}
	return -1
}

// TestShardsByHash guards against a changed choice of the shard where the settings or the service do not ask for the choice
// by load.
func TestShardsByHash(t *testing.T) {
	for _, c := range []struct{ maxSlots, slots int32 }{{0, 64}, {64, 0}, {64, 65}} {
		g := gomega.NewWithT(t)
		r, _ := balancedRelay(t, c.maxSlots)
		r.Follow(nil, balancedView(60, c.slots, -1))
		r.loads.Store(loadsOf(r, 0, 9000))
		for i := range uint64(500) {
			g.Expect(chosen(g, r, &job{request: prompt("x", i)})).To(gomega.Equal(int(assign.PartHash(i) % 3)))
			j := &job{request: Request{ID: fmt.Sprint(i)}}
			g.Expect(chosen(g, r, j)).To(gomega.Equal(shardIndex(j.request.ID, 3)))
			g.Expect(j.choice).To(gomega.BeNil())
		}
		for _, d := range (*r.services.Load())["llm"].dispatchers {
			g.Expect(d.balanced.Load()).To(gomega.BeFalse())
			g.Expect(d.local).To(gomega.BeFalse())
		}
	}
}

// loadsOf returns reports by which the shard has the pending time, and the others have none.
func loadsOf(r *Relay, loaded int, pendingMs float64) *spread.Loads {
	l, now := r.loads.Load(), r.Clock.Now()
	for i := range 3 {
		x := value.ShardLoad{}.WithServers(20)
		if i == loaded {
			x = x.WithPendingMs(pendingMs)
		}
		next := l.WithReport(fmt.Sprint("llm/", i), x, now)
		l = &next
	}
	return l
}

// TestShardsByLoad guards against shares that ignore the usable servers, against requests that stay at a shard known to be
// overloaded or all leave it at once, and against further attempts that change the shard whose owner knows the first ones.
func TestShardsByLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	r, _ := balancedRelay(t, 64)
	r.Follow(nil, balancedView(60, 64, 1))
	const requests = 1000
	count := func() (c [3]int, jobs []*job) {
		for i := range uint64(requests) {
			j := &job{request: prompt("x", i)}
			c[chosen(g, r, j)]++
			jobs = append(jobs, j)
		}
		return c, jobs
	}
	c, _ := count()
	g.Expect(c[1]).To(gomega.BeZero())
	g.Expect(c[0]).To(gomega.BeNumerically("~", requests/2, requests/10))

	r.Follow(nil, balancedView(60, 64, -1))
	before, _ := count()
	r.loads.Store(loadsOf(r, 0, 9000))
	after, jobs := count()
	g.Expect(after[0]).To(gomega.BeNumerically("~", before[0]/2, requests/15))
	for i, j := range jobs {
		if i%10 == 0 {
			first := j.dispatcher
			g.Expect(chosen(g, r, j)).To(gomega.BeNumerically(">=", 0))
			g.Expect(j.dispatcher).To(gomega.BeIdenticalTo(first))
		}
	}
	r.Follow(nil, balancedView(60, 64, 2))
	for _, j := range jobs {
		was := j.dispatcher
		is := chosen(g, r, j)
		g.Expect(is).NotTo(gomega.Equal(2))
		if was.shard != "llm/2" {
			g.Expect(j.dispatcher).To(gomega.BeIdenticalTo(was))
		}
	}
}

// TestShardLoadInAnswers guards against an owner that keeps its load to itself, and against an instance that states the load
// of a shard that it does not own, of which it knows only its own requests; also against one that places requests for an
// owner without the bounds of LocalPlacementChanged.
func TestShardLoadInAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	r, m := balancedRelay(t, 64)
	r.Follow(nil, balancedView(20, 64, -1))
	d := (*r.services.Load())["llm"].dispatchers[0]
	g.Eventually(func() bool { return d.state.Load().Listed() }).Should(gomega.BeTrue())
	w := value.Work{}.WithParts(prompt("x", 1).Parts).WithOrigin("n2")
	submit := func(id uint64, end hoist.Millis) {
		d.post(assign.Submitted{Work: w.WithId(id).WithEndMs(int64(r.Clock.Now() + end)).WithArrivedMs(int64(r.Clock.Now()))})
	}
	submit(1, hoist.Second)
	g.Eventually(func() int { return len(m.answersOf(value.PlaceVerdictGranted)) }).Should(gomega.Equal(1))
	g.Expect(m.answersOf(value.PlaceVerdictGranted)[0].Load()).To(gomega.Equal(value.ShardLoad{}))

	g.Expect(d.local).To(gomega.BeTrue())
	name := "n1"
	d.owner.Store(&name)
	r.limitRetries((*r.services.Load())["llm"])
	g.Expect(d.local).To(gomega.BeFalse())
	submit(2, hoist.Second)
	g.Eventually(func() int { return len(m.answersOf(value.PlaceVerdictGranted)) }).Should(gomega.Equal(2))
	load := m.answersOf(value.PlaceVerdictGranted)[1].Load()
	g.Expect(load.Servers()).To(gomega.BeEquivalentTo(20))
	g.Expect(load.PendingMs()).To(gomega.BeNumerically(">", 0))

	d.post(assign.RetryLimitsChanged{})
	for id := uint64(100); len(m.answersOf(value.PlaceVerdictRefused)) == 0 && id < 200; id++ {
		d.post(assign.Submitted{Work: w.WithId(id).WithRetry(true).WithEndMs(int64(r.Clock.Now() + hoist.Second))})
		g.Eventually(func() bool { return d.state.Load().Runs(id) || len(m.answersOf(value.PlaceVerdictRefused)) > 0 }).Should(gomega.BeTrue())
	}
	g.Expect(m.answersOf(value.PlaceVerdictRefused)[0].Load().Servers()).To(gomega.BeEquivalentTo(20))
}

// lateOwner is a Mesh whose owner answers only when it is told that the request is withdrawn.
type lateOwner struct {
	relay   *Relay
	verdict value.PlaceVerdict
}

// SendTo answers a note that a request is withdrawn.
func (m *lateOwner) SendTo(name string, b value.DatagramBody) {
	if n, ok := b.(value.PlaceNote); ok && n.Change() == value.PlaceChangeWithdrawn {
		m.relay.Receive(name, value.PlaceAnswer{}.WithShard(n.Shard()).WithId(n.Id()).WithVerdict(m.verdict).WithServer("s1").WithOverload(true))
	}
}

// Submit does nothing.
func (*lateOwner) Submit(member.Event) {}

// TestLateAnswers guards against a late answer of an owner that was given up, in place of the decision of this instance: the
// request would count at a server for ever, and a refused one could have been served.
func TestLateAnswers(t *testing.T) {
	for _, verdict := range []value.PlaceVerdict{value.PlaceVerdictRefused, value.PlaceVerdictGranted} {
		g := gomega.NewWithT(t)
		r, _ := balancedRelay(t, 64)
		r.Mesh = &lateOwner{r, verdict}
		r.Follow(nil, balancedView(20, 64, -1))
		d := (*r.services.Load())["llm"].dispatchers[0]
		g.Eventually(func() bool { return d.state.Load().Listed() }).Should(gomega.BeTrue())
		d.setOwner("o")
		now := int64(r.Clock.Now())
		w := value.Work{}.WithId(7).WithOrigin("n1").WithParts(prompt("x", 1).Parts).WithArrivedMs(now).WithEndMs(now + 10000)
		a := d.place(t.Context(), w)
		g.Expect(a.Verdict()).To(gomega.Equal(value.PlaceVerdictGranted))
		placed, ok := d.state.Load().Work(7)
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(placed.Id()).To(gomega.BeEquivalentTo(7))
		d.finished(7, assign.ResultOK)
		g.Eventually(func() int { return d.state.Load().Running() }).Should(gomega.BeZero())
		g.Expect(d.state.Load().Waiting()).To(gomega.BeZero())
	}
}
