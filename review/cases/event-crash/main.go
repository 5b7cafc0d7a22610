//go:build review

// Command event-crash sends streams that share a prompt part which crashes each server that begins to write an answer on it.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chicoryhoist.example/hoist/review/lab"
)

const (
	serverCount = 12
	// deadlyPart crashes servers; sharedPart is the first part of all prompts.
	deadlyPart, sharedPart = "dead01:300", "5c1e07a2:200"
	// downTime is the time after which a crashed server is back.
	downTime = 3 * time.Second
	events   = 5
	// eventPause is the pause between two events; a server crashes this time after its first event.
	eventPause = 30 * time.Millisecond
	// soundPause and deadlyPause are the pauses between two requests without and with the part.
	soundPause, deadlyPause = 100 * time.Millisecond, 500 * time.Millisecond
	duration                = 40 * time.Second
	deadline                = 3 * time.Second
	// boundCrashes is the crash from which the rule counts, and boundRequests the largest number of requests after it.
	boundCrashes, boundRequests = 5, 3
)

// record holds the crashes and the requests with the part that reached servers.
type record struct {
	mu       sync.Mutex
	crashes  []time.Time
	arrivals []time.Time
	ids      []string
}

// stream runs one request.
func (x *record) stream(l *lab.Lab, s *lab.Server, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(lab.HeaderID)
	deadly := strings.Contains(r.Header.Get(lab.HeaderParts), deadlyPart)
	if deadly {
		x.mu.Lock()
		x.arrivals, x.ids = append(x.arrivals, time.Now()), append(x.ids, id+" at "+s.ID)
		x.mu.Unlock()
	}
	l.Logf("%s runs %s", s.ID, id)
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	time.Sleep(eventPause)
	for n := 1; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n); err != nil {
			return
		}
		if c.Flush() != nil {
			return
		}
		time.Sleep(eventPause)
		if deadly && l.Trouble {
			if s.Crash(downTime) {
				x.mu.Lock()
				x.crashes = append(x.crashes, time.Now())
				x.mu.Unlock()
				l.Logf("%s has crashed on %s", s.ID, id)
			}
			panic(http.ErrAbortHandler)
		}
	}
}

// check counts the requests with the part that were sent to servers later than the settle window after the fifth crash.
func (x *record) check(l *lab.Lab) {
	x.mu.Lock()
	defer x.mu.Unlock()
	l.Logf("%d crashes, %d requests with the part reached servers", len(x.crashes), len(x.arrivals))
	if len(x.crashes) < boundCrashes {
		return
	}
	from := x.crashes[boundCrashes-1].Add(lab.SettleWindow)
	var late []string
	for i, at := range x.arrivals {
		if at.After(from) {
			late = append(late, x.ids[i])
		}
	}
	l.Logf("%d of them later than the settle window after the fifth crash", len(late))
	if len(late) > boundRequests {
		l.Violate("BUDGET: %d requests with the part reached servers later than the settle window after the fifth crash: %s", len(late), strings.Join(late, ", "))
	}
}

func run(l *lab.Lab) error {
	x := &record{}
	for i := range serverCount {
		_, err := l.AddServer("llm", fmt.Sprintf("i-llm-%d", i+1), i%3, 128, func(s *lab.Server, w http.ResponseWriter, r *http.Request) { x.stream(l, s, w, r) })
		if err != nil {
			return err
		}
	}
	l.Publish(1, lab.Route{Name: "triage", Prefix: "/triage/", Kind: "streaming", Service: "llm", TimeoutMs: 3000, TargetMs: 400, Attempts: 1})
	if err := l.StartRouters(); err != nil {
		return err
	}
	var group sync.WaitGroup
	var number atomic.Int64
	send := func(kind, parts string) {
		group.Go(func() {
			n := number.Add(1)
			id := fmt.Sprintf("%s%05d", kind, n)
			a := l.Send(lab.Call{Router: int(n) % l.Routers(), Method: http.MethodPost, Path: "/triage/" + id, ID: id, Parts: fmt.Sprintf("%s,%x:150", parts, 0xa0000+n), Deadline: deadline})
			l.Logf("answer to %s: status %d, %d bytes, complete %t", id, a.Status, len(a.Body), a.Complete)
		})
	}
	end := time.Now().Add(duration)
	group.Go(func() {
		for ; time.Now().Before(end); time.Sleep(soundPause) {
			send("sound", sharedPart)
		}
	})
	for ; time.Now().Before(end); time.Sleep(deadlyPause) {
		send("dead", sharedPart+","+deadlyPart)
	}
	group.Wait()
	x.check(l)
	return nil
}

func main() { lab.Main(run) }
