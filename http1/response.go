package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
	"golang.org/x/sys/unix"

	"chicoryhoist.example/hoist"
)

var (
	errHeaderSize = errors.New("response header is too long")
	errMismatched = errors.New("too many responses of other requests")
	errNoID       = errors.New("response does not name its request exactly once")
	errBodySize   = errors.New("response body without a length is too long")
	errStatus     = errors.New("response has no valid status")
	errEncoding   = errors.New("response of HTTP/1.0 has a transfer encoding")
	errFieldName  = errors.New("response header has a field whose name is not a token")
	errUnexpected = errors.New("server sends bytes on a connection without a request")
	// errUnconfirmed means that a body ended with its connection, and perhaps with its server.
	errUnconfirmed = errors.New("server does not accept connections at the end of a response without a length")
)

const (
	// maxMismatched bounds the response headers that are read for one request, including dropped responses of other
	// requests and informational responses.
	maxMismatched = 3
	// maxMismatchedBytes bounds the body of a dropped response.
	maxMismatchedBytes = 1 << 20
	// bodyReadBudget is the read budget while a body is read, which is bounded by its framing instead.
	bodyReadBudget = 1 << 40
	// idleReuseTenths is the fraction of the idle timeout, in tenths, for which a connection is reused; the remainder
	// covers the time until the next request reaches the server.
	idleReuseTenths = 6
)

// Response is the response of a backend server. Its body must be read to the end and the response released, or the
// response discarded.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length int64

	// unframed is set if the body has neither a length nor chunks, so that it ends with its connection. If the server crashes
	// in the middle of it, the body looks complete. It is no longer set once the end was checked.
	unframed bool
	// confirmEnd returns an error unless the server still accepts connections.
	confirmEnd func() error
	body       io.ReadCloser
	// bytes is the number of bytes of the body that were read.
	bytes     int64
	conn      *conn
	client    *Client
	stopAbort func() bool
	writeDone chan struct{}
	writeErr  error
	closeConn bool
	done      bool
}

// send writes the request and closes writeDone at the end.
func (r *Response) send(b *bytes.Buffer, blocks [][]byte) {
	defer close(r.writeDone)
	defer buffers.Put(b)
	if r.writeErr = r.write(b.Bytes()); r.writeErr != nil {
		return
	}
	for _, block := range blocks {
		if r.writeErr = r.write(block); r.writeErr != nil {
			return
		}
	}
}

// write writes a part of the request.
func (r *Response) write(b []byte) error {
	n, err := r.conn.net.Write(b)
	if n > 0 {
		r.conn.written.Store(true)
	}
	return err
}

// readOneHeader reads one response header. It aborts the connection if the header has begun and does not end in time, so
// that a server which sends a byte now and then cannot hold the request.
func (r *Response) readOneHeader(method string) (*http.Response, error) {
	if _, err := r.conn.reader.Peek(1); err != nil {
		return nil, err
	}
	limit := time.AfterFunc(r.client.limits.Header.Duration(), r.conn.abort)
	defer limit.Stop()
	if err := checkEncoding(r.conn.reader); err != nil {
		return nil, err
	}
	//nolint:bodyclose // Release and Discard end the exchange; closing the body would read the rest of it.
	resp, err := http.ReadResponse(r.conn.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	return resp, checkNames(resp.Header)
}

// checkEncoding returns an error if the next response is of HTTP/1.0 and has a transfer encoding, so that the end of its body is
// unknown (RFC 9112, section 6.1). net/http ignores that field. Only a header that fits into the read buffer is checked.
func checkEncoding(r *bufio.Reader) error {
	version, field := []byte("HTTP/1.0 "), []byte("Transfer-Encoding")
	for n := len(version); ; n = r.Buffered() + 1 {
		if _, err := r.Peek(n); err != nil {
			return nil // ReadResponse returns the error.
		}
		header, _ := r.Peek(r.Buffered()) // Has no error, because it reads nothing.
		if !bytes.HasPrefix(header, version) {
			return nil
		}
		for line := range bytes.Lines(header) {
			name, _, found := bytes.Cut(line, []byte(":"))
			switch {
			case found && bytes.EqualFold(bytes.TrimSpace(name), field):
				return errEncoding
			case len(bytes.TrimRight(line, "\r\n")) == 0 && line[len(line)-1] == '\n':
				return nil
			}
		}
	}
}

// checkNames returns an error if the name of a field is not a token. net/http accepts blanks in a name and ignores what such a
// field says, for example about the length of the body.
func checkNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errFieldName
		}
	}
	return nil
}

// readHeader reads the response header of the request and drops responses of other requests.
func (r *Response) readHeader(q Request) error {
	for range maxMismatched {
		//nolint:bodyclose // Release and Discard end the exchange; closing the body would read the rest of it.
		resp, err := r.readOneHeader(q.Method)
		if err != nil {
			return err
		}
		switch {
		case resp.StatusCode < http.StatusContinue, resp.StatusCode == http.StatusSwitchingProtocols:
			return errStatus // No request asks for another protocol, so what follows is no response.
		case resp.StatusCode < http.StatusOK:
			continue
		}
		r.conn.readBudget = bodyReadBudget
		named, err := namesRequest(resp.Header, q)
		if err != nil {
			return err
		}
		if named {
			r.Status, r.Header, r.Length = resp.StatusCode, resp.Header, resp.ContentLength
			r.body, r.closeConn = resp.Body, resp.Close
			r.unframed = isUnframed(resp)
			return nil
		}
		r.client.Mismatched.Add(1)
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxMismatchedBytes)); err != nil || n == maxMismatchedBytes {
			return errors.Join(errMismatched, err)
		}
		r.conn.readBudget = maxHeaderBytes
	}
	return errMismatched
}

// namesRequest reports whether the header names the request as the one that it responds to. A header that names none, or
// more than one, cannot be assigned to a request and is an error.
func namesRequest(h http.Header, q Request) (bool, error) {
	ids := h.Values(q.IDHeader)
	switch {
	case q.ID == "" && len(ids) == 0:
		return true, nil
	case len(ids) != 1:
		return false, errNoID
	default:
		return ids[0] == q.ID, nil
	}
}

// Read reads the body; it returns io.EOF only at the end of a complete body. If the body ends with its connection, it is complete
// if the server accepts another connection afterwards and no reset has ended the connection.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if r.unframed && errors.Is(err, io.EOF) {
		if e := r.confirmEnd(); e != nil {
			return n, e
		}
		// A server that has closed the connection answers the rest of the request with a reset, which arrives during the check above.
		if e := r.resetError(); e != nil {
			return n, e
		}
		r.unframed = false // The end needs no second check.
	}
	if r.bytes += int64(n); r.Length < 0 && r.bytes > r.client.limits.UnframedBytes {
		return n, errBodySize
	}
	return n, err
}

// resetError ends the write of the request and returns the error if a reset has ended it. The kernel reports a reset to one call
// only: if the write receives it, the next read finds the end of the stream, as after an orderly close.
func (r *Response) resetError() error {
	_ = r.conn.net.SetWriteDeadline(pastDeadline) // Fails only on a closed connection.
	<-r.writeDone
	if errno := unix.Errno(0); errors.As(r.writeErr, &errno) {
		return r.writeErr
	}
	return nil
}

// Release ends the exchange after the body was read completely, and pools the connection if it can be reused.
func (r *Response) Release() {
	if r.done {
		return
	}
	now := r.client.clock.Now()
	if !r.reusable() {
		r.Discard()
		return
	}
	if !r.stopAbort() {
		r.Discard()
		return
	}
	r.done = true
	r.conn.reusableUntil = now + r.idleTime()
	r.conn.pool.put(r.conn)
}

// reusable reports whether the connection can be reused: the request was written completely and nothing follows the
// response.
func (r *Response) reusable() bool {
	select {
	case <-r.writeDone:
	default:
		return false
	}
	return r.writeErr == nil && !r.closeConn && r.conn.reader.Buffered() == 0 && !r.conn.aborted.Load()
}

// Discard ends the exchange and closes its connection.
func (r *Response) Discard() {
	if r.done {
		return
	}
	r.done = true
	r.stopAbort()
	r.conn.abort()
	r.conn.close()
}

// idleTime returns the time for which the connection may be reused after the exchange.
func (r *Response) idleTime() hoist.Millis {
	limit := r.client.limits.Idle
	for field := range strings.SplitSeq(r.Header.Get("Keep-Alive"), ",") {
		name, text, _ := strings.Cut(textproto.TrimString(field), "=")
		if seconds, err := strconv.Atoi(text); err == nil && strings.EqualFold(name, "timeout") {
			limit = min(limit, hoist.Millis(seconds)*hoist.Second)
		}
	}
	return limit * idleReuseTenths / 10
}
