//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// bodyBytes is the length of the answer.
	bodyBytes = 6 << 20
	// readBefore is what the client reads before it rests, and restTime the time for which it rests.
	readBefore = 128 << 10
	restTime   = 6 * time.Second
	// crashAfter is the time from the start of the rest to the crash of the server, and downTime the time until it is back.
	crashAfter = time.Second
	downTime   = 3 * time.Second
)

// playSlow kills a server in the middle of an answer without a length whose client reads slowly, and starts it again.
func playSlow(f *fleet, trouble bool) (bool, error) {
	zones := []string{"a", "b"}
	for i := range 2 {
		if err := f.startServer(fmt.Sprintf("app-%d", i+1), "app", zones[i]); err != nil {
			return false, err
		}
	}
	f.note("store: configuration at revision %d", f.store.put("op/config", configuration(2, 30000, 0, "north-1")))
	for i := range 2 {
		f.register(fmt.Sprintf("app-%d", i+1), "ready")
	}
	if err := f.startRouters(2, zones...); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	id := "large-1"
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
		})
		return errors.Join(err, failed)
	}}
	c, err := d.Dial("tcp", f.routers[0].callers)
	if err != nil {
		return false, err
	}
	defer c.Close()
	fmt.Fprintf(c, "GET /read/large?bytes=%d HTTP/1.1\r\nHost: app.example\r\nChicoryhoist-Request-Id: %s\r\nChicoryhoist-Key: north-1\r\nChicoryhoist-Deadline-Ms: 30000\r\n\r\n", bodyBytes, id)
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodGet})
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	f.note("client: status %d, seal %q, length %d, encoding %v", resp.StatusCode, resp.Header.Get("Chicoryhoist-Response-Seal"), resp.ContentLength, resp.TransferEncoding)
	n, err := io.CopyN(io.Discard, resp.Body, readBefore)
	f.note("client: has read %d bytes, %v; rests", n, err)
	time.Sleep(crashAfter)
	if trouble {
		victim := ""
		f.mu.Lock()
		for _, line := range f.runs {
			if fields := strings.Fields(line); fields[0] == "run" && fields[2] == id {
				victim = fields[1]
			}
		}
		f.mu.Unlock()
		if victim == "" {
			return false, fmt.Errorf("no server runs the request")
		}
		f.servers[victim].kill()
		f.note("server %s crashes", victim)
		time.Sleep(downTime)
		if err := f.startServer(victim, "app", f.servers[victim].zone); err != nil {
			return false, err
		}
		f.register(victim, "ready")
	}
	time.Sleep(restTime - crashAfter - downTime)
	rest, err := io.Copy(io.Discard, resp.Body)
	n += rest
	f.note("client: the answer has ended after %d of %d bytes, %v", n, bodyBytes, err)
	if resp.StatusCode != http.StatusOK || resp.Header.Get("Chicoryhoist-Response-Seal") == "" {
		return false, nil
	}
	return err == nil && n != bodyBytes, nil
}
