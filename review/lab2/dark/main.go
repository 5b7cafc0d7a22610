//go:build review

// Command dark shows that a request that makes each server go dark which begins to run it is not kept from servers.
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
	// the request comes times times; again is the time between the end of one and the next.
	times = 9
	again = 3 * time.Second
	// ordinaryRate is the number of ordinary requests a second at all routers together.
	ordinaryRate = 40
)

func main() {
	l := lab2.New()
	store := l.NewStore()
	var mu sync.Mutex
	var crashes int
	var third time.Time
	late := map[string]bool{}
	for i := range servers {
		l.StartServer(store, &lab2.Server{
			ID: fmt.Sprintf("i-llm%d", i), Service: "llm", Slots: 128, Work: 40 * time.Millisecond, Events: 10, Silent: true,
			Deadly: func(r *http.Request) bool { return l.Trouble && strings.HasSuffix(r.URL.Path, "/deadly") },
			Crashed: func(s *lab2.Server, r *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				crashes++
				id := r.Header.Get("Chicoryhoist-Request-Id")
				if crashes == 3 {
					third = time.Now()
				}
				if crashes > 3 && time.Since(third) > settle {
					late[id] = true
				}
				l.Log("crash %d: request %s makes server %s go dark", crashes, id, s.ID)
			},
		})
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
				x := lab2.Send(lab2.Call{Address: rs[k%routers].Front, Method: "POST", Path: "/guide/x", ID: id, BodyBytes: 1400, Deadline: 5 * time.Second, Prefix: fmt.Sprintf("5c1e%04x:341,91bd%04x:227,e4%06x:250", k%8, k%393, k)})
				if x.Status == 200 && x.Err == nil {
					answered.Add(1)
				} else {
					cut.Add(1)
					l.Log("%s at %s: status %d, error %v after %d ms", id, rs[k%routers].Name, x.Status, x.Err, x.Took.Milliseconds())
				}
			})
		}
	})
	time.Sleep(3 * time.Second)
	for i := range times {
		r := rs[i%routers]
		x := lab2.Send(lab2.Call{Address: r.Front, Method: "POST", Path: "/guide/deadly", ID: fmt.Sprintf("deadly-%d", i), BodyBytes: 1500, Deadline: 5 * time.Second, Prefix: "5c1effff:341,91bdffff:227,e4ffffff:250"})
		l.Log("deadly request %d at %s: status %d, error %v after %d ms", i, r.Name, x.Status, x.Err, x.Took.Milliseconds())
		time.Sleep(again)
	}
	stop()
	g.Wait()
	mu.Lock()
	l.Log("%d ordinary requests answered whole, %d not; %d crashes", answered.Load(), cut.Load(), crashes)
	if len(late) > 3 {
		l.Break("the request has reached servers in %d retries later than %v after its third crash", len(late), settle)
	}
	mu.Unlock()
	l.End()
}
