//go:build review

// Command unframed shows that a stream without a length looks complete to the client when its server is killed.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chicoryhoist.example/hoist/review/lab2"
)

const (
	servers = 6
	// A stream has events events, one each eventTime.
	events    = 20
	eventTime = 100 * time.Millisecond
	// kills servers are killed one after the other, each back after backAfter.
	kills     = 4
	backAfter = 2 * time.Second
	killEvery = 5 * time.Second
	// rate is the number of streams a second.
	rate = 15
)

func main() {
	if len(os.Args) == 4 && os.Args[1] == "server" {
		serve(os.Args[2], os.Args[3])
		return
	}
	l := lab2.New()
	store := l.NewStore()
	var ps []*process
	for i := range servers {
		p := &process{id: fmt.Sprintf("i-llm%d", i), address: lab2.FreeAddress()}
		p.start(store)
		ps = append(ps, p)
	}
	defer func() {
		for _, p := range ps {
			p.kill()
		}
	}()
	l.OnEnd = func() {
		for _, p := range ps {
			p.kill()
		}
	}
	store.Put("op/config", lab2.Config(7))
	var rs []*lab2.Router
	for n := range 2 {
		rs = append(rs, l.StartRouter(store.Address, []int{1, 2}, n+1, lab2.Settings{MemoryMB: 134, FDs: 4100}))
	}
	for _, r := range rs {
		r.AwaitReady()
	}
	ctx, stop := context.WithCancel(context.Background())
	var g sync.WaitGroup
	var whole, brokenOff, wrong, other atomic.Int64
	g.Go(func() {
		for k := 0; ctx.Err() == nil; k++ {
			time.Sleep(time.Second / rate)
			g.Go(func() {
				id := fmt.Sprintf("stream-%d", k)
				x := lab2.Send(lab2.Call{Address: rs[k%2].Front, Method: "POST", Path: "/guide/x", ID: id, BodyBytes: 1400, Deadline: 15 * time.Second, Prefix: fmt.Sprintf("5c1e%04x:103,91bd%04x:69,e4%06x:250", k%20, k%96, k)})
				n := strings.Count(x.Body, "\n\n")
				switch {
				case x.Status == 200 && x.Err == nil && n == events && strings.HasSuffix(x.Body, lab2.Event(id, events)):
					whole.Add(1)
				case x.Status == 200 && x.Err == nil:
					wrong.Add(1)
					l.Log("%s ends as complete after %d of %d events", id, n, events)
				case x.Status == 200:
					brokenOff.Add(1)
					l.Log("%s is broken off after %d events: %v", id, n, x.Err)
				default:
					other.Add(1)
					l.Log("%s: status %d, error %v", id, x.Status, x.Err)
				}
			})
		}
	})
	time.Sleep(5 * time.Second)
	for i := range kills {
		if l.Trouble {
			p := ps[i%servers]
			l.Log("server %s is killed", p.id)
			p.kill()
			time.AfterFunc(backAfter, func() {
				p.start(store)
				l.Log("server %s is back", p.id)
			})
		}
		time.Sleep(killEvery)
	}
	stop()
	g.Wait()
	l.Log("%d streams whole, %d broken off, %d complete before their last event, %d others", whole.Load(), brokenOff.Load(), wrong.Load(), other.Load())
	if n := wrong.Load(); n > 0 {
		l.Break("%d streams ended as complete before their last event", n)
	}
	l.End()
}

// process is a server process.
type process struct {
	id, address string
	cmd         *exec.Cmd
}

// start starts the process and writes its entry to the store.
func (p *process) start(store *lab2.Store) {
	p.cmd = exec.Command(os.Args[0], "server", p.id, p.address)
	p.cmd.Stderr = os.Stderr
	lab2.Must(p.cmd.Start())
	for range 100 {
		if c, err := net.Dial("tcp", p.address); err == nil {
			_ = c.Close()
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	store.PutServer(p.id, "llm", p.address, "ready", 128, time.Now().UnixMilli())
}

// kill kills the process.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// serve is the server process: its streams have neither a length nor chunks and end with their connection.
func serve(id, address string) {
	l, err := net.Listen("tcp", address)
	lab2.Must(err)
	for {
		c, err := l.Accept()
		lab2.Must(err)
		go func() {
			defer func() { _ = c.Close() }()
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			request := r.Header.Get("Chicoryhoist-Request-Id")
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nChicoryhoist-Request-Id: %s\r\nChicoryhoist-Response-Seal: seal-of-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", request, id); err != nil {
				return
			}
			for n := range events {
				if _, err := io.WriteString(c, lab2.Event(request, n+1)); err != nil {
					return
				}
				time.Sleep(eventTime)
			}
		}()
	}
}
