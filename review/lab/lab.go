//go:build review

// Package lab runs the forwarding routers of a small deployment as processes on loopback, with stand-ins of the platform's
// store, backend servers and clients, for the cases of the review.
package lab

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"chicoryhoist.example/hoist/cmd/standin/kvsrv"
	"chicoryhoist.example/hoist/cmd/standin/origin"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	Failed = 2
)

const (
	// routerCount is the number of router instances, as at the sites in force, and zoneCount that of their zones.
	routerCount = 6
	zoneCount   = 3
	// startLimit bounds the time until all routers are ready, and caseLimit that of a whole case.
	startLimit = 20 * time.Second
	caseLimit  = 110 * time.Second
	// SettleWindow, DrainBound and ConfigBound are settle_window_ms, drain_ms and config_apply_ms of the sites in force.
	SettleWindow = 3 * time.Second
	DrainBound   = 2 * time.Second
	ConfigBound  = 2 * time.Second
	// Ports of the routers, which differ in their loopback address.
	frontPort, readyPort, controlPort, peerPort = 27227, 27220, 27229, 27340
)

// settingsFormat is deploy/settings.toml as the platform renders it for one machine of a site in force.
const settingsFormat = `name = "front-%[1]d"
datacentre = "zone-%[2]d"
region = "region"
bootstrap = true

[listen]
callers = "%[3]s:%[4]d"
ready = "%[3]s:%[5]d"
metrics = "%[3]s:%[6]d"

[store]
address = "%[7]s"

[peers]
address = "%[3]s:%[8]d"
seeds = [%[9]s]

[resources]
memory_mib = 284
cores = 1
core_share = 0.4
link_mbps = 1000.0

[bounds]
grace_s = 8
revoke_ms = 5000

[retries]
share = 0.2
slack = 52
`

// Lab is one deployment.
type Lab struct {
	// Trouble is unset if the disruption is left out.
	Trouble bool
	// Store holds the configuration and the entries of the servers.
	Store   *kvsrv.Store
	record  *Recorder
	dir     string
	network string
	routers []*exec.Cmd
	closers []io.Closer
	watches watches
}

// Main runs a case and ends the process with its exit code. The arguments are the router program and the folder of the case.
func Main(run func(*Lab) error) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: CASE ROUTER FOLDER")
		os.Exit(Failed)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], run))
}

// runCase runs a case and returns its exit code.
func runCase(router, folder string, run func(*Lab) error) int {
	record, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return Failed
	}
	l := &Lab{Trouble: os.Getenv("TROUBLE") != "0", Store: kvsrv.New(), record: record}
	defer l.stop()
	go l.watchLimit()
	if err = l.start(router); err == nil {
		err = run(l)
	}
	if err != nil {
		l.Logf("case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return Failed
	}
	n := record.violations()
	l.Logf("result: %d violations", n)
	fmt.Printf("%d violations, with the disruption: %t\n", n, l.Trouble)
	if n > 0 {
		return Broken
	}
	return Held
}

// watchLimit ends the case and its processes at a signal or when it takes too long.
func (l *Lab) watchLimit() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
		l.Logf("case was ended by a signal")
	case <-time.After(caseLimit):
		l.Logf("case took too long")
	}
	l.stop()
	os.Exit(Failed)
}

// Logf writes a line to the record.
func (l *Lab) Logf(format string, args ...any) { l.record.logf(format, args...) }

// Violate records that the rule of the case was broken.
func (l *Lab) Violate(format string, args ...any) { l.record.violate(format, args...) }

// start starts the store; StartRouters starts the routers once the first configuration is written.
func (l *Lab) start(router string) error {
	var err error
	if l.dir, err = os.MkdirTemp("", "review"); err != nil {
		return eris.Wrap(err, "create folder")
	}
	if router, err = filepath.Abs(router); err != nil {
		return eris.Wrap(err, "path of the router")
	}
	store, err := origin.StartHost(l.watches.wrap(l.Store.Handler()))
	if err != nil {
		return err
	}
	l.closers = append(l.closers, store)
	if l.network, err = freeNetwork(); err != nil {
		return err
	}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:%d", l.network, i+1, controlPort)))
	}
	for i := range routerCount {
		file := filepath.Join(l.dir, fmt.Sprintf("front-%d.toml", i+1))
		text := fmt.Sprintf(settingsFormat, i+1, i%zoneCount, l.host(i), frontPort, readyPort, controlPort, store.Address(), peerPort, strings.Join(seeds, ", "))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return eris.Wrap(err, "write settings")
		}
		out, err := os.Create(filepath.Join(l.dir, fmt.Sprintf("front-%d.log", i+1)))
		if err != nil {
			return eris.Wrap(err, "create log")
		}
		l.closers = append(l.closers, out)
		c := exec.Command(router, "forward", "--settings", file)
		c.Stdout, c.Stderr = out, out
		l.routers = append(l.routers, c)
	}
	return nil
}

// freeNetwork returns the first three numbers of a loopback network on which the ports of the first router are free.
func freeNetwork() (string, error) {
	for range 50 {
		n := fmt.Sprintf("127.%d.%d", 2+rand.N(200), 1+rand.N(200))
		free := true
		for _, port := range []int{frontPort, readyPort, controlPort, peerPort} {
			x, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", n, port))
			if free = free && err == nil; err == nil {
				_ = x.Close() // It has no connections.
			}
		}
		if free {
			return n, nil
		}
	}
	return "", eris.New("no loopback network has free ports")
}

// host returns the address of the router with the index.
func (l *Lab) host(i int) string { return fmt.Sprintf("%s.%d", l.network, i+1) }

// Routers returns the number of routers.
func (l *Lab) Routers() int { return len(l.routers) }

// Front returns the address of the router with the index for clients.
func (l *Lab) Front(i int) string { return fmt.Sprintf("%s:%d", l.host(i), frontPort) }

// StartRouters starts all routers and waits until they are ready and have been in touch for the settle window.
func (l *Lab) StartRouters() error {
	for _, c := range l.routers {
		if err := c.Start(); err != nil {
			return eris.Wrap(err, "start router")
		}
	}
	limit := time.Now().Add(startLimit)
	for i := range l.routers {
		for !l.ready(i) {
			if time.Now().After(limit) {
				return eris.Errorf("router %d is not ready", i+1)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	l.Logf("%d routers are ready", len(l.routers))
	time.Sleep(SettleWindow + time.Second)
	return nil
}

// ready asks a router whether it is ready.
func (l *Lab) ready(i int) bool {
	r, err := http.Get(fmt.Sprintf("http://%s:%d/chicoryhoist/ready", l.host(i), readyPort))
	if err != nil {
		return false
	}
	_ = r.Body.Close() // The body is empty.
	return r.StatusCode == http.StatusOK
}

// PID returns the number of the process of the router with the index.
func (l *Lab) PID(i int) int { return l.routers[i].Process.Pid }

// CutWatches ends every watch that waits at the store, without a response.
func (l *Lab) CutWatches() int { return l.watches.cut() }

// stop ends the routers and the stand-ins.
func (l *Lab) stop() {
	for _, c := range l.routers {
		if c.Process == nil {
			continue
		}
		_ = c.Process.Signal(syscall.SIGKILL) // Fails only if the process has ended.
		_ = c.Wait()                          // It was killed.
	}
	for _, c := range l.closers {
		_ = c.Close() // The case has ended.
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir) // A temporary folder.
	} else {
		fmt.Println(l.dir)
	}
	l.record.close()
}

// watches are the watches that wait at the store.
type watches struct {
	mu      sync.Mutex
	waiting map[chan struct{}]bool
}

// wrap returns a handler whose watches can be cut.
func (x *watches) wrap(h http.Handler) http.Handler {
	x.waiting = map[chan struct{}]bool{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "/kv-watch") {
			h.ServeHTTP(w, r)
			return
		}
		end := make(chan struct{})
		x.mu.Lock()
		x.waiting[end] = true
		x.mu.Unlock()
		done := make(chan struct{})
		go func() {
			defer close(done)
			h.ServeHTTP(w, r)
		}()
		select {
		case <-done:
			x.mu.Lock()
			delete(x.waiting, end)
			x.mu.Unlock()
		case <-end:
			c, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_ = c.Close() // The watch ends without a response.
			}
		}
	})
}

// cut ends the waiting watches and returns their number.
func (x *watches) cut() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := len(x.waiting)
	for c := range x.waiting {
		close(c)
	}
	clear(x.waiting)
	return n
}
