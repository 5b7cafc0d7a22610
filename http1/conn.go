package http1

import (
	"bufio"
	"errors"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"chicoryhoist.example/hoist"
)

// maxCarriedIDs bounds the request IDs that a connection remembers; copies of responses arrive a few exchanges late at most.
const maxCarriedIDs = 8

// conn is one connection to a backend server.
type conn struct {
	net    *net.TCPConn
	reader *bufio.Reader
	pool   *connPool
	// reusableUntil is the time until which an idle connection may be reused.
	reusableUntil hoist.Millis
	// carried holds the IDs of the last requests on the connection, see hasCarried.
	carried [maxCarriedIDs]string
	next    int
	written atomic.Bool
	aborted atomic.Bool
	// readBudget is the number of bytes that may be read before the body, so that invalid data cannot exhaust the
	// memory.
	readBudget int
}

// newConn wraps an open connection.
func newConn(n *net.TCPConn) *conn {
	x := &conn{net: n}
	x.reader = bufio.NewReaderSize(x, readBufferBytes)
	return x
}

// Read reads from the connection within the read budget.
func (x *conn) Read(b []byte) (int, error) {
	if x.readBudget <= 0 {
		return 0, errHeaderSize
	}
	n, err := x.net.Read(b)
	x.readBudget -= n
	return n, err
}

// beginExchange prepares the next exchange; it returns false if the connection was aborted.
func (x *conn) beginExchange() bool {
	x.written.Store(false)
	x.readBudget = maxHeaderBytes
	return !x.aborted.Load()
}

// hasCarried reports whether the connection has lately carried a request with the ID. A copy of the earlier response may
// still arrive, and could not be told from the response to the same request.
func (x *conn) hasCarried(id string) bool { return slices.Contains(x.carried[:], id) }

// carry records that the connection carries a request with the ID.
func (x *conn) carry(id string) {
	x.carried[x.next%maxCarriedIDs] = id
	x.next++
}

// wrote reports whether a byte of the request was passed to the kernel.
func (x *conn) wrote() bool { return x.written.Load() }

// abort ends pending reads and writes; the connection is not reused.
func (x *conn) abort() {
	x.aborted.Store(true)
	_ = x.net.SetDeadline(pastDeadline) // Fails only on a closed connection.
}

func (x *conn) close() {
	_ = x.net.Close() // Nothing is pending; a second close is harmless.
}

// staysOpen returns an error if the server closes or resets the connection within the time, or sends something on it.
func staysOpen(c net.Conn, limit hoist.Millis) error {
	if err := c.SetReadDeadline(time.Now().Add(limit.Duration())); err != nil {
		return err
	}
	var b [1]byte
	switch _, err := c.Read(b[:]); {
	case err == nil:
		return errUnexpected
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return err
	}
	return c.SetReadDeadline(time.Time{})
}

// isIdle reports whether the connection is open and has received nothing since the last exchange.
func (x *conn) isIdle() bool {
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
