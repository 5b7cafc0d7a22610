// Package daemon assembles one forwarding router process from its parts and runs it until it is drained.
package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/edge"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/feed"
	"chicoryhoist.example/hoist/http1"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/mesh"
	"chicoryhoist.example/hoist/relay"
	"chicoryhoist.example/hoist/value"
)

const (
	// connectTime bounds the opening of a connection to a backend server; it covers one lost packet on the way.
	connectTime = 500 * hoist.Millis(1)
	// idleTime is the time for which an idle connection to a backend server is kept when the server announces none.
	idleTime = 4 * hoist.Second
	// watchPart divides the revocation bound into the wait of one watch, so that a proof is renewed several times within it.
	watchPart = 6
	// callerIdle bounds the time for which a caller's connection may stay idle; callers of the platform keep theirs for less.
	callerIdle = 2 * hoist.Minute
	// headerTime bounds the time in which a caller must send a request's header.
	headerTime = 10 * hoist.Second
	// drainPoll is the interval at which a draining process looks whether its last request has ended.
	drainPoll = 20 * hoist.Millis(1)
	// drainLeast is the time for which a draining process still accepts requests, until the load balancer has noticed and callers have moved.
	drainLeast = 2500 * hoist.Millis(1)
	// exitMargin is the time before the kill at which a draining process ends at the latest.
	exitMargin = 300 * hoist.Millis(1)
	// heapTenths is the part of the memory that the heap may take before the collector works harder, in tenths.
	heapTenths = 7
	// heapGrowth is the growth of the heap between two collections, in percent; the heap is small, so more collections cost little.
	heapGrowth = 50
)

// Process is one forwarding router.
type Process struct {
	settings value.ForwardSettings
	clock    hoist.Clock
	log      *event.Log
	client   *http1.Client
	follower *feed.Follower
	mesh     *mesh.Mesh
	relay    *relay.Relay
	edge     *edge.Server
	metrics  *relay.Metrics
	stop     context.CancelFunc
}

// Options are the parts that depend on the platform and on the command line.
type Options struct {
	Settings value.ForwardSettings
	Logger   *logrus.Logger
	Source   feed.Source
	Dialect  value.Dialect
}

// New assembles a process.
func New(o Options) (*Process, error) {
	i := do.New()
	do.ProvideValue(i, o)
	do.ProvideValue(i, event.NewLog(o.Logger))
	do.Provide(i, func(do.Injector) (hoist.Clock, error) { return hoist.NewBootClock(), nil })
	do.Provide(i, provideMesh)
	do.Provide(i, provideFollower)
	do.Provide(i, provideProcess)
	p, err := do.Invoke[*Process](i)
	return p, eris.Wrap(err, "assemble forwarding router")
}

// provideFollower makes the follower of the store.
func provideFollower(i do.Injector) (*feed.Follower, error) {
	o := do.MustInvoke[Options](i)
	return feed.NewFollower(feed.Options{
		Source: o.Source, Clock: do.MustInvoke[hoist.Clock](i), Log: do.MustInvoke[*event.Log](i),
		WatchTimeout: hoist.Millis(o.Settings.Bounds().RevokeMs()) / watchPart, Mesh: do.MustInvoke[*mesh.Mesh](i),
	}), nil
}

// provideProcess makes the process and the parts that refer to one another.
func provideProcess(i do.Injector) (*Process, error) {
	o, clock := do.MustInvoke[Options](i), do.MustInvoke[hoist.Clock](i)
	ctx, stop := context.WithCancel(context.Background())
	p := &Process{
		settings: o.Settings, clock: clock, log: do.MustInvoke[*event.Log](i), stop: stop, metrics: relay.NewMetrics(),
		client:   http1.NewClient(clock, http1.Limits{Connect: connectTime, Idle: idleTime}),
		follower: do.MustInvoke[*feed.Follower](i),
	}
	m := do.MustInvoke[*mesh.Mesh](i)
	p.mesh = m
	p.relay = relay.New(ctx, relay.Options{
		Clock: clock, Client: p.client, Dialect: o.Dialect, Follower: p.follower, Settings: o.Settings, Log: p.log, Metrics: p.metrics, Mesh: m,
	})
	p.follower.OnView = p.relay.Follow
	m.OnMessage = p.receive
	m.OnItems = p.relay.Deliver
	m.OnView = p.relay.UpdateMembers
	p.edge = edge.New(p.relay)
	p.exportMetrics()
	go p.follower.Run(ctx)
	go m.Run(ctx)
	return p, nil
}

// provideMesh opens the connection to the other instances.
func provideMesh(i do.Injector) (*mesh.Mesh, error) {
	o := do.MustInvoke[Options](i)
	return mesh.New(mesh.Options{Clock: do.MustInvoke[hoist.Clock](i), Log: do.MustInvoke[*event.Log](i), Settings: o.Settings})
}

// receive hands a message of another instance to its part.
func (p *Process) receive(sender string, _ netip.AddrPort, b mesh.Body) {
	switch b.(type) {
	case value.FeedAsk, value.FeedPart, value.FeedHint:
		p.follower.Receive(sender, b)
	default:
		p.relay.Receive(sender, b)
	}
}

// exportMetrics registers the metrics that are read from the parts.
func (p *Process) exportMetrics() {
	p.metrics.Value("forward_active", "Requests in progress.", func() float64 { return float64(p.relay.Active()) })
	p.metrics.Value("store_calls", "Calls to the store.", func() float64 { return float64(p.follower.Requests.Load()) })
	p.metrics.Value("store_failures", "Calls to the store without an answer.", func() float64 { return float64(p.follower.Failures.Load()) })
	p.metrics.Value("store_age_seconds", "Age of the newest proof that the store shows nothing newer.", func() float64 {
		return p.follower.View().Age(p.clock.Now()).Duration().Seconds()
	})
	p.metrics.Value("server_connections", "Connections opened to backend servers.", func() float64 { return float64(p.client.Opened.Load()) })
	p.metrics.Value("mesh_datagrams", "Datagrams sent to other instances.", func() float64 { return float64(p.mesh.Sent.Load()) })
	p.metrics.Value("mesh_bytes", "Bytes sent to other instances.", func() float64 { return float64(p.mesh.SentBytes.Load()) })
	p.metrics.Value("mesh_members", "Live instances in the view of this one, itself included.", func() float64 { return float64(len(p.mesh.View().Members())) })
	p.metrics.Value("foreign_answers", "Answers of other requests that were dropped.", func() float64 { return float64(p.client.Mismatched.Load()) })
}

// Tune sets the limits of the Go runtime from the resources of the instance.
func Tune(r value.ForwardResources) {
	runtime.GOMAXPROCS(int(max(r.Cores(), 1)))
	debug.SetMemoryLimit(r.MemoryMib() << 20 * heapTenths / 10)
	debug.SetGCPercent(heapGrowth)
}

// Run serves until ctx ends, then drains; it returns an error when a listener fails.
func (p *Process) Run(ctx context.Context) error {
	defer p.stop()
	failed := make(chan error, 3)
	l := p.settings.Listen()
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(p.metrics.Registry, promhttp.HandlerOpts{}))
	callers := &http.Server{
		Handler: p.edge, ReadHeaderTimeout: headerTime.Duration(), IdleTimeout: callerIdle.Duration(), MaxHeaderBytes: edge.MaxHeaderBytes,
		ErrorLog: discardLogger(),
	}
	for _, s := range []struct {
		address string
		server  *http.Server
	}{
		{l.Callers(), callers},
		{l.Ready(), &http.Server{Handler: http.HandlerFunc(p.edge.Ready), ReadTimeout: headerTime.Duration(), ErrorLog: discardLogger()}},
		{l.Metrics(), &http.Server{Handler: mux, ReadTimeout: headerTime.Duration(), ErrorLog: discardLogger()}},
	} {
		n, err := net.Listen("tcp", s.address)
		if err != nil {
			return eris.Wrapf(err, "listen on %s", s.address)
		}
		go func() { failed <- s.server.Serve(n) }()
	}
	p.log.Write(event.Started, logrus.Fields{"instance": p.settings.Name(), "datacentre": p.settings.Datacentre()})
	var err error
	select {
	case <-ctx.Done():
		p.drain(callers)
	case err = <-failed:
		p.log.Write(event.ListenerFailed, logrus.Fields{"error": err.Error()})
	}
	p.client.Close()
	p.log.Write(event.Stopped, nil)
	return err
}

// Reload reads the settings file at each signal until ctx ends; what has changed takes effect at the next start.
func (p *Process) Reload(ctx context.Context, signals <-chan os.Signal, file string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		content, err := os.ReadFile(file)
		if err != nil {
			p.log.Write(event.SettingsRejected, logrus.Fields{"error": err.Error()})
			continue
		}
		if _, findings := config.ParseForwardSettings(file, content); len(findings) > 0 {
			p.log.Write(event.SettingsRejected, logrus.Fields{"error": findings.Error()})
			continue
		}
		p.log.Write(event.SettingsReloaded, nil)
	}
}

// drain serves what still arrives, waits for the requests in progress and closes idle connections.
func (p *Process) drain(callers *http.Server) {
	began := p.clock.Now()
	p.edge.Drain()
	p.mesh.Submit(member.DrainStarted{})
	p.log.Write(event.Drain, logrus.Fields{"requests": p.relay.Active()})
	limit := began + hoist.Millis(p.settings.Bounds().GraceMs()) - exitMargin
	for now := began; now < limit; now = <-p.clock.After(drainPoll) {
		if now-began >= drainLeast && p.relay.Active() == 0 {
			ctx, cancel := context.WithTimeout(context.Background(), (limit - now).Duration())
			defer cancel()
			// Shutdown closes idle connections only; an error means that the time is over.
			if err := callers.Shutdown(ctx); err == nil {
				return
			}
		}
	}
	p.log.Write(event.DrainTimeout, logrus.Fields{"requests": p.relay.Active()})
}
