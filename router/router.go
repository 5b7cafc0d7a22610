// Package router assembles one router process from its components and runs it until it is drained.
package router

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/accept"
	"chicoryhoist.example/hoist/cfgsvc"
	"chicoryhoist.example/hoist/engine"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/front"
	"chicoryhoist.example/hoist/gate"
	"chicoryhoist.example/hoist/intake"
	"chicoryhoist.example/hoist/invar"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/metric"
	"chicoryhoist.example/hoist/peer"
	"chicoryhoist.example/hoist/value"
)

// drainPollInterval is the interval at which a draining router checks whether its last request has ended.
const drainPollInterval = 50 * hoist.Millis(1)

// Router is one router process.
type Router struct {
	settings    value.Settings
	clock       hoist.Clock
	log         *event.Log
	incarnation uint64
	metrics     *metric.Set
	client      *engine.Client
	platform    *cfgsvc.Client
	gateway     *gate.Gateway
	dispatcher  *dispatcher
	fleet       *fleet
	config      *configuration
	calls       *calls
	guard       *guard
	quotas      *quotas
	draining    atomic.Bool
	// platformResponseAt is the time of the last response of the platform.
	platformResponseAt atomic.Int64
	startedAt          hoist.Millis
	stopping           chan struct{}
	stopOnce           sync.Once
	workers            sync.WaitGroup
}

// newIncarnation returns a number that is higher than that of an earlier process of the same instance. Random bits
// distinguish two processes that start in the same millisecond.
func newIncarnation(now hoist.Millis) uint64 {
	const randomBits = 12
	return uint64(now)<<randomBits | uint64(rand.N(1<<randomBits))
}

// New assembles a router from its settings.
func New(settings value.Settings, logger *logrus.Logger) (*Router, error) {
	i := do.New()
	do.ProvideValue(i, settings)
	do.ProvideValue(i, event.NewLog(logger))
	do.Provide(i, func(do.Injector) (hoist.Clock, error) { return hoist.NewSystemClock(), nil })
	do.Provide(i, func(do.Injector) (*metric.Set, error) { return metric.New(), nil })
	do.Provide(i, provideClient)
	do.Provide(i, provideRouter)
	r, err := do.Invoke[*Router](i)
	return r, eris.Wrap(err, "assemble router")
}

// provideClient returns the client of the backend servers.
func provideClient(i do.Injector) (*engine.Client, error) {
	s := do.MustInvoke[value.Settings](i)
	t := s.Timing()
	return engine.NewClient(do.MustInvoke[hoist.Clock](i), engine.Limits{
		Connect:    hoist.Millis(t.ConnectMs()),
		FirstFrame: hoist.Millis(t.FirstMs()),
		Stall:      hoist.Millis(t.StallMs()),
		MaxBody:    s.Input().BodyBytes(),
	}), nil
}

// provideRouter returns the router with the components that refer to one another.
func provideRouter(i do.Injector) (*Router, error) {
	settings := do.MustInvoke[value.Settings](i)
	clock := do.MustInvoke[hoist.Clock](i)
	r := &Router{
		settings:    settings,
		clock:       clock,
		log:         do.MustInvoke[*event.Log](i),
		metrics:     do.MustInvoke[*metric.Set](i),
		client:      do.MustInvoke[*engine.Client](i),
		platform:    cfgsvc.NewClient(settings.Platform().Url()),
		incarnation: newIncarnation(clock.Now()),
		startedAt:   clock.Now(),
		stopping:    make(chan struct{}),
	}
	r.config = newConfiguration(r)
	r.fleet = newFleet(r)
	r.dispatcher = newDispatcher(r)
	r.calls = newCalls(r)
	r.guard = newGuard(r)
	r.quotas = newQuotas(r)
	r.gateway = gate.New(clock, r.client, r.dispatcher, r.incarnation)
	r.client.OnForeign = func(server string) { r.log.Write(event.ForeignFrame, logrus.Fields{"server": server}) }
	r.exportMetrics()
	return r, nil
}

// exportMetrics registers the metrics whose values the components hold.
func (r *Router) exportMetrics() {
	r.metrics.RegisterGauge("requests_in_progress", "Requests in progress in this process.",
		func() float64 { return float64(r.gateway.Active()) })
	r.metrics.RegisterGauge("generation", "Generation of the configuration in force.",
		func() float64 { return float64(r.config.version().Generation) })
	r.metrics.RegisterCounter("foreign_frames_total", "Frames of other requests that were dropped.",
		func() float64 { return float64(r.client.Foreign.Load()) })
	r.metrics.RegisterCounter("stale_frames_total", "Frames and messages of attempts that were no longer in progress.",
		func() float64 { return float64(r.gateway.Stale.Load()) })
}

// Run serves until ctx ends or Drain is called, and then drains. It also drains if a listener fails, and returns the
// error.
func (r *Router) Run(ctx context.Context) error {
	detach := invar.Attach(func(c invar.Invariant, detail string) {
		r.log.Write(event.InvariantViolated, logrus.Fields{"check": c.String(), "title": c.Title(), "detail": detail})
	})
	defer detach()
	workCtx, stop := context.WithCancel(context.Background())
	defer stop()
	r.dispatcher.context = workCtx
	servers, err := r.listen()
	if err != nil {
		return err
	}
	r.log.Write(event.Started, logrus.Fields{"instance": r.settings.Name(), "incarnation": r.incarnation})
	r.spawn(func() { r.fleet.run(workCtx) })
	r.spawn(func() { r.followInstances(workCtx) })
	select {
	case <-ctx.Done():
	case <-r.stopping:
	case err = <-servers.failed:
		r.log.Write(event.ListenerFailed, logrus.Fields{"error": err.Error()})
	}
	r.drain()
	servers.stop(r)
	stop()
	r.workers.Wait()
	r.client.Close()
	r.platform.Close()
	r.log.Write(event.Stopped, nil)
	return err
}

// spawn runs f in a goroutine that Run waits for.
func (r *Router) spawn(f func()) { r.workers.Go(f) }

// drain rejects new requests and waits until the requests in progress have ended or the drain time has passed.
func (r *Router) drain() {
	r.draining.Store(true)
	r.log.Write(event.Drain, logrus.Fields{"requests": r.gateway.Active()})
	r.fleet.post(member.DrainStarted{})
	deadline := r.clock.Now() + hoist.Millis(r.settings.Timing().DrainMs())
	for r.gateway.Active() > 0 || r.dispatcher.hasQueued() {
		if r.clock.Now() >= deadline {
			r.log.Write(event.DrainTimeout, logrus.Fields{"requests": r.gateway.Active()})
			invar.Report(invar.GracefulShutdown, "drain time ran out with requests in progress")
			return
		}
		<-r.clock.After(drainPollInterval)
	}
}

// listeners are the running servers of a router.
type listeners struct {
	callers *http.Server
	admin   *http.Server
	peers   *peer.Server
	failed  chan error
}

// listen opens the three listeners and starts their servers.
func (r *Router) listen() (*listeners, error) {
	callers, err := net.Listen("tcp", r.settings.Listen().Callers())
	if err != nil {
		return nil, eris.Wrap(err, "listen for callers")
	}
	admin, err := net.Listen("tcp", r.settings.Listen().Admin())
	if err != nil {
		return nil, eris.Wrap(err, "listen for administration")
	}
	peers, err := net.Listen("tcp", r.settings.Listen().Peers())
	if err != nil {
		return nil, eris.Wrap(err, "listen for peers")
	}
	idle := hoist.Millis(r.settings.Input().IdleMs()).Duration()
	account := front.NewAccount(r.clock, r.settings)
	bounded := accept.Listen(callers, accept.Options{Clock: r.clock, Connections: r.settings.Input().Connections(), Account: account})
	l := &listeners{
		callers: &http.Server{
			Handler: front.New(front.Options{
				Account: account,
				Router:  r, Gateway: r.gateway, Services: r.calls, Clock: r.clock, Metrics: r.metrics,
				Settings: r.settings, Incarnation: r.incarnation,
			}),
			ReadTimeout:    idle,
			IdleTimeout:    idle,
			MaxHeaderBytes: int(r.settings.Input().HeaderBytes()),
		},
		admin:  &http.Server{Handler: r.adminHandler(), ReadTimeout: idle, MaxHeaderBytes: int(r.settings.Input().HeaderBytes())},
		peers:  peer.NewServer(r.dispatcher),
		failed: make(chan error, 3),
	}
	accept.Attach(l.callers)
	r.exportLimits(account, bounded)
	r.dispatcher.server = l.peers
	r.spawn(func() { l.reportFailure(l.callers.Serve(bounded)) })
	r.spawn(func() { l.reportFailure(l.admin.Serve(admin)) })
	r.spawn(func() { l.reportFailure(l.peers.Serve(peers)) })
	return l, nil
}

// exportLimits registers the counters of refused callers.
func (r *Router) exportLimits(a *intake.Account, l *accept.Listener) {
	r.metrics.RegisterGauge("caller_memory_bytes", "Bytes of request bodies and long headers that are held.",
		func() float64 { return float64(a.State().Used()) })
	r.metrics.RegisterCounter("bodies_refused_total", "Request bodies refused or dropped because the memory for callers is exhausted.",
		func() float64 { return float64(a.Full.Load() + a.AddressFull.Load() + a.Displaced.Load()) })
	r.metrics.RegisterCounter("connections_evicted_total", "Idle connections of callers that were closed for new ones.",
		func() float64 { return float64(l.Evicted.Load()) })
}

// reportFailure reports the error of a server that has ended unexpectedly.
func (l *listeners) reportFailure(err error) {
	if err != nil && !eris.Is(err, http.ErrServerClosed) {
		l.failed <- err
	}
}

// stopTimeout bounds the closing of connections after the last request has ended.
const stopTimeout = 5 * hoist.Second

// stop closes the listeners after the router has drained.
func (l *listeners) stop(r *Router) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout.Duration())
	defer cancel()
	_ = l.callers.Shutdown(ctx)
	r.dispatcher.peers.Close()
	l.peers.Stop(ctx)
	_ = l.admin.Shutdown(ctx)
}
