//go:build review

// Command headers shows that untrusted callers whose headers stay inside the limit make a router exceed the memory of its
// machine.
package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"chicoryhoist.example/hoist/review/lab2"
)

const (
	// memoryMB is memory_mb of a machine of hearthline-th.
	memoryMB = 134
	// maxHeaderBytes is max_header_bytes of the configuration.
	maxHeaderBytes = 16384
	// crowd is the number of untrusted callers, and addresses the number of their loopback addresses.
	crowd, addresses = 800, 20
	bodyBytes        = 1000
	// rounds is the number of times that the callers come.
	rounds = 3
)

func main() {
	l := lab2.New()
	store := l.NewStore()
	for i := range 4 {
		l.StartServer(store, &lab2.Server{ID: fmt.Sprintf("i-app%d", i), Service: "app", Slots: 6, Work: 30 * time.Millisecond})
	}
	store.Put("op/config", lab2.Config(7))
	var machines []*machine
	for n := range 2 {
		r := l.StartRouter(store.Address, []int{1, 2}, n+1, lab2.Settings{MemoryMB: memoryMB, FDs: 4100})
		machines = append(machines, &machine{lab: l, r: r})
	}
	ctx, stop := context.WithCancel(context.Background())
	var g sync.WaitGroup
	for _, m := range machines {
		m.r.AwaitReady()
		g.Go(func() { m.watch(ctx) })
		for i := range 4 {
			g.Go(func() { m.callOrdinary(ctx, i) })
		}
	}
	time.Sleep(3 * time.Second)
	report(l, machines)
	h := head()
	for round := range rounds {
		if l.Trouble {
			l.Log("round %d: at each router, %d callers from %d addresses send a header of %d bytes (limit %d) and %d bytes of a chunked body without its end", round+1, crowd, addresses, len(h), maxHeaderBytes, bodyBytes)
			for _, m := range machines {
				g.Go(func() {
					m.r.AwaitReady()
					m.attack(h)
				})
			}
		}
		time.Sleep(10 * time.Second)
		report(l, machines)
	}
	stop()
	g.Wait()
	often := 0
	for _, m := range machines {
		if m.ends.Load() >= 3 {
			often++
		}
	}
	if often >= 2 {
		l.Break("on %d machines, processes have ended three times or more, because they held more than memory_mb", often)
	}
	l.End()
}

// machine is a machine with its router process and what its ordinary callers have seen.
type machine struct {
	lab                  *lab2.Lab
	r                    *lab2.Router
	ends, answered, lost atomic.Int64
	peak                 atomic.Int64
}

// watch plays the platform: it ends a process that holds more than memory_mb, and starts it again. Only anonymous memory
// counts here, without the program's file.
func (m *machine) watch(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		n := m.r.Status("RssAnon")
		m.peak.Store(max(m.peak.Load(), int64(n)))
		if n <= memoryMB<<10 {
			continue
		}
		m.ends.Add(1)
		m.lab.Log("%s holds %d kB of anonymous memory, memory_mb = %d is %d kB; the platform ends it", m.r.Name, n, memoryMB, memoryMB<<10)
		m.r.Kill()
		<-m.r.Ended
		time.Sleep(time.Second)
		m.r.Restart()
	}
}

// callOrdinary sends ordinary requests one after the other.
func (m *machine) callOrdinary(ctx context.Context, caller int) {
	for k := 0; ctx.Err() == nil; k++ {
		id := fmt.Sprintf("ordinary-%s-%d-%d", m.r.Name, caller, k)
		x := lab2.Send(lab2.Call{Address: m.r.Front, Method: "GET", Path: "/read/x", ID: id, Deadline: time.Second})
		if x.Status == 200 && x.Err == nil && x.Body == lab2.Body(id) {
			m.answered.Add(1)
		} else {
			m.lost.Add(1)
			m.lab.Log("%s: status %d, error %v after %d ms", id, x.Status, x.Err, x.Took.Milliseconds())
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// attack lets the crowd call the router, and leaves after a while.
func (m *machine) attack(h []byte) {
	conns := start(m.r.Front, h)
	m.lab.Log("%d callers have sent to %s", len(conns), m.r.Name)
	time.Sleep(5 * time.Second)
	for _, c := range conns {
		_ = c.Close()
	}
}

// report writes what has been seen so far.
func report(l *lab2.Lab, machines []*machine) {
	for _, m := range machines {
		l.Log("%s: %d ordinary requests answered, %d not; peak %d kB, process ended %d times", m.r.Name, m.answered.Load(), m.lost.Load(), m.peak.Load(), m.ends.Load())
	}
}

// head returns a header inside the limit: the fields of an ordinary request and many short ones.
func head() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /order/x HTTP/1.1\r\nHost: %s\r\nChicoryhoist-Key: %s\r\nChicoryhoist-Request-Id: untrusted\r\nChicoryhoist-Deadline-Ms: 5000\r\nTransfer-Encoding: chunked\r\n", lab2.Host, lab2.Key)
	for n := 36 * 36 * 10; b.Len() < maxHeaderBytes-16; n++ {
		b.WriteString(strconv.FormatInt(int64(n), 36) + ":\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// start connects the callers; each sends what it has and then waits.
func start(address string, h []byte) []net.Conn {
	var conns []net.Conn
	var mu sync.Mutex
	var g sync.WaitGroup
	for i := range crowd {
		g.Go(func() {
			d := net.Dialer{Timeout: 2 * time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(i%addresses)+1)}}
			c, err := d.Dial("tcp", address)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
			_, _ = c.Write(append(bytes.Clone(h), fmt.Appendf(nil, "%x\r\n%s\r\n", bodyBytes, bytes.Repeat([]byte("x"), bodyBytes))...))
		})
	}
	g.Wait()
	return conns
}
