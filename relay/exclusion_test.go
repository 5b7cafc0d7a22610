package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/feed"
	"chicoryhoist.example/hoist/http1"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/platform"
	"chicoryhoist.example/hoist/value"
)

// fixedSource is a store whose content never changes.
type fixedSource []value.FeedRecord

// List implements feed.Source.
func (s fixedSource) List(context.Context) (feed.Changes, error) {
	return feed.Changes{Records: s, Revision: int64(len(s))}, nil
}

// Watch implements feed.Source.
func (s fixedSource) Watch(ctx context.Context, after int64, _ hoist.Millis) (feed.Changes, error) {
	<-ctx.Done()
	return feed.Changes{}, ctx.Err()
}

// unawareOwner is the owner of every shard. It knows of no evacuation and no region, and grants the first of its servers that
// the request does not avoid.
type unawareOwner struct {
	relay   *Relay
	servers []string
	// onAsk is called for each placement request if it is not nil.
	onAsk func()
	mu    sync.Mutex
	asks  []value.Work
}

// SendTo implements Mesh.
func (o *unawareOwner) SendTo(name string, b value.DatagramBody) {
	ask, ok := b.(value.PlaceAsk)
	if !ok {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asks = append(o.asks, ask.Work())
	if o.onAsk != nil {
		o.onAsk()
	}
	a := value.PlaceAnswer{}.WithShard(ask.Shard()).WithId(ask.Work().Id()).WithVerdict(value.PlaceVerdictRefused)
	avoid := slices.Collect(ask.Work().Avoid().All())
	for _, s := range o.servers {
		if !slices.Contains(avoid, s) {
			a = a.WithVerdict(value.PlaceVerdictGranted).WithServer(s)
			break
		}
	}
	go o.relay.Receive(name, a)
}

// Submit implements Mesh.
func (o *unawareOwner) Submit(member.Event) {}

// answer is a ResponseWriter that keeps the response.
type answer struct {
	status  int
	body    strings.Builder
	refusal LocalError
}

func (a *answer) Start(status int, _ http.Header, _ int64) { a.status = status }

func (a *answer) Write(b []byte) error {
	_, err := a.body.Write(b)
	return err
}

func (a *answer) Refuse(e LocalError) { a.refusal = e }

func (a *answer) End() {}

// startServer starts a backend server that answers with its ID, and returns its record in the data centre.
func startServer(t *testing.T, id, datacentre string) value.FeedRecord {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d := platform.Dialect()
		w.Header().Set(d.RequestId(), r.Header.Get(d.RequestId()))
		w.Header().Set(d.Seal(), id)
		_, _ = io.WriteString(w, id)
	}))
	t.Cleanup(s.Close)
	return value.FeedRecord{}.WithKey("s/" + id).WithRevision(1).WithBody(value.BackendServer{}.WithId(id).WithService("app").
		WithAddress(s.Listener.Addr().String()).WithDatacentre(datacentre).WithSlots(8))
}

// evacuate returns the record of the evacuation of a data centre.
func evacuate(datacentre string) value.FeedRecord {
	return value.FeedRecord{}.WithKey("e/" + datacentre).WithRevision(2).WithBody(value.Evacuation{}.WithDatacentre(datacentre))
}

// TestUnawareOwner guards against requests at servers that the sender knows to be excluded, granted by an owner that has not
// learned of the evacuation; against a charge to the retry budget for placing them again; and against an answer that
// does not give the reason when all servers are excluded.
func TestUnawareOwner(t *testing.T) {
	for name, c := range map[string]struct {
		evacuated       []string
		route, tenant   []string
		server, refusal string
		asks            int
	}{
		"nothing excluded":                  {server: "a1", asks: 1},
		"one data centre evacuated":         {evacuated: []string{"x"}, server: "b1", asks: 2},
		"two data centres evacuated":        {evacuated: []string{"x", "y"}, server: "c1", asks: 2},
		"all data centres evacuated":        {evacuated: []string{"x", "y", "z"}, refusal: "excluded", asks: 2},
		"region of the route":               {route: []string{"south"}, server: "c1", asks: 2},
		"region of the workspace":           {tenant: []string{"south"}, server: "c1", asks: 2},
		"regions of both":                   {route: []string{"north", "south"}, tenant: []string{"south"}, server: "c1", asks: 2},
		"regions that have nothing common":  {route: []string{"north"}, tenant: []string{"south"}, refusal: "excluded"},
		"region and evacuation":             {evacuated: []string{"x"}, route: []string{"north"}, server: "b1", asks: 2},
		"only region evacuated":             {evacuated: []string{"z"}, route: []string{"south"}, refusal: "excluded", asks: 2},
		"region without any server":         {route: []string{"west"}, refusal: "excluded", asks: 2},
		"evacuation of another data centre": {evacuated: []string{"w"}, server: "a1", asks: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			target := value.RouteTarget{}.WithService("app").WithWeight(1)
			table := value.RouteTable{}.WithVersion(1).WithKeyless(c.tenant == nil).
				WithRoutes(value.ListOf(value.Route{}.WithName("r").WithHost("a").WithPrefix("/").WithTargets(value.ListOf(target)).
					WithAttempts(1).WithKind(value.RouteKindOnce).WithRegions(value.ListOf(c.route...)))).
				WithHolders(value.ListOf(value.KeyHolder{}.WithName("t").WithKeys(value.ListOf("k")).WithRegions(value.ListOf(c.tenant...))))
			content := fixedSource{
				value.FeedRecord{}.WithKey("table").WithRevision(1).WithBody(table),
				startServer(t, "a1", "x"), startServer(t, "a2", "x"), startServer(t, "b1", "y"), startServer(t, "c1", "z"),
			}
			for _, d := range c.evacuated {
				content = append(content, evacuate(d))
			}
			owner := &unawareOwner{servers: []string{"a1", "a2", "b1", "c1"}}
			owner.relay = startRelay(t, content, owner, hoist.NewBootClock(), 0)
			request := requestAt(owner.relay.Clock.Now())
			if c.tenant != nil {
				request.Key = "k"
			}
			a := &answer{}
			owner.relay.Serve(t.Context(), request, a)

			g.Expect(a.body.String()).To(gomega.Equal(c.server))
			if c.refusal != "" {
				g.Expect(LocalErrorName(a.refusal)).To(gomega.Equal(c.refusal))
			}
			g.Expect(owner.asks).To(gomega.HaveLen(c.asks))
			for _, w := range owner.asks {
				g.Expect(w.Retry()).To(gomega.BeFalse())
			}
		})
	}
}

// requestAt returns a request that arrived at the time.
func requestAt(now hoist.Millis) Request {
	return Request{
		ID: "1", Method: http.MethodGet, Target: "/", Path: "/", Host: "a", Arrived: now, Timeout: 5 * hoist.Second,
		Header: http.Header{platform.Dialect().RequestId(): {"1"}},
	}
}

// startRelay starts a relay whose shards are owned by the owner, with the content of the store in force.
func startRelay(t *testing.T, content feed.Source, owner *unawareOwner, clock hoist.Clock, evacuateMs float64) *Relay {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := event.NewLog(logger)
	f := feed.NewFollower(feed.Options{
		Source: content, Clock: hoist.NewBootClock(), Log: log, WatchTimeout: hoist.Second,
		Regions: map[string]string{"x": "north", "y": "north", "z": "south"}, Home: "north",
	})
	r := New(t.Context(), Options{
		Clock: clock, Client: http1.NewClient(clock, http1.Limits{Connect: hoist.Second, Idle: hoist.Second, Header: hoist.Second, UnframedBytes: 1 << 20}),
		Dialect: platform.Dialect(), Follower: f, Log: log, Metrics: NewMetrics(), Mesh: owner,
		Settings: value.ForwardSettings{}.WithName("self").WithDatacentre("x").WithRegion("north").WithBounds(value.ForwardBounds{}.WithRevokeMs(60_000).WithEvacuateMs(evacuateMs)),
	})
	f.OnView = func(old, v *feed.View) {
		r.Follow(old, v)
		name := "owner"
		for _, d := range (*r.services.Load())["app"].dispatchers {
			d.owner.Store(&name)
		}
	}
	go f.Run(t.Context())
	<-f.HasTable()
	gomega.NewWithT(t).Eventually(func() bool { return (*r.services.Load())["app"].dispatchers[0].state.Load().Listed() }).Should(gomega.BeTrue())
	return r
}

// suspendedSource is a store whose next change is seen only once resumed is closed, as by a process that was suspended.
type suspendedSource struct {
	fixedSource
	change  value.FeedRecord
	resumed chan struct{}
}

// Watch implements feed.Source.
func (s suspendedSource) Watch(ctx context.Context, after int64, _ hoist.Millis) (feed.Changes, error) {
	select {
	case <-ctx.Done():
		return feed.Changes{}, ctx.Err()
	case <-s.resumed:
	}
	if r := s.change.Revision(); after < r {
		return feed.Changes{Records: []value.FeedRecord{s.change}, Revision: r}, nil
	}
	time.Sleep(5 * time.Millisecond)
	return feed.Changes{Revision: after}, nil
}

// patientClock is a clock on which a request waits for a newer view as long as it takes, however busy the machine is.
type patientClock struct{ hoist.Clock }

// After implements hoist.Clock.
func (c patientClock) After(d hoist.Millis) <-chan hoist.Millis {
	if d == refreshWait {
		return nil
	}
	return c.Clock.After(d)
}

// staleAge is the age of the view, in milliseconds, above which a request waits for a newer one.
const staleAge = 200

// TestSuspendedInstance guards against requests that an instance sends to an evacuated data centre when it goes on after a
// suspension, before it has heard of the evacuation; and against an instance that serves nothing while the store is away.
func TestSuspendedInstance(t *testing.T) {
	target := value.RouteTarget{}.WithService("app").WithWeight(1)
	table := value.RouteTable{}.WithVersion(1).WithKeyless(true).
		WithRoutes(value.ListOf(value.Route{}.WithName("r").WithHost("a").WithPrefix("/").WithTargets(value.ListOf(target)).WithAttempts(1)))
	for name, c := range map[string]struct {
		clock   hoist.Clock
		resumes bool
		server  string
	}{
		"content arrives":  {patientClock{hoist.NewBootClock()}, true, "b1"},
		"store stays away": {hoist.NewBootClock(), false, "a1"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			source := suspendedSource{
				fixedSource: fixedSource{value.FeedRecord{}.WithKey("table").WithRevision(1).WithBody(table), startServer(t, "a1", "x"), startServer(t, "b1", "y")},
				change:      evacuate("x").WithRevision(9), resumed: make(chan struct{}),
			}
			owner := &unawareOwner{servers: []string{"a1", "b1"}}
			if c.resumes {
				owner.onAsk = sync.OnceFunc(func() { close(source.resumed) })
			}
			owner.relay = startRelay(t, source, owner, c.clock, 2*staleAge)
			g.Eventually(func() bool { return owner.relay.Follower.View().Age(c.clock.Now()) > staleAge }).Should(gomega.BeTrue())
			for range 2 {
				a := &answer{}
				owner.relay.Serve(t.Context(), requestAt(c.clock.Now()), a)
				g.Expect(a.body.String()).To(gomega.Equal(c.server))
			}
		})
	}
}

// TestSuspendedInstanceRevokedKey guards against a request whose key was revoked while the instance was suspended, and that is
// sent although the view for which it has waited shows the revocation.
func TestSuspendedInstanceRevokedKey(t *testing.T) {
	g := gomega.NewWithT(t)
	target := value.RouteTarget{}.WithService("app").WithWeight(1)
	table := value.RouteTable{}.WithVersion(1).
		WithRoutes(value.ListOf(value.Route{}.WithName("r").WithHost("a").WithPrefix("/").WithTargets(value.ListOf(target)).WithAttempts(1)))
	holder := value.KeyHolder{}.WithName("t").WithKeys(value.ListOf("k"))
	source := suspendedSource{
		fixedSource: fixedSource{value.FeedRecord{}.WithKey("table").WithRevision(1).WithBody(table.WithHolders(value.ListOf(holder))), startServer(t, "a1", "x")},
		change:      value.FeedRecord{}.WithKey("table").WithRevision(9).WithBody(table.WithVersion(2)), resumed: make(chan struct{}),
	}
	owner := &unawareOwner{servers: []string{"a1"}, onAsk: sync.OnceFunc(func() { close(source.resumed) })}
	clock := patientClock{hoist.NewBootClock()}
	owner.relay = startRelay(t, source, owner, clock, 2*staleAge)
	g.Eventually(func() bool { return owner.relay.Follower.View().Age(clock.Now()) > staleAge }).Should(gomega.BeTrue())
	request := requestAt(clock.Now())
	request.Key = "k"
	a := &answer{}
	owner.relay.Serve(t.Context(), request, a)
	g.Expect(a.body.String()).To(gomega.BeEmpty())
	g.Expect(a.refusal).To(gomega.Equal(UnknownKey{}))
}

// TestShardWithoutPermittedServer guards against requests that are refused because all servers of their shard are
// evacuated or outside their regions while another shard has some.
func TestShardWithoutPermittedServer(t *testing.T) {
	g := gomega.NewWithT(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	clock := hoist.NewBootClock()
	r := New(t.Context(), Options{Clock: clock, Client: http1.NewClient(clock, http1.Limits{}), Log: event.NewLog(logger)})
	v := viewOf(40, false)
	var servers []value.BackendServer
	for s := range v.Servers.All() {
		servers = append(servers, s.WithEvacuated(shardIndex(s.Id(), 2) == 0).WithRegion("north"))
	}
	v.Servers = value.ListOf(servers...)
	r.Follow(nil, v)
	s := (*r.services.Load())["llm"]
	g.Expect(s.active).To(gomega.Equal(2))
	g.Eventually(func() bool { return s.dispatchers[1].state.Load().Listed() }).Should(gomega.BeTrue())
	for i := range 20 {
		d := s.dispatcherFor(Request{ID: fmt.Sprint(i)})
		g.Expect(s.permitting(d, value.List[string]{})).To(gomega.BeIdenticalTo(s.dispatchers[1]))
		g.Expect(s.permitting(d, value.ListOf("south"))).To(gomega.BeIdenticalTo(d))
	}
}

// TestShardWithLeavingServers guards against requests that are refused because the only permitted servers of their shard are
// leaving, while another shard has some that are not.
func TestShardWithLeavingServers(t *testing.T) {
	g := gomega.NewWithT(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	clock := hoist.NewBootClock()
	r := New(t.Context(), Options{Clock: clock, Client: http1.NewClient(clock, http1.Limits{}), Log: event.NewLog(logger)})
	v := viewOf(40, false)
	var servers []value.BackendServer
	for i, s := range slices.Collect(v.Servers.All()) {
		first := shardIndex(s.Id(), 2) == 0
		servers = append(servers, s.WithEvacuated(first && i%2 == 0).WithLeaving(first && i%2 != 0))
	}
	v.Servers = value.ListOf(servers...)
	r.Follow(nil, v)
	s := (*r.services.Load())["llm"]
	for _, d := range s.dispatchers {
		g.Eventually(func() bool { return d.state.Load().Listed() }).Should(gomega.BeTrue())
	}
	g.Expect(s.permitting(s.dispatchers[0], value.List[string]{})).To(gomega.BeIdenticalTo(s.dispatchers[1]))
}
