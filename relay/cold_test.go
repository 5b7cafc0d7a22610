package relay

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/assign"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/feed"
	"chicoryhoist.example/hoist/http1"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/platform"
	"chicoryhoist.example/hoist/route"
	"chicoryhoist.example/hoist/value"
)

// sentNotes is a Mesh that keeps the notes that are sent.
type sentNotes struct{ notes chan string }

// SendTo keeps a note with the name of its receiver.
func (m sentNotes) SendTo(name string, b value.DatagramBody) {
	if n, ok := b.(value.PlaceNote); ok {
		m.notes <- fmt.Sprintf("%s: %v %s %d", name, n.Change(), n.Server(), n.ColdMs())
	}
}

// Submit does nothing.
func (sentNotes) Submit(member.Event) {}

// coldRelay returns a relay that follows a view of n servers whose service has the cold rate.
func coldRelay(t *testing.T, n int, rate float64) (*Relay, sentNotes) {
	t.Helper()
	mesh := sentNotes{make(chan string, 16)}
	return coldRelayWith(t, mesh, n, rate), mesh
}

// coldRelayWith returns a relay with the mesh that follows a view of n servers whose service has the cold rate.
func coldRelayWith(t *testing.T, mesh Mesh, n int, rate float64) *Relay {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	clock := hoist.NewBootClock()
	settings := value.ForwardSettings{}.WithName("i").WithBounds(value.ForwardBounds{}.WithColdOverage(1.5).WithColdSlack(5))
	r := New(t.Context(), Options{
		Clock: clock, Client: http1.NewClient(clock, http1.Limits{}), Log: event.NewLog(logger), Mesh: mesh, Settings: settings, Dialect: platform.Dialect(),
	})
	r.Follow(nil, coldView(n, rate))
	return r
}

// coldView returns a view of n servers whose service has the cold rate.
func coldView(n int, rate float64) *feed.View {
	v := viewOf(n, false)
	target := value.Route{}.WithHost("a").WithPrefix("/").WithTargets(value.ListOf(value.RouteTarget{}.WithService("llm").WithWeight(1)))
	spec := value.ServiceSpec{}.WithName("llm").WithColdRate(rate).WithColdStartMs(60000)
	v.Table = route.NewTable(value.RouteTable{}.WithRoutes(value.ListOf(target)).WithServices(value.ListOf(spec)))
	return v
}

// shardOf returns the dispatcher of a shard, once its state has learned its servers.
func shardOf(g *gomega.WithT, r *Relay, i int) *dispatcher {
	d := (*r.services.Load())["llm"].dispatchers[i]
	g.Eventually(func() bool { return d.state.Load().Listed() }).Should(gomega.BeTrue())
	return d
}

// Guards against a cold server of which the owner does not hear: a response that states its cold time, a refused connection and
// a confirmed crash; and against notes about what the owner knows.
func TestColdNotes(t *testing.T) {
	g := gomega.NewWithT(t)
	r, mesh := coldRelay(t, 8, 17)
	d := shardOf(g, r, 0)
	d.setOwner("o")
	r.limitCold((*r.services.Load())["llm"])
	s, _ := d.state.Load().Server("s1")
	j := &job{Relay: r, dispatcher: d}
	response := func(status int, cold string) *http1.Response {
		return &http1.Response{Status: status, Header: http.Header{r.Dialect.Cold(): {cold}}}
	}
	j.readNotices(s, response(http.StatusMisdirectedRequest, "4000"))
	j.readNotices(s, response(http.StatusOK, "none"))
	j.readNotices(s, response(http.StatusOK, "0"))
	j.readNotices(s, response(http.StatusOK, "4000"))
	g.Expect(mesh.notes).To(gomega.Receive(gomega.Equal("o: cold s1 4000")))
	g.Eventually(func() hoist.Millis { return d.state.Load().ColdFor("s1", d.clock.Now()) }).Should(gomega.BeNumerically(">", 0))
	j.readNotices(s, response(http.StatusOK, "4000"))
	g.Expect(mesh.notes).NotTo(gomega.Receive())

	d.down(s)
	g.Expect(mesh.notes).To(gomega.Receive(gomega.Equal("o: down s1 0")))
	d.crashed(s, nil)
	g.Expect(mesh.notes).To(gomega.Receive(gomega.Equal("o: down s1 0")))
}

// Guards against an owner that does not act on what others have seen of a server, or that depends on a single one of the two
// messages about a crash.
func TestColdOwner(t *testing.T) {
	for name, b := range map[string]value.DatagramBody{
		"cold":  value.PlaceNote{}.WithChange(value.PlaceChangeCold).WithServer("s1").WithColdMs(3000),
		"down":  value.PlaceNote{}.WithChange(value.PlaceChangeDown).WithServer("s1"),
		"crash": value.PlaceCrash{}.WithServer("s1").WithBorn(1),
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r, _ := coldRelay(t, 8, 17)
			d := shardOf(g, r, 0)
			d.setOwner("i")
			d.handleMessage("n", b)
			g.Eventually(r.Cold).Should(gomega.Equal(1))
			g.Expect(d.state.Load().ColdFor("s1", d.clock.Now())).To(gomega.BeNumerically(">", 0))
		})
	}
}

// Guards against notes and limits in deployments whose servers are never cold.
func TestNeverCold(t *testing.T) {
	g := gomega.NewWithT(t)
	r, mesh := coldRelay(t, 8, 0)
	d := shardOf(g, r, 0)
	d.setOwner("o")
	s, _ := d.state.Load().Server("s1")
	d.cold(s, 4000)
	d.down(s)
	g.Expect(mesh.notes).NotTo(gomega.Receive())
	g.Expect(d.coldLimits).To(gomega.BeZero())
}

// Guards against servers that count as cold because their shard has changed, and against new ones that do not.
func TestMovedServers(t *testing.T) {
	g := gomega.NewWithT(t)
	old, v := coldView(40, 17), coldView(80, 17)
	r, _ := coldRelay(t, 40, 17)
	shardOf(g, r, 1)
	r.Follow(old, v)
	dispatchers := (*r.services.Load())["llm"].dispatchers
	lists := divide(v.Servers, len(dispatchers))
	g.Expect(dispatchers).To(gomega.HaveLen(3))
	known := keptServers(old, v)
	// The third shard is new and takes its servers by their entries.
	for i, d := range dispatchers[:2] {
		for _, s := range lists[i] {
			g.Eventually(func() bool { _, ok := d.state.Load().Server(s.Id()); return ok }).Should(gomega.BeTrue(), s.Id())
			g.Expect(d.state.Load().ColdFor(s.Id(), r.Clock.Now()) > 0).To(gomega.Equal(!known[s.Id()]), s.Id())
		}
	}
}

// Guards against limits of an owner at an instance that does not own the shard, and the other way round.
func TestColdLimitsByOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	r, _ := coldRelay(t, 8, 17)
	s := (*r.services.Load())["llm"]
	d := shardOf(g, r, 0)
	g.Expect(d.coldLimits).To(gomega.Equal(assign.LocalColdLimits(s.spec, 1.5, 5, 0, 1)))
	d.setOwner("i")
	r.limitCold(s)
	g.Expect(d.coldLimits).To(gomega.Equal(assign.OwnerColdLimits(s.spec, 1.5, 5)))
}

// askedOwner is a Mesh that grants the server s1 to each placement request.
type askedOwner struct{ relay *Relay }

// SendTo grants a placement request.
func (m *askedOwner) SendTo(name string, b value.DatagramBody) {
	if a, ok := b.(value.PlaceAsk); ok {
		m.relay.Receive(name, value.PlaceAnswer{}.WithShard(a.Shard()).WithId(a.Work().Id()).WithVerdict(value.PlaceVerdictGranted).WithServer("s1"))
	}
}

// Submit does nothing.
func (*askedOwner) Submit(member.Event) {}

// Guards against a request that no owner could place at first, and that waits here until its deadline because this instance may
// place nothing at cold servers, although the owner can be reached again.
func TestHeldBackReturnsToOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	mesh := &askedOwner{}
	r := coldRelayWith(t, mesh, 2, 17)
	mesh.relay = r
	d := shardOf(g, r, 0)
	// One of 63 instances may place less than one request in 10 s.
	d.post(assign.ColdLimitsChanged{Limits: assign.LocalColdLimits((*r.services.Load())["llm"].spec, 1.5, 5, 0, 63)})
	for s := range d.state.Load().Servers() {
		d.post(assign.ColdReported{Server: s.Id(), Left: hoist.Minute})
	}
	now := d.clock.Now()
	w := value.Work{}.WithId(7).WithOrigin("i").WithArrivedMs(int64(now)).WithEndMs(int64(now + 10*hoist.Second))
	placed := make(chan value.PlaceAnswer, 1)
	go func() { placed <- d.place(t.Context(), w) }()
	g.Eventually(r.HeldBack).Should(gomega.Equal(1))
	d.setOwner("o")
	g.Eventually(placed).WithTimeout(5 * time.Second).Should(gomega.Receive(gomega.HaveField("Server()", "s1")))
	g.Eventually(r.HeldBack).Should(gomega.BeZero())
	g.Eventually(func() bool { return d.state.Load().Runs(7) }).Should(gomega.BeTrue())
}
