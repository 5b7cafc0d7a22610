// Package daemon assembles the process of a forwarding router and runs it until it is drained.
package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/accept"
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
	// connectTimeout bounds the opening of a connection to a backend server; it allows for one lost packet.
	connectTimeout = 500 * hoist.Millis(1)
	// idleTimeout is the idle timeout of a connection to a backend server that announces none.
	idleTimeout = 4 * hoist.Second
	// responseHeaderTimeout bounds the time in which a response header arrives; it allows for a few retransmissions.
	responseHeaderTimeout = 3 * hoist.Second
	// maxUnframedBytes bounds a response that states no length, so that one without end is noticed.
	maxUnframedBytes = 64 << 20
	// watchDivisor divides the revocation bound into the timeout of one watch, so that the store view is confirmed
	// several times within the bound.
	watchDivisor = 8
	// startPatience is the time that a starting instance waits for the content of others, and bootstrapPatience the time while
	// the whole fleet starts for the first time and no caller waits. The other instances are known after one heartbeat of them.
	startPatience     = 400 * hoist.Millis(1)
	bootstrapPatience = 3 * hoist.Second
	// callerIdleTimeout bounds the time for which a caller's connection may be idle; the callers of the platform
	// close theirs earlier.
	callerIdleTimeout = 2 * hoist.Minute
	// headerTimeout bounds the time in which a caller must send the header of a request.
	headerTimeout = 10 * hoist.Second
	// operatorConnections bounds the connections for readiness checks, and those for metrics.
	operatorConnections = 32
	// drainPollInterval is the interval at which a draining process checks whether its last request has ended.
	drainPollInterval = 20 * hoist.Millis(1)
	// minDrainTime is the time for which a draining process continues to accept requests, so that the load balancer
	// notices the drain and the callers move to other instances.
	minDrainTime = 2500 * hoist.Millis(1)
	// exitMargin is the time before the kill by which a draining process ends.
	exitMargin = 300 * hoist.Millis(1)
	// heapLimitTenths is the memory limit of the Go runtime, in tenths of the memory of the instance.
	heapLimitTenths = 7
	// maxCores and maxMemoryMib bound the configured resources to what the Go runtime accepts.
	maxCores     = 1024
	maxMemoryMib = 1 << 40
	bytesPerMib  = 1 << 20
	// gcPercent is the heap growth between two garbage collections; the heap is small, so more frequent collections
	// cost little.
	gcPercent = 50
)

// Process is the process of one forwarding router.
type Process struct {
	settings value.ForwardSettings
	clock    hoist.Clock
	log      *event.Log
	client   *http1.Client
	follower *feed.Follower
	mesh     *mesh.Mesh
	relay    *relay.Relay
	edge     *edge.Server
	limits   *edge.Limits
	metrics  *relay.Metrics
	stop     context.CancelFunc
}

// Options are the dependencies of a process that are determined by the platform and the command line.
type Options struct {
	Settings value.ForwardSettings
	Logger   *logrus.Logger
	Source   feed.Source
	Dialect  value.Dialect
}

// New assembles a process and starts its background goroutines.
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

// provideFollower returns the follower of the store.
func provideFollower(i do.Injector) (*feed.Follower, error) {
	o := do.MustInvoke[Options](i)
	patience := startPatience
	if o.Settings.Bootstrap() {
		patience = bootstrapPatience
	}
	return feed.NewFollower(feed.Options{
		StartPatience: patience, Source: o.Source, Clock: do.MustInvoke[hoist.Clock](i), Log: do.MustInvoke[*event.Log](i),
		WatchTimeout: watchTimeout(o.Settings.Bounds()), Mesh: do.MustInvoke[*mesh.Mesh](i),
		Regions: regionsOf(o.Settings), Home: o.Settings.Region(),
	}), nil
}

// watchTimeout returns the timeout of one watch, which follows from the shorter one of the times within which changes must be
// in force.
func watchTimeout(b value.ForwardBounds) hoist.Millis {
	bound := b.RevokeMs()
	if b.EvacuateMs() > 0 {
		bound = min(bound, b.EvacuateMs())
	}
	return hoist.MillisOfFloat(bound) / watchDivisor
}

// regionsOf returns the regions of the data centres in the settings.
func regionsOf(s value.ForwardSettings) map[string]string {
	regions := map[string]string{}
	for d := range s.Datacentres().All() {
		regions[d.Name()] = d.Region()
	}
	return regions
}

// provideProcess returns the process and connects the components that refer to one another.
func provideProcess(i do.Injector) (*Process, error) {
	o, clock := do.MustInvoke[Options](i), do.MustInvoke[hoist.Clock](i)
	ctx, stop := context.WithCancel(context.Background())
	p := &Process{
		settings: o.Settings, clock: clock, log: do.MustInvoke[*event.Log](i), stop: stop, metrics: relay.NewMetrics(),
		client: http1.NewClient(clock, http1.Limits{
			Connect: connectTimeout, Idle: idleTimeout, Header: responseHeaderTimeout, UnframedBytes: maxUnframedBytes,
		}),
		follower: do.MustInvoke[*feed.Follower](i),
	}
	m := do.MustInvoke[*mesh.Mesh](i)
	p.mesh = m
	p.relay = relay.New(ctx, relay.Options{
		Clock: clock, Client: p.client, Dialect: o.Dialect, Follower: p.follower, Settings: o.Settings, Log: p.log, Metrics: p.metrics, Mesh: m,
	})
	p.follower.OnView = p.relay.Follow
	m.OnMessage = p.handleMessage
	m.OnItems = p.relay.Deliver
	m.Quarantined, m.OnQuarantined = p.relay.Quarantined, p.relay.AddQuarantined
	m.OnView = p.relay.UpdateMembers
	p.limits = edge.NewLimits(clock, o.Settings)
	p.edge = edge.New(p.relay, p.limits)
	p.exportMetrics()
	go p.follower.Run(ctx)
	go m.Run(ctx)
	return p, nil
}

// provideMesh opens the datagram socket for messages between instances.
func provideMesh(i do.Injector) (*mesh.Mesh, error) {
	o := do.MustInvoke[Options](i)
	return mesh.New(mesh.Options{Clock: do.MustInvoke[hoist.Clock](i), Log: do.MustInvoke[*event.Log](i), Settings: o.Settings})
}

// handleMessage dispatches a message of another instance to the component that handles it.
func (p *Process) handleMessage(sender string, _ netip.AddrPort, b mesh.Body) {
	switch b.(type) {
	case value.FeedAsk, value.FeedPart, value.FeedHint:
		p.follower.Receive(sender, b)
	default:
		p.relay.Receive(sender, b)
	}
}

// exportMetrics registers the gauges whose values the components hold.
func (p *Process) exportMetrics() {
	p.metrics.Value("forward_active", "Requests in progress.", func() float64 { return float64(p.relay.Active()) })
	p.metrics.Value("cold_servers", "Cold backend servers of the shards that this instance owns.", func() float64 { return float64(p.relay.Cold()) })
	p.metrics.Value("requests_held_back", "Requests that wait here only because of the limits on cold servers.", func() float64 { return float64(p.relay.HeldBack()) })
	p.metrics.Value("forward_evacuated", "Requests that run at backend servers of evacuated data centres.", func() float64 {
		return float64(p.relay.ActiveEvacuated())
	})
	p.metrics.Value("forward_shard_imbalance", "Largest ratio of the known load of a shard to the mean of its service.", p.relay.Imbalance)
	p.metrics.Value("store_calls", "Calls to the store.", func() float64 { return float64(p.follower.Requests.Load()) })
	p.metrics.Value("store_failures", "Calls to the store without an answer.", func() float64 { return float64(p.follower.Failures.Load()) })
	p.metrics.Value("store_era", "Era of the store that the content in force belongs to.", func() float64 { return float64(p.follower.Position().Era) })
	p.counter("store_lists_start", "List requests to the store without any content.", &p.follower.Lists.Start)
	p.counter("store_lists_compacted", "List requests to the store because its history was gone.", &p.follower.Lists.Compacted)
	p.counter("store_lists_era", "List requests to the store because it had begun a new era.", &p.follower.Lists.Era)
	p.metrics.Value("store_age_seconds", "Age of the newest proof that the store shows nothing newer.", func() float64 {
		return p.follower.View().Age(p.clock.Now()).Duration().Seconds()
	})
	p.metrics.Value("server_connections", "Connections opened to backend servers.", func() float64 { return float64(p.client.Opened.Load()) })
	p.metrics.Value("mesh_datagrams", "Datagrams sent to other instances.", func() float64 { return float64(p.mesh.Sent.Load()) })
	p.metrics.Value("mesh_bytes", "Bytes sent to other instances.", func() float64 { return float64(p.mesh.SentBytes.Load()) })
	p.metrics.Value("mesh_members", "Live instances in the view of this one, itself included.", func() float64 { return float64(len(p.mesh.View().Members())) })
	p.exportLimits()
	p.metrics.Value("foreign_answers", "Answers of other requests that were dropped.", func() float64 { return float64(p.client.Mismatched.Load()) })
}

// exportLimits registers the counters of refused callers.
func (p *Process) exportLimits() {
	l := p.limits
	p.metrics.Value("caller_bytes", "Bytes of request bodies and long headers that are held.", func() float64 { return float64(l.Account.State().Used()) })
	p.counter("bodies_full", "Request bodies refused because the memory for callers is exhausted.", &l.Account.Full)
	p.counter("bodies_address_full", "Request bodies refused because their remote address holds its share of the memory.", &l.Account.AddressFull)
	p.counter("bodies_displaced", "Request bodies dropped to make room for others.", &l.Account.Displaced)
	p.counter("bodies_slow", "Request bodies below the lowest rate.", &l.Slow)
	p.counter("bodies_too_large", "Request bodies above the limit of the configuration.", &l.TooLarge)
	p.counter("bodies_broken", "Request bodies that ended early or were malformed.", &l.Broken)
}

// exportConnections registers the counters of the listener for callers.
func (p *Process) exportConnections(l *accept.Listener) {
	p.metrics.Value("caller_connections", "Open connections of callers.", func() float64 { return float64(l.Count()) })
	p.counter("connections_evicted", "Connections of callers that were idle, or whose header or body was incomplete, and that were closed for new ones.", &l.Evicted)
	p.counter("headers_late", "Connections closed because a request header did not end in time.", &l.Late)
	p.counter("headers_long", "Connections closed because a request header was too long or there was no memory for it.", &l.Long)
}

// counter registers a counter.
func (p *Process) counter(name, help string, n *atomic.Int64) {
	p.metrics.Value(name, help, func() float64 { return float64(n.Load()) })
}

// Tune sets the limits of the Go runtime according to the resources of the instance.
func Tune(r value.ForwardResources) {
	runtime.GOMAXPROCS(int(min(max(r.Cores(), 1), maxCores)))
	debug.SetMemoryLimit(int64(min(r.MemoryMib(), maxMemoryMib) * bytesPerMib * heapLimitTenths / 10))
	debug.SetGCPercent(gcPercent)
}

// Run serves until ctx ends and then drains. It returns an error if a listener fails, in which case it does not
// drain.
func (p *Process) Run(ctx context.Context) error {
	defer p.stop()
	failed := make(chan error, 3)
	l := p.settings.Listen()
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(p.metrics.Registry, promhttp.HandlerOpts{}))
	callers := &http.Server{
		Handler: p.edge, ReadHeaderTimeout: headerTimeout.Duration(), IdleTimeout: callerIdleTimeout.Duration(), MaxHeaderBytes: edge.MaxHeaderBytes,
		ErrorLog: discardLogger(),
	}
	// Late headers are looked for until the end of the drain.
	sweep, endSweep := context.WithCancel(context.Background())
	defer endSweep()
	operators := accept.Options{Clock: p.clock, Connections: operatorConnections}
	for _, s := range []struct {
		address string
		server  *http.Server
		options accept.Options
	}{
		{l.Callers(), callers, accept.Options{Clock: p.clock, Connections: p.limits.Connections, Account: p.limits.Account, Header: p.edge.HeaderLimits}},
		{l.Ready(), &http.Server{Handler: http.HandlerFunc(p.edge.Ready), ReadTimeout: headerTimeout.Duration(), ErrorLog: discardLogger()}, operators},
		{l.Metrics(), &http.Server{Handler: mux, ReadTimeout: headerTimeout.Duration(), ErrorLog: discardLogger()}, operators},
	} {
		n, err := net.Listen("tcp", s.address)
		if err != nil {
			return eris.Wrapf(err, "listen on %s", s.address)
		}
		bounded := accept.Listen(n, s.options)
		accept.Attach(s.server)
		if s.server == callers {
			p.exportConnections(bounded)
			p.edge.Watch(bounded)
			go bounded.Sweep(sweep)
		}
		go func() { failed <- s.server.Serve(bounded) }()
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

// Reload validates the settings file at each signal until ctx ends and logs the findings; changes take effect at the
// next start.
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
		p.log.Write(event.SettingsChecked, nil)
	}
}

// drain continues to serve new requests for minDrainTime, waits for the requests in progress and closes the listeners
// and idle connections. Requests that are still in progress at the end get an error response.
func (p *Process) drain(callers *http.Server) {
	d := p.edge.Drain()
	p.mesh.Submit(member.DrainStarted{})
	p.log.Write(event.Drain, logrus.Fields{"requests": p.relay.Active()})
	deadline := d.Start + hoist.MillisOfSeconds(p.settings.Bounds().GraceS()) - exitMargin
	for now := d.Start; now < deadline; now = <-p.clock.After(drainPollInterval) {
		if now >= d.End {
			p.relay.EndRequests()
		}
		if now-d.Start >= minDrainTime && p.relay.Active() == 0 {
			ctx, cancel := context.WithTimeout(context.Background(), (deadline - now).Duration())
			defer cancel()
			// Shutdown waits for active connections and closes idle ones; an error means that the deadline has passed.
			if err := callers.Shutdown(ctx); err == nil {
				return
			}
		}
	}
	p.log.Write(event.DrainTimeout, logrus.Fields{"requests": p.relay.Active()})
}
