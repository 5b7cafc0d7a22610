//go:build review

// Command parts shows that a request that crashes servers is not kept from them if its prompt lists many parts.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chicoryhoist.example/hoist/review/lab2"
)

const (
	// settle is settle_window_ms, memoryMB memory_mb of a machine of hearthline-th.
	settle   = 3 * time.Second
	memoryMB = 134
	routers  = 3
	// prefixBytes is the length of the prompt prefix, so that the header stays inside max_header_bytes (16,384), and partTokens
	// the size of each part.
	prefixBytes = 15800
	partTokens  = 8
	// again is the time after which the deadly request comes again.
	again = 3 * time.Second
	// ordinaryRate is the number of ordinary requests a second at all routers together.
	ordinaryRate = 40
)

func main() {
	l := lab2.New()
	store := l.NewStore()
	var mu sync.Mutex
	var crashes int
	late := map[string]bool{}
	var third time.Time
	deadly := func(r *http.Request) bool { return l.Trouble && strings.HasSuffix(r.URL.Path, "/deadly") }
	crashed := func(s *lab2.Server, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		crashes++
		l.Log("crash %d: request %s crashes server %s", crashes, r.Header.Get("Chicoryhoist-Request-Id"), s.ID)
		if crashes == 3 {
			third = time.Now()
		}
		if crashes > 3 && time.Since(third) > settle {
			late[r.Header.Get("Chicoryhoist-Request-Id")] = true
		}
	}
	var cut atomic.Int64
	for i := range 12 {
		l.StartServer(store, &lab2.Server{ID: fmt.Sprintf("i-llm%d", i), Service: "llm", Slots: 128, Work: 40 * time.Millisecond, Events: 10, Deadly: deadly, Crashed: crashed})
	}
	store.Put("op/config", lab2.Config(7))
	var rs []*lab2.Router
	for n := range routers {
		rs = append(rs, l.StartRouter(store.Address, []int{1, 2, 3}, n+1, lab2.Settings{MemoryMB: memoryMB, FDs: 4100}))
	}
	for _, r := range rs {
		r.AwaitReady()
	}
	time.Sleep(time.Second)

	ctx, stop := context.WithCancel(context.Background())
	var g sync.WaitGroup
	var answered atomic.Int64
	g.Go(func() {
		for k := 0; ctx.Err() == nil; k++ {
			time.Sleep(time.Second / ordinaryRate)
			g.Go(func() {
				id := fmt.Sprintf("ordinary-%d", k)
				x := lab2.Send(lab2.Call{
					Address: rs[k%routers].Front, Method: "POST", Path: "/triage/x", ID: id, BodyBytes: 4700, Deadline: 3 * time.Second,
					Prefix: fmt.Sprintf("5c1e%04x:341,91bd%04x:227,e440%04x:250", k%8, k%393, k),
				})
				if x.Status == 200 && x.Err == nil {
					answered.Add(1)
				} else {
					cut.Add(1)
					l.Log("%s at %s: status %d, error %v after %d ms", id, rs[k%routers].Name, x.Status, x.Err, x.Took.Milliseconds())
				}
			})
		}
	})
	if f := os.Getenv("IDF"); f != "" {
		idFormat = f
	}
	prefix, parts := longPrefix()
	if os.Getenv("PARTS") == "3" {
		// A control: the same request with three parts is kept from servers.
		prefix, parts = "5c1effff:341,91bdffff:227,e440ffff:250", 3
	}
	l.Log("the deadly request has a prompt of %d parts in %d bytes", parts, len(prefix))
	for i := range 8 {
		time.Sleep(again)
		r := rs[i%routers]
		x := lab2.Send(lab2.Call{Address: r.Front, Method: "POST", Path: "/triage/deadly", ID: fmt.Sprintf("deadly-%d", i), BodyBytes: 4700, Deadline: 3 * time.Second, Prefix: prefix})
		l.Log("deadly request %d at %s: status %d, error %v after %d ms", i, r.Name, x.Status, x.Err, x.Took.Milliseconds())
		for _, r := range rs {
			l.Log("%s: memory %d kB, peak %d kB", r.Name, r.Status("VmRSS"), r.Status("VmHWM"))
		}
	}
	stop()
	g.Wait()
	mu.Lock()
	l.Log("%d ordinary requests answered whole, %d not; %d crashes", answered.Load(), cut.Load(), crashes)
	if len(late) > 3 {
		l.Break("the request has reached servers in %d retries later than %v after its third crash", len(late), settle)
	}
	for _, r := range rs {
		if p := r.Status("VmHWM"); p > memoryMB<<10 {
			l.Log("%s has held %d kB, more than memory_mb (%d kB)", r.Name, p, memoryMB<<10)
		}
	}
	mu.Unlock()
	l.End()
}

// idFormat is the format of the ID of a part, which the pages write in hexadecimal.
var idFormat = "%08x"

// longPrefix returns a prompt prefix of prefixBytes and the number of its parts.
func longPrefix() (string, int) {
	var b strings.Builder
	n := 0
	for ; b.Len() < prefixBytes; n++ {
		if n > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, idFormat+":%d", uint32(n+1)*0x9e3779b1, partTokens)
	}
	return b.String(), n
}
