//go:build review

// Command waves shows that requests with a part that crashes servers are not kept from them if several of them come at the
// same moment.
package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chicoryhoist.example/hoist/review/lab2"
)

const (
	// settle is settle_window_ms of a machine of hearthline-th.
	settle  = 3 * time.Second
	routers = 3
	servers = 12
	// deadlyPart is the part that crashes the server that begins to write an answer on it.
	deadlyPart = "dead0001"
	// firstEvent is the time until an engine of the site begins its answer (first_ms).
	firstEvent = 31 * time.Millisecond
	// waveSize requests with that part come at the same moment, waves times, every waveGap.
	waveSize = 6
	waves    = 4
	waveGap  = 5 * time.Second
	// ordinaryRate is the number of ordinary requests a second at all routers together.
	ordinaryRate = 40
)

// count is what the servers have seen.
type count struct {
	mu                      sync.Mutex
	arrivals, crashes, late int
	fifth                   time.Time
}

func main() {
	l := lab2.New()
	store := l.NewStore()
	var c count
	isDeadly := func(r *http.Request) bool {
		return strings.Contains(r.Header.Get("Chicoryhoist-Prompt-Prefix"), deadlyPart+":")
	}
	for i := range servers {
		s := &lab2.Server{ID: fmt.Sprintf("i-llm%d", i), Service: "llm", Slots: 128, Work: 40 * time.Millisecond, Events: 10, DeadlyAfter: firstEvent}
		s.Ran = func(s *lab2.Server, r *http.Request) {
			if !isDeadly(r) {
				return
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			c.arrivals++
			isLate := c.crashes >= 5 && time.Since(c.fifth) > settle
			if isLate {
				c.late++
			}
			l.Log("request %s reaches server %s, late %v", r.Header.Get("Chicoryhoist-Request-Id"), s.ID, isLate)
		}
		s.Deadly = func(r *http.Request) bool { return l.Trouble && isDeadly(r) }
		s.Crashed = func(s *lab2.Server, _ *http.Request) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.crashes++
			if c.crashes == 5 {
				c.fifth = time.Now()
			}
			l.Log("crash %d: server %s", c.crashes, s.ID)
		}
		l.StartServer(store, s)
	}
	store.Put("op/config", lab2.Config(7))
	var rs []*lab2.Router
	for n := range routers {
		rs = append(rs, l.StartRouter(store.Address, []int{1, 2, 3}, n+1, lab2.Settings{MemoryMB: 134, FDs: 4100}))
	}
	for _, r := range rs {
		r.AwaitReady()
	}
	time.Sleep(time.Second)

	ctx, stop := context.WithCancel(context.Background())
	var g sync.WaitGroup
	var answered, cut atomic.Int64
	g.Go(func() {
		for k := 0; ctx.Err() == nil; k++ {
			time.Sleep(time.Second / ordinaryRate)
			g.Go(func() {
				id := fmt.Sprintf("ordinary-%d", k)
				x := lab2.Send(lab2.Call{Address: rs[k%routers].Front, Method: "POST", Path: "/guide/x", ID: id, BodyBytes: 1400, Deadline: 5 * time.Second, Prefix: prefix(k%servers, fmt.Sprintf("91bd%04x", k%96), k)})
				if x.Status == 200 && x.Err == nil {
					answered.Add(1)
				} else {
					cut.Add(1)
					l.Log("%s at %s: status %d, error %v after %d ms", id, rs[k%routers].Name, x.Status, x.Err, x.Took.Milliseconds())
				}
			})
		}
	})
	time.Sleep(5 * time.Second)
	for w := range waves {
		l.Log("wave %d: %d requests with part %s", w+1, waveSize, deadlyPart)
		var wave sync.WaitGroup
		for i := range waveSize {
			wave.Go(func() {
				r, id := rs[i%routers], fmt.Sprintf("wave-%d-%d", w+1, i)
				x := lab2.Send(lab2.Call{Address: r.Front, Method: "POST", Path: "/guide/x", ID: id, BodyBytes: 1400 + i, Deadline: 5 * time.Second, Prefix: prefix(i, deadlyPart, 100000+10*w+i)})
				l.Log("%s at %s: status %d, error %v after %d ms", id, r.Name, x.Status, x.Err, x.Took.Milliseconds())
			})
		}
		wave.Wait()
		time.Sleep(waveGap)
	}
	stop()
	g.Wait()
	c.mu.Lock()
	l.Log("%d ordinary requests answered whole, %d not; %d arrivals with the part, %d crashes", answered.Load(), cut.Load(), c.arrivals, c.crashes)
	if c.late > 3 && c.crashes >= 5 {
		l.Break("%d requests with the part have reached servers later than %v after the fifth crash", c.late, settle)
	}
	c.mu.Unlock()
	l.End()
}

// prefix returns a prompt of three parts: one of a few long ones that requests share, a second one and its own.
func prefix(shared int, second string, own int) string {
	return fmt.Sprintf("5c1e%04x:3780,%s:200,e4%06x:250", shared, second, own)
}
