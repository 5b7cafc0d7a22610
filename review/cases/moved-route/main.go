//go:build review

// Command moved-route moves a route to another service while streams are in progress, and then takes the servers of the
// former service out of use one after the other.
package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"chicoryhoist.example/hoist/review/lab"
)

const (
	// streams is the number of streams, each with so many events at so long a pause.
	streams    = 36
	events     = 56
	eventPause = 180 * time.Millisecond
	deadline   = 15 * time.Second
	// extraTime is the time for which the first server serves beyond the drain bound before it exits; the others serve on.
	extraTime = time.Second
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
	c := http.NewResponseController(w)
	for n++; n <= events; n++ {
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
	for _, x := range []struct {
		service, id string
		zone        int
	}{{"old", "i-old-1", 0}, {"old", "i-old-2", 1}, {"old", "i-old-3", 2}, {"new", "i-new-1", 0}, {"new", "i-new-2", 1}, {"new", "i-new-3", 2}} {
		s, err := l.AddServer(x.service, x.id, x.zone, 128, func(s *lab.Server, w http.ResponseWriter, r *http.Request) { j.stream(l, s, w, r) })
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
	for n := range streams {
		group.Go(func() {
			id := fmt.Sprintf("s%04d", n)
			a := l.Send(lab.Call{Router: n % l.Routers(), Method: http.MethodPost, Path: "/guide/" + id, ID: id, Parts: fmt.Sprintf("a1:100,%x:50", 1000+n), Deadline: deadline})
			l.Logf("answer to %s: status %d, %d bytes, complete %t", id, a.Status, len(a.Body), a.Complete)
		})
		time.Sleep(20 * time.Millisecond)
	}
	if l.Trouble {
		route.Service = "new"
		l.Publish(2, route)
	}
	time.Sleep(lab.ConfigBound)
	acknowledged := map[string]time.Time{}
	for _, id := range []string{"i-old-1", "i-old-2", "i-old-3"} {
		acknowledged[id] = servers[id].Drain()
	}
	time.Sleep(lab.DrainBound + extraTime)
	l.Logf("i-old-1 exits")
	_ = servers["i-old-1"].Close() // Ends its connections.
	l.Store.Remove("servers/i-old-1")
	group.Wait()
	j.check(l, acknowledged)
	return nil
}

func main() { lab.Main(run) }
