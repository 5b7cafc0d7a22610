//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

const (
	// bulkBytes is the length of the text in the entry; value_bytes allows 1,048,576.
	bulkBytes = 1000 << 10
	// bulkInterval is the time between two writes of the entry; the store takes 400 writes a second.
	bulkInterval = 200 * time.Millisecond
	// bulkTime is the time for which the other writer writes.
	bulkTime = 95 * time.Second
	// machineMib is memory_mb.
	machineMib = 134
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// allowedEnds is the number of ends of a process at which the rule is broken, on two machines at least.
	allowedEnds = 3
)

// anonymous returns the anonymous resident memory of the process in MiB.
func (x *node) anonymous() float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", x.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			n, _ := strconv.ParseFloat(f[1], 64)
			return n / 1024
		}
	}
	return 0
}

// restart ends the process of the router as the platform does, and starts it again with settings that are no longer those of the
// first start.
func (x *node) restart() error {
	_ = x.cmd.Process.Kill()
	_ = x.cmd.Wait()
	time.Sleep(restartDelay)
	file := x.cmd.Args[len(x.cmd.Args)-1]
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, []byte(strings.Replace(string(text), "bootstrap = true\n", "", 1)), 0o600); err != nil {
		return err
	}
	old := x.cmd
	x.cmd = exec.Command(old.Path, old.Args[1:]...)
	x.cmd.Stdout, x.cmd.Stderr = old.Stdout, old.Stderr
	return x.cmd.Start()
}

// bulkEntry returns an entry whose service isn't one of the configuration.
func bulkEntry(n int) ([]byte, error) {
	return json.Marshal(map[string]any{
		"service": strings.Repeat("x", bulkBytes) + fmt.Sprint(n), "address": "127.0.0.1:9", "zone": "a", "version": "1", "slots": 6,
		"state": "ready", "cold_remaining_ms": 0, "sequence": n, "born": 1,
	})
}

// playBulk lets another writer write one entry again and again, and ends processes that exceed the memory of their machine.
func playBulk(f *fleet, trouble bool) (bool, error) { return f.writeBulk(trouble, bulkInterval) }

// writeBulk is playBulk with the time between two writes.
func (f *fleet) writeBulk(trouble bool, interval time.Duration) (bool, error) {
	zones := []string{"a", "b"}
	for i := range 2 {
		if err := f.startServer(fmt.Sprintf("app-%d", i+1), "app", zones[i]); err != nil {
			return false, err
		}
	}
	f.note("store: configuration at revision %d", f.store.put("op/config", configuration(2, 1000, 0, "north-1")))
	for _, id := range []string{"app-1", "app-2"} {
		f.register(id, "ready")
	}
	if err := f.startRouters(2, zones...); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	ends, failed, sent, greatest := make([]int, len(f.routers)), 0, 0, 0.0
	for n, end := 0, time.Now().Add(bulkTime); time.Now().Before(end) && min(ends[0], ends[1]) < allowedEnds; n++ {
		if trouble {
			e, err := bulkEntry(n)
			if err != nil {
				return false, err
			}
			f.store.put("servers/other", e)
		}
		time.Sleep(interval)
		for r, x := range f.routers {
			m := x.anonymous()
			greatest = max(greatest, m)
			if n%20 == 0 {
				sent++
				if status, _, err := f.send(x, http.MethodGet, "/read/1", fmt.Sprintf("ordinary-%d-%d", n, r), "north-1"); err != nil || status != http.StatusOK {
					failed++
				}
				f.note("%s has %.1f MiB after %d writes", x.name, m, n+1)
			}
			if m > machineMib {
				ends[r]++
				f.note("platform: %s has %.1f MiB after %d writes, its machine has %d; it is ended, for the %d. time", x.name, m, n+1, machineMib, ends[r])
				if err := x.restart(); err != nil {
					return false, err
				}
			}
		}
	}
	f.note("ends %v, greatest memory %.1f MiB, %d of %d ordinary requests without success", ends, greatest, failed, sent)
	return min(ends[0], ends[1]) >= allowedEnds, nil
}
