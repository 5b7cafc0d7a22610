//go:build review

// Package lab2 starts forwarding routers as processes with stand-ins of the store, of backend servers and of callers, all on
// loopback addresses. It uses the standard library only and knows nothing of the router but the users' pages.
package lab2

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Lab is one run: the record, the processes and the directory that ends with it.
type Lab struct {
	Dir     string
	Trouble bool
	Broken  bool
	// OnEnd is called before the program exits.
	OnEnd   func()
	start   time.Time
	mu      sync.Mutex
	record  *os.File
	routers []*Router
	// network holds the second and third byte of the loopback addresses of the run.
	network [2]int
	port    int
}

// New creates the record in the folder of the case.
func New() *Lab {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM CASE-FOLDER ROUTER")
		os.Exit(2)
	}
	f, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	Must(err)
	dir, err := os.MkdirTemp("", "review")
	Must(err)
	l := &Lab{Dir: dir, Trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: f}
	l.network = [2]int{1 + rand.IntN(250), 1 + rand.IntN(250)}
	l.port = 20000 + 10*rand.IntN(1000)
	l.Log("trouble %v", l.Trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { l.Abort("signal %v", <-signals) }()
	return l
}

// Must ends the run with exit code 2, because the case could not run.
func Must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	}
}

// Log writes a line with the time since the start to the record.
func (l *Lab) Log(format string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%9.3f ", time.Since(l.start).Seconds()) + fmt.Sprintf(format, a...)
	fmt.Fprintln(l.record, line)
}

// Break records that the rule was broken.
func (l *Lab) Break(format string, a ...any) {
	l.Broken = true
	l.Log("BROKEN: "+format, a...)
}

// End stops the routers and exits with the code of the result.
func (l *Lab) End() {
	for _, r := range l.routers {
		r.Kill()
	}
	if l.OnEnd != nil {
		l.OnEnd()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.Dir)
	} else {
		fmt.Println(l.Dir)
	}
	code, text := 0, "the rule held"
	if l.Broken {
		code, text = 1, "the rule was broken"
	}
	l.Log("%s, exit code %d", text, code)
	fmt.Println(text)
	os.Exit(code)
}

// Abort ends the run with exit code 2.
func (l *Lab) Abort(format string, a ...any) {
	for _, r := range l.routers {
		r.Kill()
	}
	if l.OnEnd != nil {
		l.OnEnd()
	}
	_ = os.RemoveAll(l.Dir)
	l.Log("could not run: "+format, a...)
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", a...)
	os.Exit(2)
}

// Store is the platform's store: it serves range reads and watches.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]map[string]any
	history  []map[string]any
	changed  chan struct{}
	// Gate is asked before each call; it returns false if the call is to fail with 503.
	Gate    func(r *http.Request) bool
	Address string
}

// NewStore starts a store on a free port.
func (l *Lab) NewStore() *Store {
	s := &Store{revision: 1, items: map[string]map[string]any{}, changed: make(chan struct{})}
	n, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	s.Address = n.Addr().String()
	m := http.NewServeMux()
	m.HandleFunc("GET /chicoryhoist/kv-range", s.serveRange)
	m.HandleFunc("GET /chicoryhoist/kv-watch", s.serveWatch)
	go func() { _ = http.Serve(n, m) }()
	return s
}

// Put writes an item; a value of nil removes it.
func (s *Store) Put(key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := map[string]any{"key": key, "revision": s.revision}
	if value == nil {
		i["removed"] = true
		delete(s.items, key)
	} else {
		b, err := json.Marshal(value)
		Must(err)
		i["value"], i["created_at"], i["lease"] = base64.StdEncoding.EncodeToString(b), s.revision, 0
		s.items[key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	if s.Gate != nil && !s.Gate(r) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, r.FormValue("prefix")) && k > r.FormValue("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	page := keys[:min(len(keys), 500)]
	entries := []any{}
	for _, k := range page {
		entries = append(entries, s.items[k])
	}
	reply(w, map[string]any{"entries": entries, "has_more": len(keys) > len(page), "at": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	if s.Gate != nil && !s.Gate(r) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		events := []any{}
		for _, i := range s.history {
			if i["revision"].(int64) > after {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			reply(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// PutServer writes the entry of a server.
func (s *Store) PutServer(id, service, address, state string, slots int, born int64) {
	s.Put("servers/"+id, map[string]any{
		"service": service, "address": address, "zone": "bkk-a", "version": "1", "slots": slots, "state": state,
		"cold_remaining_ms": 0, "sequence": 1, "born": born,
	})
}

// Router is one router process.
type Router struct {
	Name, Front, Ready, IP string
	lab                    *Lab
	file                   string
	mu                     sync.Mutex
	cmd                    *exec.Cmd
	Ended                  chan error
}

// Settings are the figures of a router that the cases vary.
type Settings struct {
	MemoryMB, FDs int
}

// StartRouter starts a router with the settings that deploy/settings.toml gives to a machine of a small deployment.
func (l *Lab) StartRouter(store string, seeds []int, n int, x Settings) *Router {
	ip := l.IP(n)
	r := &Router{
		Name: fmt.Sprintf("front-bkk-a-%d", n), IP: ip, lab: l,
		Front: fmt.Sprintf("%s:%d", ip, l.port), Ready: fmt.Sprintf("%s:%d", ip, l.port+1),
	}
	var names []string
	for _, s := range seeds {
		names = append(names, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", l.IP(s), l.port+2)))
	}
	text := fmt.Sprintf(`name = %q
datacentre = "bkk-a"
region = "th-central"
bootstrap = true
datacentres = [{ name = "bkk-a", region = "th-central" }, { name = "bkk-b", region = "th-central" }, ]

[listen]
callers = %q
ready = %q
metrics = "%s:%d"

[store]
address = %q

[peers]
address = "%s:%d"
seeds = [%s]

[resources]
descriptors = %d
memory_mib = %d
cores = 1
core_share = 0.4
link_mbps = 1000.0

[bounds]
grace_s = 8
revoke_ms = 5000

[retries]
share = 0.2
slack = 52

[balance]
max_slots = 64
max_slot_tokens = 6000
`, r.Name, r.Front, r.Ready, ip, l.port+2, store, ip, l.port+3, strings.Join(names, ","), x.FDs, x.MemoryMB)
	r.file = filepath.Join(l.Dir, r.Name+".toml")
	Must(os.WriteFile(r.file, []byte(text), 0o600))
	r.start()
	l.routers = append(l.routers, r)
	return r
}

// IP returns the loopback address of machine n.
func (l *Lab) IP(n int) string { return fmt.Sprintf("127.%d.%d.%d", l.network[0], l.network[1], n) }

func (r *Router) start() {
	log, err := os.OpenFile(filepath.Join(r.lab.Dir, r.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Must(err)
	cmd, ended := exec.Command(os.Args[2], "forward", "--settings", r.file), make(chan error, 1)
	cmd.Stdout, cmd.Stderr = log, log
	Must(cmd.Start())
	_ = log.Close()
	go func() { ended <- cmd.Wait() }()
	r.mu.Lock()
	r.cmd, r.Ended = cmd, ended
	r.mu.Unlock()
	r.lab.Log("router %s started, callers at %s", r.Name, r.Front)
}

// Signal sends a signal to the process.
func (r *Router) Signal(s syscall.Signal) {
	r.lab.Log("signal %v to %s", s, r.Name)
	_ = r.process().Signal(s)
}

// Kill ends the process.
func (r *Router) Kill() {
	_ = r.process().Signal(syscall.SIGCONT)
	_ = r.process().Kill()
}

// process returns the current process.
func (r *Router) process() *os.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd.Process
}

// Restart starts the process again after it has ended. Only the first start of the whole system is a bootstrap.
func (r *Router) Restart() {
	b, err := os.ReadFile(r.file)
	Must(err)
	Must(os.WriteFile(r.file, []byte(strings.Replace(string(b), "bootstrap = true\n", "", 1)), 0o600))
	r.start()
}

// LogText returns what the process has written.
func (r *Router) LogText() string {
	b, _ := os.ReadFile(filepath.Join(r.lab.Dir, r.Name+".log"))
	return string(b)
}

// Status returns a field of the process's status in kB.
func (r *Router) Status(field string) int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.process().Pid))
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// IsReady asks the router once whether it is ready, as the platform does.
func (r *Router) IsReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + r.Ready + "/chicoryhoist/ready")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until the router is ready.
func (r *Router) AwaitReady() {
	for end := time.Now().Add(20 * time.Second); !r.IsReady(); {
		if time.Now().After(end) {
			r.lab.Abort("router %s is not ready: %s", r.Name, r.LogText())
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.lab.Log("router %s is ready", r.Name)
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// FreeAddress returns a loopback address on which nothing listens.
func FreeAddress() string {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	defer func() { _ = n.Close() }()
	return n.Addr().String()
}
