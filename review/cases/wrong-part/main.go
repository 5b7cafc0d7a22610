//go:build review

// Command wrong-part sends streams whose first prompt part crashes servers, and sound streams that share their caller and
// their second part.
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
	// deadlyPart crashes servers. soundPart takes its place in sound prompts, and sharedPart follows in all of them.
	deadlyPart, soundPart, sharedPart = "dead01:300", "5c1e07a2:300", "91bd3f06:200"
	// downTime is the time after which a crashed server is back.
	downTime   = 3 * time.Second
	events     = 5
	eventPause = 20 * time.Millisecond
	deadline   = 3 * time.Second
	// period is the time from one sound request to the next; every second one is followed by two requests with the part.
	period      = 500 * time.Millisecond
	firstDeadly = 200 * time.Millisecond
	nextDeadly  = 150 * time.Millisecond
	// soundBefore is the number of sound requests before the first with the part, and soundAfter that of those afterwards.
	soundBefore, soundAfter = 24, 60
	// minCompared is the number of sound requests that the rule needs of each time.
	minCompared = 20
)

// record holds what servers and clients have seen.
type record struct {
	mu       sync.Mutex
	crashes  []time.Time
	begun    map[string]bool
	sent     map[string]time.Time
	firstBad time.Time
	lastBad  time.Time
}

// stream runs one request.
func (x *record) stream(l *lab.Lab, s *lab.Server, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(lab.HeaderID)
	x.mu.Lock()
	x.begun[id] = true
	x.mu.Unlock()
	l.Logf("%s runs %s", s.ID, id)
	time.Sleep(eventPause)
	if l.Trouble && strings.Contains(r.Header.Get(lab.HeaderParts), deadlyPart) {
		if s.Crash(downTime) {
			x.mu.Lock()
			x.crashes = append(x.crashes, time.Now())
			x.mu.Unlock()
			l.Logf("%s has crashed on %s", s.ID, id)
		}
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	for n := 1; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n); err != nil {
			return
		}
		if c.Flush() != nil {
			return
		}
		time.Sleep(eventPause)
	}
}

// check compares how often sound requests began before the first request with the part, and while such requests came, from
// two settle windows after the fifth crash, or the last if there were fewer.
func (x *record) check(l *lab.Lab) {
	x.mu.Lock()
	defer x.mu.Unlock()
	l.Logf("%d crashes", len(x.crashes))
	if len(x.crashes) == 0 {
		return
	}
	from := x.crashes[min(len(x.crashes), 5)-1].Add(2 * lab.SettleWindow)
	var before, begunBefore, after, begunAfter int
	for id, at := range x.sent {
		begun := 0
		if x.begun[id] {
			begun = 1
		}
		switch {
		case at.Before(x.firstBad):
			before++
			begunBefore += begun
		case at.After(from) && at.Before(x.lastBad):
			after++
			begunAfter += begun
		}
	}
	l.Logf("sound requests: %d of %d began before the first request with the part, %d of %d while such requests came", begunBefore, before, begunAfter, after)
	if before < minCompared || after < minCompared {
		l.Logf("too few sound requests to compare")
		return
	}
	if float64(begunAfter)/float64(after) < 0.5*float64(begunBefore)/float64(before) {
		l.Violate("LOST: %d of %d sound requests began at the first attempt, %d of %d before", begunAfter, after, begunBefore, before)
	}
}

func run(l *lab.Lab) error {
	x := &record{begun: map[string]bool{}, sent: map[string]time.Time{}}
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
	send := func(kind, first string) {
		n := number.Add(1)
		id := fmt.Sprintf("%s%05d", kind, n)
		x.mu.Lock()
		if now := time.Now(); kind == "sound" {
			x.sent[id] = now
		} else {
			x.lastBad = now
			if x.firstBad.IsZero() {
				x.firstBad = now
			}
		}
		x.mu.Unlock()
		group.Go(func() {
			a := l.Send(lab.Call{
				Router: int(n) % l.Routers(), Method: http.MethodPost, Path: "/triage/" + id, ID: id,
				Parts: fmt.Sprintf("%s,%s,%x:150", first, sharedPart, 0xa0000+n), Deadline: deadline,
			})
			l.Logf("answer to %s: status %d, %d bytes, complete %t", id, a.Status, len(a.Body), a.Complete)
		})
	}
	for range soundBefore {
		send("sound", soundPart)
		time.Sleep(period)
	}
	for n := range soundAfter {
		next := time.Now().Add(period)
		send("sound", soundPart)
		if n%2 == 0 {
			time.Sleep(firstDeadly)
			send("dead", deadlyPart)
			time.Sleep(nextDeadly)
			send("dead", deadlyPart)
		}
		time.Sleep(time.Until(next))
	}
	group.Wait()
	x.check(l)
	return nil
}

func main() { lab.Main(run) }
