//go:build review

// Command seats shows that untrusted callers with small unfinished bodies take all connections of a router, which takes no
// new one for seconds and still says that it is ready.
package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"chicoryhoist.example/hoist/review/lab2"
)

const (
	// descriptors is max_fds of a machine of hearthline-th, and settle its settle_window_ms.
	descriptors = 4100
	settle      = 3 * time.Second
	// crowd is the number of untrusted callers, less than half of the descriptors, and addresses the number of their
	// addresses. Each body is far below max_body_bytes.
	crowd, addresses = 2000, 20
	bodyBytes        = 4000
	// clients is the number of ordinary clients that try all the time; the rule asks for seven.
	clients = 10
)

func main() {
	l := lab2.New()
	store := l.NewStore()
	for i := range 4 {
		l.StartServer(store, &lab2.Server{ID: fmt.Sprintf("i-app%d", i), Service: "app", Slots: 6, Work: 30 * time.Millisecond})
	}
	store.Put("op/config", lab2.Config(7))
	r := l.StartRouter(store.Address, []int{1}, 1, lab2.Settings{MemoryMB: 134, FDs: descriptors})
	r.AwaitReady()

	ctx, stop := context.WithCancel(context.Background())
	var g sync.WaitGroup
	var answered, unanswered, refused, lastAnswer, lastUnready atomic.Int64
	lastAnswer.Store(time.Now().UnixMilli())
	tries := make([]atomic.Int64, clients)
	for i := range clients {
		g.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				id := fmt.Sprintf("ordinary-%d-%d", i, k)
				tries[i].Store(time.Now().UnixMilli())
				x := lab2.Send(lab2.Call{Address: r.Front, Method: "GET", Path: "/read/x", ID: id, Deadline: time.Second})
				switch {
				case x.Status == 200 && x.Err == nil && x.Body == lab2.Body(id):
					answered.Add(1)
					lastAnswer.Store(time.Now().UnixMilli())
				case x.Status != 0:
					refused.Add(1)
					lastAnswer.Store(time.Now().UnixMilli())
					l.Log("%s: status %d", id, x.Status)
				default:
					unanswered.Add(1)
					l.Log("%s: no answer in %d ms: %v", id, x.Took.Milliseconds(), x.Err)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	l.Log("before: %d answered, %d refused, %d without an answer", answered.Load(), refused.Load(), unanswered.Load())
	if l.Trouble {
		l.Log("%d callers from %d addresses send %d bytes of a chunked body without its end", crowd, addresses, bodyBytes)
		conns := start(r.Front)
		l.Log("%d callers have sent", len(conns))
		defer func() {
			for _, c := range conns {
				_ = c.Close()
			}
		}()
	}
	end := time.Now().Add(15 * time.Second)
	broken, longest := false, int64(0)
	for last := time.Now(); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if time.Since(last) > time.Second {
			last = time.Now()
			// The platform asks once a second.
			if !r.IsReady() {
				lastUnready.Store(time.Now().UnixMilli())
				l.Log("the router is not ready")
			}
			l.Log("%d answered, %d refused, %d without an answer, last answer %d ms ago", answered.Load(), refused.Load(), unanswered.Load(), time.Now().UnixMilli()-lastAnswer.Load())
		}
		now := time.Now().UnixMilli()
		silent := now - max(lastAnswer.Load(), lastUnready.Load())
		longest = max(longest, silent)
		if silent > settle.Milliseconds() && !broken {
			trying := 0
			for i := range tries {
				if now-tries[i].Load() < 1500 {
					trying++
				}
			}
			if trying >= 7 {
				broken = true
				l.Break("for %d ms no new connection was answered, while %d ordinary clients tried and the router said that it was ready", silent, trying)
			}
		}
	}
	stop()
	g.Wait()
	l.Log("longest time without an answer while ready: %d ms", longest)
	l.End()
}

// start connects the callers; each sends what it has and then waits.
func start(address string) []net.Conn {
	var conns []net.Conn
	var mu sync.Mutex
	var g sync.WaitGroup
	gate := make(chan struct{}, 100)
	for i := range crowd {
		gate <- struct{}{}
		g.Go(func() {
			defer func() { <-gate }()
			d := net.Dialer{Timeout: 2 * time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(i%addresses)+1)}}
			c, err := d.Dial("tcp", address)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
			_, _ = fmt.Fprintf(c, "POST /order/x HTTP/1.1\r\nHost: %s\r\nChicoryhoist-Key: %s\r\nChicoryhoist-Request-Id: untrusted-%d\r\nChicoryhoist-Deadline-Ms: 5000\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
				lab2.Host, lab2.Key, i, bodyBytes, bytes.Repeat([]byte("x"), bodyBytes))
		})
	}
	g.Wait()
	return conns
}
