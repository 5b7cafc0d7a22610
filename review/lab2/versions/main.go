//go:build review

// Command versions shows that routers keep so many versions of a large configuration that they exceed the memory of their
// machines, and that the requests in progress are cut then.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chicoryhoist.example/hoist/review/lab2"
)

const (
	// memoryMB is memory_mb of a machine of hearthline-th, and valueBytes value_bytes of its store.
	memoryMB   = 134
	valueBytes = 1048576
	// configBytes is the size of the configuration, which all its versions have.
	configBytes = 1000000
	// A storm has a change each stormGap for stormTime, as on seamwright-hq; stormPause lies between two of them.
	stormGap   = 330 * time.Millisecond
	stormTime  = 4 * time.Second
	stormPause = 3 * time.Second
	// quietTime is the time without changes before the storms, stormsTime that of the storms.
	quietTime  = 10 * time.Second
	stormsTime = 88 * time.Second
	routers    = 2
	// window is the time after the acknowledgement of a configuration in which the rule counts: config_apply_ms and 1 s.
	window = 3 * time.Second
	// deadline is that of the clients; a request that has used seven tenths of it does not count.
	deadline = 15 * time.Second
	// rate is the number of ordinary streams a second at each router; each lasts about 1.5 s.
	rate = 10
)

// lastChange is the time of the last acknowledgement of a configuration after the first, in Unix milliseconds.
var lastChange atomic.Int64

// seen holds the requests that servers have begun to run.
type seen struct {
	mu  sync.Mutex
	ids map[string]bool
}

func main() {
	l := lab2.New()
	store := l.NewStore()
	x := seen{ids: map[string]bool{}}
	for i := range 4 {
		s := &lab2.Server{ID: fmt.Sprintf("i-llm%d", i), Service: "llm", Slots: 128, Work: 150 * time.Millisecond, Events: 10}
		s.Ran = func(_ *lab2.Server, r *http.Request) {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.ids[r.Header.Get("Chicoryhoist-Request-Id")] = true
		}
		l.StartServer(store, s)
	}
	store.Put("op/config", config(7))
	b, err := json.Marshal(config(7))
	lab2.Must(err)
	l.Log("the configuration has %d bytes, value_bytes is %d", len(b), valueBytes)
	if len(b) > valueBytes {
		l.Abort("configuration too large")
	}
	var machines []*machine
	for n := range routers {
		machines = append(machines, &machine{lab: l, r: l.StartRouter(store.Address, []int{1, 2}, n+1, lab2.Settings{MemoryMB: memoryMB, FDs: 4100})})
	}
	ctx, stop := context.WithCancel(context.Background())
	var g sync.WaitGroup
	for _, m := range machines {
		m.r.AwaitReady()
		g.Go(func() { m.watch(ctx) })
		g.Go(func() { m.call(ctx, &x) })
	}
	time.Sleep(quietTime)
	report(l, machines, 0)
	changes := 0
	var inside time.Duration
	storms := time.Now()
	for end := time.Now().Add(stormsTime); time.Now().Before(end) && !ended(machines); {
		for storm := time.Now().Add(stormTime); time.Now().Before(storm) && !ended(machines); {
			if l.Trouble {
				store.Put("op/config", config(10+3*changes))
				changes++
				lastChange.Store(time.Now().UnixMilli())
			}
			time.Sleep(stormGap)
		}
		report(l, machines, changes)
		time.Sleep(stormPause)
	}
	if l.Trouble {
		inside = time.Since(storms) // The pauses are not longer than the window.
	}
	time.Sleep(2 * time.Second)
	stop()
	g.Wait()
	report(l, machines, changes)
	for _, m := range machines {
		cut, others := m.cut.Load(), m.cutElsewhere.Load()
		l.Log("%s: cut around changes %d in %.1f s, at other times %d in %.1f s", m.r.Name, cut, inside.Seconds(), others, quietTime.Seconds())
		// The rule compares how often a machine cuts requests.
		if cut > 0 && float64(cut)/inside.Seconds() > 3*float64(others)/quietTime.Seconds() {
			l.Break("%s cut %d requests around changes of the configuration", m.r.Name, cut)
		}
	}
	l.End()
}

// config returns a version of the configuration, filled up with routes that get no requests.
func config(version int) map[string]any {
	c := lab2.Config(version)
	list := c["routes"].([]any)
	for i := range configBytes / 247 {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%07x", i*7919), "host": lab2.Host, "prefix": fmt.Sprintf("/idle%05d/", i), "route_type": "streaming",
			"timeout_ms": 5000, "target_latency_ms": 1200, "priority": 2, "service": "llm", "max_attempts": 1, "anonymous": false,
			"sticky": true, "resumable": false, "inter_token_ms": 800,
		})
	}
	c["routes"] = list
	return c
}

// machine is a machine with its router process and what its ordinary callers have seen.
type machine struct {
	lab                 *lab2.Lab
	r                   *lab2.Router
	ends, answered, cut atomic.Int64
	other, peak         atomic.Int64
	// cut counts what the rule counts, cutElsewhere what was cut at other times.
	cutElsewhere atomic.Int64
}

// watch plays the platform: it ends a process that holds more than memory_mb. Only anonymous memory counts here, without the
// program's file.
func (m *machine) watch(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		n := m.r.Status("RssAnon")
		m.peak.Store(max(m.peak.Load(), int64(n)))
		if n > memoryMB<<10 {
			m.ends.Add(1)
			m.lab.Log("%s holds %d kB of anonymous memory, memory_mb = %d is %d kB; the platform ends it", m.r.Name, n, memoryMB, memoryMB<<10)
			m.r.Kill()
			return
		}
	}
}

// call sends ordinary requests at the rate until the process has ended.
func (m *machine) call(ctx context.Context, x *seen) {
	var g sync.WaitGroup
	for k := 0; ctx.Err() == nil && m.ends.Load() == 0; k++ {
		g.Go(func() {
			id := fmt.Sprintf("ordinary-%s-%d", m.r.Name, k)
			a := lab2.Send(lab2.Call{Address: m.r.Front, Method: "POST", Path: "/guide/x", ID: id, BodyBytes: 1400, Deadline: deadline, Prefix: fmt.Sprintf("5c1e%04x:103,91bd%04x:69,e4%06x:250", k%20, k%96, k)})
			whole := a.Status == 200 && a.Err == nil && strings.HasSuffix(a.Body, lab2.Event(id, 10))
			x.mu.Lock()
			ran := x.ids[id]
			x.mu.Unlock()
			switch {
			case whole:
				m.answered.Add(1)
			case a.Err != nil && ran && a.Took >= deadline*7/10:
				m.other.Add(1)
			case a.Err != nil && ran && time.Now().UnixMilli()-lastChange.Load() > window.Milliseconds():
				m.cutElsewhere.Add(1)
				m.lab.Log("%s was cut at another time: error %v", id, a.Err)
			case a.Err != nil && ran:
				m.cut.Add(1)
				m.lab.Log("%s had reached a server and was cut: status %d, %d bytes, error %v after %d ms", id, a.Status, len(a.Body), a.Err, a.Took.Milliseconds())
			default:
				m.other.Add(1)
				m.lab.Log("%s: status %d, error %v after %d ms, reached a server %v", id, a.Status, a.Err, a.Took.Milliseconds(), ran)
			}
		})
		time.Sleep(time.Second / rate)
	}
	g.Wait()
}

// ended reports whether a process has ended.
func ended(machines []*machine) bool {
	for _, m := range machines {
		if m.ends.Load() > 0 {
			return true
		}
	}
	return false
}

// report writes what has been seen so far.
func report(l *lab2.Lab, machines []*machine, changes int) {
	for _, m := range machines {
		l.Log("%d changes; %s: %d streams whole, %d cut, %d others; peak of anonymous memory %d kB", changes, m.r.Name, m.answered.Load(), m.cut.Load(), m.other.Load(), m.peak.Load())
	}
}
