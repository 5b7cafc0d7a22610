//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// windowBytes is the size of the socket buffers of stand-ins: the windows of the platform are small.
const windowBytes = 64 << 10

// workTime is the time that a server works on a request, work_ms of the small deployments.
const workTime = 30 * time.Millisecond

// leaving is set once the server leaves, which SIGUSR1 tells it.
var leaving atomic.Bool

// seal is the signature of the answers of a server.
func seal(id string, n int) string { return fmt.Sprintf("%x.%s.%d", len(id), id, n) }

// runServer serves requests on the address as the server with the ID until it is killed. Each request that it runs is a line on
// standard output.
func runServer(args []string) error {
	address, id := args[0], args[1]
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	go func() {
		<-signals
		leaving.Store(true)
	}()
	fmt.Println("listening")
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go serveConn(c.(*net.TCPConn), id)
	}
}

// serveConn serves the requests of one connection, one at a time.
func serveConn(c *net.TCPConn, id string) {
	defer c.Close()
	_ = c.SetWriteBuffer(windowBytes)
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		request := r.Header.Get("Chicoryhoist-Request-Id")
		switch expected := r.Header.Get("Chicoryhoist-Expect-Instance"); {
		case r.URL.Path == "/health":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nChicoryhoist-Instance-Id: %s\r\nChicoryhoist-Server-Load: 0,0,6\r\nContent-Length: 0\r\n\r\n", id)
			continue
		case expected != "" && expected != id:
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nChicoryhoist-Instance-Id: %s\r\nChicoryhoist-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id, request)
			continue
		}
		fmt.Printf("run %s %s %s tenant=%s body=%d at=%d\n", id, request, r.URL.RequestURI(), r.Header.Get("Chicoryhoist-Tenant"), len(body), time.Now().UnixMilli())
		if r.URL.Query().Has("old") {
			fmt.Fprintf(c, "HTTP/1.0 200 OK\r\nX-Long: %s\r\nChicoryhoist-Request-Id: %s\r\nChicoryhoist-Response-Seal: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", strings.Repeat("x", 4200), request, seal(id, 5))
			return
		}
		if strings.Contains(r.URL.RawQuery, "bytes=") {
			n, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nChicoryhoist-Request-Id: %s\r\nChicoryhoist-Response-Seal: %s\r\nContent-Type: application/octet-stream\r\nConnection: close\r\n\r\n", request, seal(id, n))
			writeBody(c, n)
			fmt.Printf("sent %s %s %d\n", id, request, n)
			return
		}
		time.Sleep(workTime)
		text, notice := "done "+request, ""
		if leaving.Load() {
			notice = "Server-Leaving: 1\r\n"
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nChicoryhoist-Request-Id: %s\r\nChicoryhoist-Response-Seal: %s\r\nChicoryhoist-Server-Load: 1,0,6\r\n%sContent-Length: %d\r\n\r\n%s", request, seal(id, len(text)), notice, len(text), text)
	}
}

// writeBody writes n bytes of a body that tells its positions.
func writeBody(c *net.TCPConn, n int) {
	var b bytes.Buffer
	for n > 0 {
		b.Reset()
		for b.Len() < min(n, 16<<10) {
			fmt.Fprintf(&b, "%015d\n", n-b.Len())
		}
		b.Truncate(min(b.Len(), n))
		if _, err := c.Write(b.Bytes()); err != nil {
			return
		}
		n -= b.Len()
	}
}

func fatal(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(exitUnable)
}
