package http1

import (
	"bufio"
	"net"
	"sync/atomic"

	"golang.org/x/sys/unix"

	"chicoryhoist.example/hoist"
)

// conn is one connection to a backend server.
type conn struct {
	net    *net.TCPConn
	reader *bufio.Reader
	lane   *lane
	// until is the time after which an idle connection is not used again.
	until   hoist.Millis
	written atomic.Bool
	aborted atomic.Bool
	// budget is the number of bytes that may still be read before the body, so that garbage cannot fill the memory.
	budget int
}

// newConn returns an open connection.
func newConn(n *net.TCPConn) *conn {
	x := &conn{net: n}
	x.reader = bufio.NewReaderSize(x, bufferBytes)
	return x
}

// Read reads from the connection within the budget.
func (x *conn) Read(b []byte) (int, error) {
	if x.budget <= 0 {
		return 0, errHeaderSize
	}
	n, err := x.net.Read(b)
	x.budget -= n
	return n, err
}

// begin prepares the next exchange; it reports false when the connection was aborted.
func (x *conn) begin() bool {
	x.written.Store(false)
	x.budget = headerBytes
	return !x.aborted.Load()
}

// wrote reports whether a byte of the request has been handed to the kernel.
func (x *conn) wrote() bool { return x.written.Load() }

// abort breaks off reads and writes; the connection is not used again.
func (x *conn) abort() {
	x.aborted.Store(true)
	_ = x.net.SetDeadline(past) // Fails only on a closed connection.
}

// close closes the connection.
func (x *conn) close() {
	_ = x.net.Close() // Nothing is pending; a second close is harmless.
}

// quiet reports whether an idle connection is open and has received nothing.
func (x *conn) quiet() bool {
	if x.reader.Buffered() > 0 {
		return false
	}
	raw, err := x.net.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
	})
	return err == nil && open
}
