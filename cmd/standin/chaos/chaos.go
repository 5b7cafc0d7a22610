// Package chaos runs forwarding routers as processes, injects random faults from outside, and checks their guarantees
// by what callers and backend servers observe.
package chaos

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"chicoryhoist.example/hoist/cmd/standin/kvsrv"
	"chicoryhoist.example/hoist/cmd/standin/origin"
	"chicoryhoist.example/hoist/cmd/standin/proxy"
)

const (
	// shutdownGrace is the time between SIGTERM and SIGKILL, and revocationBound the time after which a revoked key must
	// no longer be served.
	shutdownGrace   = 5 * time.Second
	revocationBound = 2 * time.Second
	// callerCount is the number of concurrent callers.
	callerCount = 8
	// verificationTime is the time after the recovery during which every request must be served.
	verificationTime = 3 * time.Second
	// startupTime bounds the time from the start of a process to its first statement. A SIGHUP before that ends the
	// process, and the platform restarts it.
	startupTime = 500 * time.Millisecond
	// recoveryTime is the time after the last repair at the end of which every request must be served again.
	recoveryTime = 8 * time.Second
)

// Options are the parameters of one run.
type Options struct {
	Router    string
	Instances int
	Seed      uint64
	Duration  time.Duration
}

// Report holds the counts and the violations of one run.
type Report struct {
	Requests, Served, Refused, Faults, Crashes atomic.Int64
	mu                                         sync.Mutex
	violations                                 []string
}

// Violations returns the violated guarantees.
func (r *Report) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.violations
}

// addViolation records a violated guarantee.
func (r *Report) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// run is the state of one run.
type run struct {
	Options
	*Report
	dir          string
	store        *kvsrv.Store
	log          *origin.Log
	servers      map[string]*origin.Server
	hosts        map[string]*origin.Host
	addresses    map[string]string
	storeAddress string
	routers      []*process
	// proxies are the proxies that get faults: those in front of the faulty servers, between each router and the store, and
	// in front of each router's callers address.
	proxies []*proxy.Proxy
	// recovered is set when the recovery time has passed.
	recovered atomic.Bool
	// revokedAt is the time at which the key was revoked in Unix milliseconds, or zero.
	revokedAt atomic.Int64
	// restarts counts the restarts of routers.
	restarts atomic.Int64
	version  int
	written  written
}

// process is one router process, which faults stop and restart.
type process struct {
	mu           sync.Mutex
	cmd          *exec.Cmd
	url          string
	settingsFile string
	logFile      *os.File
	// stopping is set from a signal that ends the process until its restart; signalledAt is the time of that signal.
	stopping    atomic.Bool
	signalledAt time.Time
	// startedAt is the time of the most recent start.
	startedAt time.Time
	// pauseCount is the number of pauses by SIGSTOP so far, and activePauses the number of those that have not ended.
	pauseCount, activePauses atomic.Int64
}

// Run runs the routers under the faults of one seed.
func Run(ctx context.Context, o Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "chaos")
	if err != nil {
		return nil, eris.Wrap(err, "create run directory")
	}
	r := &run{
		Options: o, Report: &Report{}, dir: dir, store: kvsrv.New(), log: &origin.Log{},
		servers: map[string]*origin.Server{}, hosts: map[string]*origin.Host{}, addresses: map[string]string{},
		written: written{items: map[string][]byte{}},
	}
	stop, err := r.startEnvironment()
	defer stop()
	if err != nil {
		return nil, err
	}
	defer r.stopAll()
	for i := range o.Instances {
		if err := r.startRouter(i); err != nil {
			return nil, err
		}
	}
	r.runCallersAndFaults(ctx)
	r.checkRuns()
	r.checkCrashes()
	if len(r.Violations()) == 0 {
		return r.Report, os.RemoveAll(dir)
	}
	r.addViolation("logs are in %s", dir)
	return r.Report, nil
}

// startEnvironment starts the store and the servers, and publishes the first configuration; the returned function stops
// them.
func (r *run) startEnvironment() (func(), error) {
	var closers []io.Closer
	stop := func() {
		for _, c := range closers {
			_ = c.Close() // The run has ended.
		}
	}
	serve := func(h http.Handler) (*origin.Host, error) {
		host, err := origin.StartHost(h)
		if err == nil {
			closers = append(closers, host)
		}
		return host, err
	}
	var err error
	for _, id := range []string{"llm-1", "llm-2", "llm-3", "app-1", "app-2", "app-3"} {
		s := origin.New(id, r.log, 5*time.Millisecond)
		r.servers[id] = s
		if r.hosts[id], err = serve(s); err != nil {
			return stop, err
		}
		crash, started := r.hosts[id].Crash, func() error { return nil }
		r.addresses[id] = r.hosts[id].Address()
		if !faultFree(id) {
			p, err := r.addProxy(r.addresses[id])
			if err != nil {
				return stop, err
			}
			r.addresses[id], started = p.Address(), p.Restart
			crash = func() {
				p.Stop()
				r.hosts[id].Crash()
			}
		}
		r.hosts[id].OnStart = func() error {
			r.putServer(id, "ready")
			return started()
		}
		s.Behave(origin.Behaviour{Crash: origin.Crash{Deadly: isDeadly, AfterHeader: r.Seed%3 > 0, Stop: crash}})
		r.putServer(id, "ready")
	}
	r.publishRoutes(`"k1","k2"`)
	store, err := serve(r.store.Handler())
	if err != nil {
		return stop, err
	}
	r.storeAddress = store.Address()
	return stop, nil
}

// addProxy starts a proxy in front of the target.
func (r *run) addProxy(target string) (*proxy.Proxy, error) {
	p, err := proxy.New(target)
	if err == nil {
		r.proxies = append(r.proxies, p)
	}
	return p, err
}

// putServer writes the entry of a server to the store.
func (r *run) putServer(id, state string) {
	r.put("servers/"+id, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"x","slots":16,"state":%q,"born":%d}`, id[:3], r.addresses[id], state, r.hosts[id].StartedAt().UnixMilli()))
}

// routesFormat is the format of the configuration; its arguments are the version and the API keys.
const routesFormat = `{"version":%d,"routes":[
 {"name":"s","host":"a.example","prefix":"/stream/","route_type":"streaming","timeout_ms":4000,"target_latency_ms":500,"service":"llm","max_attempts":2,"resumable":true},
 {"name":"f","host":"b.example","prefix":"/stream/","route_type":"streaming","timeout_ms":4000,"target_latency_ms":500,"service":"llm","max_attempts":1},
 {"name":"o","host":"a.example","prefix":"/once/","route_type":"non_idempotent","timeout_ms":2000,"target_latency_ms":200,"service":"app","max_attempts":2},
 {"name":"r","host":"a.example","prefix":"/read/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":200,"service":"app","max_attempts":2}],
 "tenants":[{"name":"north","api_keys":[%s]}]}`

// publishRoutes writes the next version of the configuration, with the API keys.
func (r *run) publishRoutes(keys string) {
	r.version++
	r.put("op/config", fmt.Appendf(nil, routesFormat, r.version, keys))
}

// settingsFormat is the format of the settings of one instance; instances differ in their loopback address.
const settingsFormat = `name = "n%[1]d"
datacentre = "x%[2]d"
region = "r"
[listen]
callers = "127.1.%[9]d.%[1]d:%[3]d"
ready = "127.1.%[9]d.%[1]d:%[4]d"
metrics = "127.1.%[9]d.%[1]d:%[5]d"
[store]
address = "%[6]s"
[peers]
address = "127.1.%[9]d.%[1]d:%[3]d"
seeds = ["127.1.%[9]d.1:1", "127.1.%[9]d.2:1"]
[bounds]
grace_s = %[7]g
revoke_ms = %[8]d
[retries]
share = 0.2
slack = 50
`

// Ports and data centres of the instances.
const (
	callersPort = 27340
	readyPort   = 27341
	metricsPort = 27342
	// datacentres is the number of data centres across which the instances are spread.
	datacentres = 2
)

// networks is the number of loopback networks, so that runs with different seeds can run concurrently.
const networks = 250

// network returns the number of the loopback network that the run uses.
func (r *run) network() int { return int(r.Seed%networks) + 1 }

// startRouter starts the instance with the index behind proxies.
func (r *run) startRouter(i int) error {
	store, err := r.addProxy(r.storeAddress)
	if err != nil {
		return err
	}
	callers, err := r.addProxy(fmt.Sprintf("127.1.%d.%d:%d", r.network(), i+1, callersPort))
	if err != nil {
		return err
	}
	p := &process{url: "http://" + callers.Address(), settingsFile: filepath.Join(r.dir, fmt.Sprintf("n%d.toml", i+1))}
	text := fmt.Sprintf(settingsFormat, i+1, i%datacentres, callersPort, readyPort, metricsPort, store.Address(), shutdownGrace.Seconds(), revocationBound.Milliseconds(), r.network())
	if err := os.WriteFile(p.settingsFile, []byte(text), 0o600); err != nil {
		return eris.Wrap(err, "write settings")
	}
	if p.logFile, err = os.Create(filepath.Join(r.dir, fmt.Sprintf("n%d.log", i+1))); err != nil {
		return eris.Wrap(err, "create log")
	}
	r.routers = append(r.routers, p)
	return p.start(r.Router)
}

// start starts the router process.
func (p *process) start(router string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(router, "forward", "--settings", p.settingsFile)
	p.cmd.Stdout, p.cmd.Stderr = p.logFile, p.logFile
	p.startedAt = time.Now()
	return eris.Wrap(p.cmd.Start(), "start router")
}

// running reports whether the process has had time to install its signal handlers.
func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.startedAt) > startupTime
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // Fails only if the process has ended.
}

// stopAll kills the processes of the run and closes the proxies.
func (r *run) stopAll() {
	for _, p := range r.routers {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		_ = p.cmd.Wait() // It was killed.
		_ = p.logFile.Close()
	}
	for _, p := range r.proxies {
		_ = p.Close() // The run has ended.
	}
}

// runCallersAndFaults sends requests while faults are injected, and then until the recovery and verification times have
// passed.
func (r *run) runCallersAndFaults(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.Duration+recoveryTime+verificationTime)
	defer cancel()
	var group sync.WaitGroup
	for i := range callerCount {
		group.Go(func() { r.runCaller(ctx, i) })
	}
	faults, stop := context.WithTimeout(ctx, r.Duration)
	defer stop()
	for i := range r.routers {
		group.Go(func() { r.runDeadlyCaller(faults, i) })
	}
	r.injectFaults(faults)
	sleep(ctx, recoveryTime)
	r.recovered.Store(true)
	group.Wait()
}

// checkRuns checks the guarantees that need the complete log of runs.
func (r *run) checkRuns() {
	runs := map[string]int{}
	for _, x := range r.log.Runs("") {
		runs[x.ID]++
		if x.Key != "" {
			r.addViolation("API key was forwarded with request %s", x.ID)
		}
	}
	for id, n := range runs {
		if n > 1 && (id[0] == 'o' || id[0] == 'f') {
			r.addViolation("request %s ran %d times", id, n)
		}
	}
}

// randomStream returns a random number generator that depends on the seed and the stream only.
func (r *run) randomStream(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(r.Seed, stream)) }
