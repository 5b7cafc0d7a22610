package front_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
)

const frameData = `{"id":"a7-1","object":"chat.completion.chunk","model":"stove","choices":[{"index":0,"delta":{"content":"word "}}]}`

// streamTokens answers the first request of each connection with n frames, without allocating memory for each frame.
func streamTokens(l net.Listener, n int) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r := bufio.NewReader(c)
			id := ""
			for line := "-"; strings.TrimSpace(line) != ""; line, _ = r.ReadString('\n') {
				if v, ok := strings.CutPrefix(line, "X-Request-Id: "); ok {
					id = strings.TrimSpace(v)
				}
			}
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			var frame, out []byte
			for i := range n + 1 {
				frame = append(append(frame[:0], "id: "...), id...)
				if i == n {
					frame = append(frame, ":END\ndata: [DONE]\n\n"...)
				} else {
					frame = strconv.AppendInt(append(frame, ':'), int64(i), 10)
					frame = append(append(append(frame, "\ndata: "...), frameData...), "\n\n"...)
				}
				out = append(strconv.AppendInt(out[:0], int64(len(frame)), 16), "\r\n"...)
				out = append(append(out, frame...), "\r\n"...)
				if _, err := c.Write(out); err != nil {
					return
				}
			}
			fmt.Fprint(c, "0\r\n\r\n")
		}()
	}
}

// BenchmarkRelay measures the forwarding of one token from the engine's socket to the caller's, including all allocations of the process.
func BenchmarkRelay(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	go streamTokens(l, b.N)
	address, stop := newFakeRouter(l.Addr().String()).serve(600000)
	defer stop()
	c, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	b.ReportAllocs()
	b.ResetTimer()
	fmt.Fprint(c, completionRequest(`{"model":"stove","stream":true,"messages":[{"role":"user","content":"hello"}]}`))
	buffer, tail := make([]byte, 32<<10), []byte(nil)
	for {
		n, err := c.Read(buffer)
		if err != nil {
			b.Fatal(err)
		}
		tail = append(tail[:0], buffer[max(0, n-100):n]...)
		if bytes.Contains(tail, []byte("X-Outcome: ran")) {
			return
		}
	}
}
