//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment: a store in this process, routers and servers as processes of their own.
type fleet struct {
	dir, router, self string
	store             *store
	storeAddress      string
	routers           []*node
	servers           map[string]*server
	mu                sync.Mutex
	record            *os.File
	start             time.Time
	runs              []string
}

// node is one router.
type node struct {
	name, callers, ready, metrics string
	cmd                           *exec.Cmd
}

// server is one backend server.
type server struct {
	id, service, address, zone string
	born                       int64
	cmd                        *exec.Cmd
}

// newFleet starts the store.
func newFleet(router, record string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-lab3-")
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, router: router, self: self, store: newStore(), servers: map[string]*server{}, start: time.Now()}
	if f.record, err = os.Create(record); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", f.ip(250)+":0")
	if err != nil {
		return nil, err
	}
	f.storeAddress = l.Addr().String()
	go func() { _ = http.Serve(l, f.store) }()
	return f, nil
}

// ip returns a loopback address of this run.
func (f *fleet) ip(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()>>8&0x7f, os.Getpid()&0xff, n)
}

// note writes a line to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%7d ms  %s\n", time.Since(f.start).Milliseconds(), fmt.Sprintf(format, args...))
}

// freePort returns a port that is free on the address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// startRouters starts routers with the settings that the deploy file's template gives a machine of a small deployment.
func (f *fleet) startRouters(n int, zones ...string) error {
	var ports [4]int
	for i := range ports {
		p, err := freePort(f.ip(1))
		if err != nil {
			return err
		}
		ports[i] = p
	}
	seeds := fmt.Sprintf("[\"%s:%d\",\"%s:%d\"]", f.ip(1), ports[2], f.ip(2), ports[2])
	table := ""
	for _, z := range zones {
		table += fmt.Sprintf("{ name = %q, region = \"central\" }, ", z)
	}
	for i := range n {
		ip, name := f.ip(i+1), fmt.Sprintf("front-%d", i+1)
		text := fmt.Sprintf(`name = "%s"
datacentre = "%s"
region = "central"
bootstrap = true
datacentres = [%s]

[listen]
callers = "%s:%d"
ready = "%s:%d"
metrics = "%s:%d"

[store]
address = "%s"

[peers]
address = "%s:%d"
seeds = %s

[resources]
descriptors = 4100
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
`, name, zones[i%len(zones)], table, ip, ports[0], ip, ports[1], ip, ports[2], f.storeAddress, ip, ports[3], seeds, f.memory())
		file := filepath.Join(f.dir, name+".toml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(f.dir, name+".log"))
		if err != nil {
			return err
		}
		x := &node{name: name, callers: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]), metrics: fmt.Sprintf("%s:%d", ip, ports[2])}
		x.cmd = exec.Command(f.router, "forward", "--settings", file)
		x.cmd.Stdout, x.cmd.Stderr = log, log
		if err := x.cmd.Start(); err != nil {
			return err
		}
		f.routers = append(f.routers, x)
		f.note("router %s started, callers at %s", name, x.callers)
	}
	for _, x := range f.routers {
		if !f.eventually(10*time.Second, x.isReady) {
			return fmt.Errorf("%s isn't ready", x.name)
		}
	}
	return nil
}

// isReady reports whether the router answers 200 to the platform's question.
func (x *node) isReady() bool {
	resp, err := http.Get("http://" + x.ready + "/chicoryhoist/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// eventually waits until the condition holds, or returns false at the limit.
func (f *fleet) eventually(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// startServer starts the process of a server, again at its address if it has one, and waits until it listens.
func (f *fleet) startServer(id, service, zone string) error {
	s, ok := f.servers[id]
	if !ok {
		p, err := freePort(f.ip(100))
		if err != nil {
			return err
		}
		s = &server{id: id, service: service, zone: zone, address: fmt.Sprintf("%s:%d", f.ip(100), p)}
		f.servers[id] = s
	}
	s.born = time.Now().UnixMilli()
	s.cmd = exec.Command(f.self, "server", s.address, s.id)
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := s.cmd.Start(); err != nil {
		return err
	}
	lines := bufio.NewReader(out)
	if line, err := lines.ReadString('\n'); err != nil || strings.TrimSpace(line) != "listening" {
		return fmt.Errorf("server %s doesn't listen: %q %w", id, line, err)
	}
	go func() {
		for {
			line, err := lines.ReadString('\n')
			if err != nil {
				return
			}
			line = strings.TrimSpace(line)
			f.note("server: %s", line)
			f.mu.Lock()
			f.runs = append(f.runs, line)
			f.mu.Unlock()
		}
	}()
	f.note("server %s of %s listens at %s", id, service, s.address)
	return nil
}

// register writes the entry of a server.
func (f *fleet) register(id, state string) { f.registerCold(id, state, 0) }

// registerCold writes the entry of a server that is cold for a time.
func (f *fleet) registerCold(id, state string, coldMs int) {
	s := f.servers[id]
	r := f.store.put("servers/"+id, entry(s.service, s.address, s.zone, state, coldMs, s.born))
	f.note("store: servers/%s is %s, cold for %d ms, at revision %d", id, state, coldMs, r)
}

// ran reports whether a server has run the request.
func (f *fleet) ran(request string) bool { return f.ranAt("", request) }

// ranAt reports whether the server, or any if it is empty, has run the request.
func (f *fleet) ranAt(server, request string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, line := range f.runs {
		if fields := strings.Fields(line); len(fields) > 2 && fields[0] == "run" && fields[2] == request && (server == "" || fields[1] == server) {
			return true
		}
	}
	return false
}

// send sends one request on a new connection and returns the status and the body, or the error.
func (f *fleet) send(x *node, method, path, id, key string) (int, string, error) {
	r, err := http.NewRequest(method, "http://"+x.callers+path, nil)
	if err != nil {
		return 0, "", err
	}
	r.Host = "app.example"
	r.Close = true
	r.Header.Set("Chicoryhoist-Request-Id", id)
	r.Header.Set("Chicoryhoist-Key", key)
	r.Header.Set("Chicoryhoist-Deadline-Ms", "1000")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		f.note("client: %s to %s %s %s: %v", id, x.name, method, path, err)
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	f.note("client: %s to %s %s %s key %s: status %d, %d bytes, %v", id, x.name, method, path, key, resp.StatusCode, len(body), err)
	return resp.StatusCode, string(body), err
}

// close ends all processes that the run has started.
func (f *fleet) close() {
	for _, x := range f.routers {
		if x.cmd != nil && x.cmd.Process != nil {
			_ = x.cmd.Process.Signal(syscall.SIGKILL)
			_ = x.cmd.Wait()
		}
	}
	for _, s := range f.servers {
		s.kill()
	}
	_ = f.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}

// kill ends the process of the server with SIGKILL.
func (s *server) kill() {
	if s.cmd != nil && s.cmd.Process != nil {
		_ = s.cmd.Process.Signal(syscall.SIGKILL)
		_ = s.cmd.Wait()
	}
	s.cmd = nil
}

// memory returns the memory of a machine in MiB.
func (f *fleet) memory() int {
	if n, err := strconv.Atoi(os.Getenv("MEMORY")); err == nil {
		return n
	}
	return 134
}
