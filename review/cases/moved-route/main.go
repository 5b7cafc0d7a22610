//go:build review

// Command moved-route moves a route to another service while streams are in progress, and then replaces the servers of the
// former service one after the other.
package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chicoryhoist.example/hoist/review/lab"
)

const (
	// streams is the number of streams, each with so many events at so long a pause.
	streams    = 36
	events     = 56
	eventPause = 180 * time.Millisecond
	deadline   = 15 * time.Second
	// earlier is the number of short streams before them, which earn the budget of retries.
	earlier      = 150
	shortEvents  = 2
	earlierPause = 20 * time.Millisecond
	// releasePause is gap_s of "release" at the site, and serveTime the time for which a draining server serves on: drain_ms
	// and a few seconds.
	releasePause = time.Second
	serveTime    = lab.DrainBound + 2500*time.Millisecond
)

// arrival is a request that has reached a server.
type arrival struct {
	server, id, last string
	at               time.Time
}

// journal records the requests that reach servers.
type journal struct {
	mu       sync.Mutex
	arrivals []arrival
}

// stream runs one request: it sends the events after the last one that the client has.
func (j *journal) stream(l *lab.Lab, s *lab.Server, w http.ResponseWriter, r *http.Request) {
	id, last := r.Header.Get(lab.HeaderID), r.Header.Get(lab.HeaderLastEvent)
	j.mu.Lock()
	j.arrivals = append(j.arrivals, arrival{s.ID, id, last, time.Now()})
	j.mu.Unlock()
	l.Logf("%s runs %s from event %q", s.ID, id, last)
	w.Header().Set("Content-Type", "text/event-stream")
	n, err := strconv.Atoi(last)
	if err != nil {
		n = 0
	}
	c, count := http.NewResponseController(w), events
	if strings.HasPrefix(id, "e") {
		count = shortEvents
	}
	for n++; n <= count; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n); err != nil {
			return
		}
		if c.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
}

// check reports the requests that reached a server later than the drain bound after the acknowledgement.
func (j *journal) check(l *lab.Lab, acknowledged map[string]time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, a := range j.arrivals {
		at, ok := acknowledged[a.server]
		if late := a.at.Sub(at); ok && late > lab.DrainBound {
			l.Violate("DRAIN: %s reached %s from event %q %d ms after the store had acknowledged that the server is draining", a.id, a.server, a.last, late.Milliseconds())
		}
	}
}

func run(l *lab.Lab) error {
	j := &journal{}
	servers := map[string]*lab.Server{}
	serve := func(s *lab.Server, w http.ResponseWriter, r *http.Request) { j.stream(l, s, w, r) }
	for _, x := range []struct {
		service, id string
		zone        int
	}{{"old", "i-old-1", 0}, {"old", "i-old-2", 1}, {"old", "i-old-3", 2}, {"old", "i-old-4", 0}, {"old", "i-old-5", 1}, {"old", "i-old-6", 2}, {"new", "i-new-1", 0}, {"new", "i-new-2", 1}, {"new", "i-new-3", 2}} {
		s, err := l.AddServer(x.service, x.id, x.zone, 128, serve)
		if err != nil {
			return err
		}
		servers[x.id] = s
	}
	route := lab.Route{Name: "guide", Prefix: "/guide/", Kind: "streaming", Service: "old", TimeoutMs: 15000, TargetMs: 250, Attempts: 2, Resumable: true}
	l.Publish(1, route)
	if err := l.StartRouters(); err != nil {
		return err
	}
	var group sync.WaitGroup
	var whole atomic.Int64
	send := func(kind string, n int) {
		group.Go(func() {
			id := fmt.Sprintf("%s%04d", kind, n)
			a := l.Send(lab.Call{Router: n % l.Routers(), Method: http.MethodPost, Path: "/guide/" + id, ID: id, Parts: fmt.Sprintf("a1:100,%x:50", 1000+n), Deadline: deadline})
			l.Logf("answer to %s: status %d, %d bytes, complete %t", id, a.Status, len(a.Body), a.Complete)
			if kind == "s" && a.Status == http.StatusOK && a.Complete {
				whole.Add(1)
			}
		})
		time.Sleep(earlierPause)
	}
	for n := range earlier {
		send("e", n)
	}
	group.Wait()
	for n := range streams {
		send("s", n)
	}
	if l.Trouble {
		route.Service = "new"
		l.Publish(2, route)
	}
	time.Sleep(lab.ConfigBound)
	acknowledged := map[string]time.Time{}
	// Two releases of half of the servers each.
	retired := []string{"i-old-1", "i-old-2", "i-old-3", "i-old-4", "i-old-5", "i-old-6"}
	var exits sync.WaitGroup
	for i, id := range retired {
		if _, err := l.AddServer("old", fmt.Sprintf("i-old-%d", i+7), i, 128, serve); err != nil {
			return err
		}
		acknowledged[id] = servers[id].Drain()
		exits.Go(func() {
			time.Sleep(serveTime)
			l.Logf("%s exits", id)
			_ = servers[id].Close() // Ends its connections.
			l.Store.Remove("servers/" + id)
		})
		time.Sleep(releasePause)
	}
	exits.Wait()
	group.Wait()
	l.Logf("%d of %d streams ended whole", whole.Load(), streams)
	j.check(l, acknowledged)
	return nil
}

func main() { lab.Main(run) }
