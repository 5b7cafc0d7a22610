//go:build review

// Command trials plays what was seen beside the cases: event IDs that leave numbers out, an event line of 4,096 bytes, a
// configuration with a fraction, and a request that crashes servers and comes again with another query.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"chicoryhoist.example/hoist/review/lab2"
)

// streams are the events of a path.
var streams = map[string][]string{
	"/guide/gap":  {"id: 10\ndata: a\n\n", "id: 20\ndata: b\n\n", "id: 30\ndata: c\n\n"},
	"/guide/line": {"id: 1\ndata: a\n\n", "id: 2\ndata: " + strings.Repeat("x", 4090) + "\n\n"},
}

func main() {
	l := lab2.New()
	store := l.NewStore()
	n, err := net.Listen("tcp", "127.0.0.1:0")
	lab2.Must(err)
	go accept(n)
	store.PutServer("i-llm0", "llm", n.Addr().String(), "ready", 128, time.Now().UnixMilli())
	crashes := make(chan string, 100)
	for i := range 4 {
		l.StartServer(store, &lab2.Server{
			ID: fmt.Sprintf("i-app%d", i), Service: "app", Slots: 6, Work: 10 * time.Millisecond,
			Deadly:  func(r *http.Request) bool { return r.URL.Path == "/order/deadly" },
			Crashed: func(_ *lab2.Server, r *http.Request) { crashes <- r.RequestURI },
		})
	}
	store.Put("op/config", lab2.Config(7))
	r := l.StartRouter(store.Address, []int{1}, 1, lab2.Settings{MemoryMB: 134, FDs: 4100})
	r.AwaitReady()
	for path, events := range streams {
		x := lab2.Send(lab2.Call{Address: r.Front, Method: "POST", Path: path, ID: path[1:], BodyBytes: 10, Deadline: 2 * time.Second, Prefix: "a:1,b:2"})
		if whole := strings.Join(events, ""); x.Err != nil || x.Body != whole {
			l.Break("%s: %d of %d bytes, error %v", path, len(x.Body), len(whole), x.Err)
		}
	}
	for i := range 7 {
		x := lab2.Send(lab2.Call{Address: r.Front, Method: "POST", Path: fmt.Sprintf("/order/deadly?attempt=%d", i), ID: fmt.Sprintf("deadly-%d", i), BodyBytes: 600, Deadline: time.Second})
		l.Log("deadly request %d: status %d", i, x.Status)
		time.Sleep(3500 * time.Millisecond)
	}
	if c := len(crashes); c > 4 {
		l.Break("a request with another query each time crashed %d servers in 7 attempts", c)
	}
	c := lab2.Config(9)
	c["tenants"] = []any{map[string]any{"name": "hule930", "api_keys": []string{"other"}, "priority": 1}}
	c["routes"].([]any)[0].(map[string]any)["timeout_ms"] = 2500.5
	store.Put("op/config", c)
	time.Sleep(6 * time.Second)
	if x := lab2.Send(lab2.Call{Address: r.Front, Method: "GET", Path: "/read/x", ID: "late", Deadline: time.Second}); x.Status == 200 {
		l.Break("a key runs 6 s after the configuration that took it away, in which timeout_ms is 2500.5")
	}
	l.End()
}

func accept(n net.Listener) {
	for {
		c, err := n.Accept()
		if err != nil {
			return
		}
		go serve(c)
	}
}

// serve answers with the events of the path.
func serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nChicoryhoist-Request-Id: %s\r\nChicoryhoist-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Chicoryhoist-Request-Id"))
		for _, e := range streams[r.URL.Path] {
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
			time.Sleep(10 * time.Millisecond)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
}
