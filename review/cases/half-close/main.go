//go:build review

// Command half-close sends unrepeatable requests from clients that close their sending side while the request runs, and go on
// reading. It is an observation, no case: the pages name no such client.
package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"

	"chicoryhoist.example/hoist/review/lab"
)

const (
	serverCount = 3
	requests    = 12
	workTime    = 300 * time.Millisecond
	// closeDelay is the time from the request to the close of the sending side.
	closeDelay = 100 * time.Millisecond
	deadline   = time.Second
)

// request sends one request and checks the response.
func request(l *lab.Lab, router int, id string) error {
	c, err := net.Dial("tcp", l.Front(router))
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }() // The response was read.
	if err := c.SetDeadline(time.Now().Add(2 * deadline)); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c, "POST /order/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: 0\r\n\r\n",
		id, lab.Host, lab.HeaderID, id, lab.HeaderKey, lab.Key, lab.HeaderDeadline, deadline.Milliseconds())
	if err != nil {
		return err
	}
	l.Logf("client sends %s to router %d", id, router+1)
	time.Sleep(closeDelay)
	if l.Trouble {
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			return err
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		l.Logf("answer to %s: %v", id, err)
		return nil
	}
	_ = resp.Body.Close() // The status and the header are all that is checked.
	l.Logf("answer to %s: status %d, length %d, seal %q", id, resp.StatusCode, resp.ContentLength, resp.Header.Get(lab.HeaderSeal))
	if resp.StatusCode/100 == 2 && resp.Header.Get(lab.HeaderSeal) == "" {
		l.Violate("MIXED: answer to %s is a success without a seal", id)
	}
	return nil
}

func run(l *lab.Lab) error {
	for i := range serverCount {
		_, err := l.AddServer("orders", fmt.Sprintf("i-ord-%d", i+1), i%3, 6, func(s *lab.Server, w http.ResponseWriter, r *http.Request) {
			l.Logf("%s runs %s", s.ID, r.Header.Get(lab.HeaderID))
			time.Sleep(workTime)
			_, _ = fmt.Fprint(w, "answer") // A caller that has left needs no answer.
		})
		if err != nil {
			return err
		}
	}
	l.Publish(1, lab.Route{Name: "order", Prefix: "/order/", Kind: "non_idempotent", Service: "orders", TimeoutMs: 1000, TargetMs: 400, Attempts: 1})
	if err := l.StartRouters(); err != nil {
		return err
	}
	for n := range requests {
		if err := request(l, n%l.Routers(), fmt.Sprintf("h%03d", n)); err != nil {
			return err
		}
	}
	return nil
}

func main() { lab.Main(run) }
