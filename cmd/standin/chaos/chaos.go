// Package chaos runs forwarding routers as processes, injects random faults from outside, and checks their promises
// from what callers and backend servers see.
package chaos

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
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
	// grace is the time between SIGTERM and SIGKILL, and revoke the bound on withdrawn keys.
	grace  = 5 * time.Second
	revoke = 2 * time.Second
	// callers is the number of callers at once.
	callers = 8
	// calm is the time without faults in which every request must be served.
	calm = 3 * time.Second
	// startTime is the time from the start of a process to its first statement at most; a SIGHUP before that ends it,
	// and the platform starts it again.
	startTime = 500 * time.Millisecond
	// settle is the time after the last fault within which every request must be served again.
	settle = 8 * time.Second
)

// Options are those of one run.
type Options struct {
	Router    string
	Instances int
	Seed      uint64
	Duration  time.Duration
}

// Report is what a run has seen.
type Report struct {
	Requests, Served, Refused, Faults atomic.Int64
	mu                                sync.Mutex
	violations                        []string
}

// Violations returns the broken promises.
func (r *Report) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.violations
}

// violate notes a broken promise.
func (r *Report) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// run is one run.
type run struct {
	Options
	*Report
	dir       string
	store     *kvsrv.Store
	log       *origin.Log
	servers   map[string]*origin.Server
	addresses map[string]string
	storeAt   string
	routers   []*process
	// links are the proxies that faults hit: those to the servers, from each router to the store, and from the callers.
	links  []*proxy.Proxy
	calmed atomic.Bool
	// revoked is the time at which the key was withdrawn in Unix milliseconds, or zero.
	revoked atomic.Int64
	version int
}

// process is one router.
type process struct {
	mu   sync.Mutex
	cmd  *exec.Cmd
	url  string
	file string
	logs *os.File
	// down is set from a signal that ends the process until it has started again; signalled is the time of that signal.
	down      atomic.Bool
	signalled time.Time
	// started is the time of the last start.
	started time.Time
	// pauses counts the times for which the process was stopped, and paused those that have not ended.
	pauses, paused atomic.Int64
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "chaos")
	if err != nil {
		return nil, eris.Wrap(err, "folder of the run")
	}
	r := &run{
		Options: o, Report: &Report{}, dir: dir, store: kvsrv.New(), log: &origin.Log{},
		servers: map[string]*origin.Server{}, addresses: map[string]string{},
	}
	stop, err := r.surround()
	defer stop()
	if err != nil {
		return nil, err
	}
	defer r.end()
	for i := range o.Instances {
		if err := r.add(i); err != nil {
			return nil, err
		}
	}
	r.play(ctx)
	r.judge()
	if len(r.Violations()) == 0 {
		return r.Report, os.RemoveAll(dir)
	}
	r.violate("logs are in %s", dir)
	return r.Report, nil
}

// surround starts the store and the servers.
func (r *run) surround() (func(), error) {
	var closers []io.Closer
	stop := func() {
		for _, c := range closers {
			_ = c.Close() // The run is over.
		}
	}
	serve := func(h http.Handler) (string, error) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", eris.Wrap(err, "listen")
		}
		s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
		closers = append(closers, s)
		go func() { _ = s.Serve(l) }() // Ends with Close.
		return l.Addr().String(), nil
	}
	var err error
	for _, id := range []string{"llm-1", "llm-2", "llm-3", "app-1", "app-2", "app-3"} {
		s := origin.New(id, r.log, 5*time.Millisecond)
		r.servers[id] = s
		if r.addresses[id], err = serve(s); err != nil {
			return stop, err
		}
		if !spared(id) {
			if r.addresses[id], err = r.link(r.addresses[id]); err != nil {
				return stop, err
			}
		}
		r.enter(id, "ready")
	}
	r.publish(`"k1","k2"`)
	r.storeAt, err = serve(r.store.Handler())
	return stop, err
}

// link returns the address of a new proxy in front of the target.
func (r *run) link(target string) (string, error) {
	p, err := proxy.New(target)
	if err != nil {
		return "", err
	}
	r.links = append(r.links, p)
	return p.Address(), nil
}

// enter writes the entry of a server.
func (r *run) enter(id, state string) {
	r.store.Put("servers/"+id, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"x","slots":16,"state":%q}`, id[:3], r.addresses[id], state))
}

// routes is the configuration of a run.
const routes = `{"version":%d,"routes":[
 {"name":"s","host":"a.example","prefix":"/stream/","route_type":"streaming","timeout_ms":4000,"target_latency_ms":500,"service":"llm","max_attempts":2,"resumable":true},
 {"name":"f","host":"b.example","prefix":"/stream/","route_type":"streaming","timeout_ms":4000,"target_latency_ms":500,"service":"llm","max_attempts":1},
 {"name":"o","host":"a.example","prefix":"/once/","route_type":"non_idempotent","timeout_ms":2000,"target_latency_ms":200,"service":"app","max_attempts":2},
 {"name":"r","host":"a.example","prefix":"/read/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":200,"service":"app","max_attempts":2}],
 "tenants":[{"name":"north","api_keys":[%s]}]}`

// publish writes the next configuration.
func (r *run) publish(keys string) {
	r.version++
	r.store.Put("op/config", fmt.Appendf(nil, routes, r.version, keys))
}

// settings are those of one instance; instances differ in their address of loopback.
const settings = `name = "n%[1]d"
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
grace_ms = %[7]d
revoke_ms = %[8]d
`

// Ports of every instance.
const (
	callersPort = 27340
	readyPort   = 27341
	metricsPort = 27342
	// datacentres is the number of data centres that the instances are spread over.
	datacentres = 2
)

// nets is the number of networks of loopback that runs with different seeds use side by side.
const nets = 250

// net returns the network of loopback that the run uses.
func (r *run) net() int { return int(r.Seed%nets) + 1 }

// add starts an instance.
func (r *run) add(i int) error {
	store, err := r.link(r.storeAt)
	if err != nil {
		return err
	}
	callers, err := r.link(fmt.Sprintf("127.1.%d.%d:%d", r.net(), i+1, callersPort))
	if err != nil {
		return err
	}
	p := &process{url: "http://" + callers, file: filepath.Join(r.dir, fmt.Sprintf("n%d.toml", i+1))}
	text := fmt.Sprintf(settings, i+1, i%datacentres, callersPort, readyPort, metricsPort, store, grace.Milliseconds(), revoke.Milliseconds(), r.net())
	if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
		return eris.Wrap(err, "write settings")
	}
	if p.logs, err = os.Create(filepath.Join(r.dir, fmt.Sprintf("n%d.log", i+1))); err != nil {
		return eris.Wrap(err, "create log")
	}
	r.routers = append(r.routers, p)
	return p.start(r.Router)
}

// start starts the process.
func (p *process) start(router string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(router, "forward", "--settings", p.file)
	p.cmd.Stdout, p.cmd.Stderr = p.logs, p.logs
	p.started = time.Now()
	return eris.Wrap(p.cmd.Start(), "start router")
}

// running reports whether the process has had time to install its signal handlers.
func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.started) > startTime
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // A process that has ended needs no signal.
}

// end stops the processes of the run.
func (r *run) end() {
	for _, p := range r.routers {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		_ = p.cmd.Wait() // It was killed.
		_ = p.logs.Close()
	}
	for _, l := range r.links {
		_ = l.Close() // The run is over.
	}
}

// play sends requests while faults come, then waits for calm and checks that everything is served.
func (r *run) play(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.Duration+settle+calm)
	defer cancel()
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() { r.call(ctx, i) })
	}
	faults, stop := context.WithTimeout(ctx, r.Duration)
	defer stop()
	r.disturb(faults)
	select {
	case <-time.After(settle):
	case <-ctx.Done():
	}
	r.calmed.Store(true)
	group.Wait()
}

// judge checks what can be told only at the end.
func (r *run) judge() {
	runs := map[string]int{}
	for _, x := range r.log.Runs("") {
		runs[x.ID]++
		if x.Key != "" {
			r.violate("key was passed on with request %s", x.ID)
		}
	}
	for id, n := range runs {
		if n > 1 && (id[0] == 'o' || id[0] == 'f') {
			r.violate("request %s ran %d times", id, n)
		}
	}
}

// random returns the generator of one part of the run.
func (r *run) random(part uint64) *rand.Rand { return rand.New(rand.NewPCG(r.Seed, part)) }
