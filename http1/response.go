package http1

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"chicoryhoist.example/hoist"
)

var (
	errHeaderSize = errors.New("header of the answer is too long")
	errForeign    = errors.New("too many answers of other requests")
)

const (
	// foreignMost bounds the answers of other requests that are dropped before one exchange.
	foreignMost = 3
	// foreignBytes bounds the body of such an answer.
	foreignBytes = 1 << 20
	// bodyBudget is the read budget of a body, which its framing bounds.
	bodyBudget = 1 << 40
	// reuseMargin is the part of the announced idle time, in tenths, for which a connection is used again;
	// the rest covers the time until the request arrives.
	reuseMargin = 6
)

// Response is the answer of a backend server; its body must be read to the end or discarded.
type Response struct {
	// Status is the status code.
	Status int
	// Header holds the header fields.
	Header http.Header
	// Length of the body in bytes, or -1 when unknown.
	Length int64

	body   io.ReadCloser
	conn   *conn
	client *Client
	detach func() bool
	sent   chan struct{}
	failed error
	close  bool
	done   bool
}

// send writes the request and reports the end of the write.
func (a *Response) send(b *bytes.Buffer) {
	defer close(a.sent)
	defer buffers.Put(b)
	for b.Len() > 0 {
		n, err := a.conn.net.Write(b.Bytes())
		if n > 0 {
			a.conn.written.Store(true)
		}
		b.Next(n)
		if err != nil {
			a.failed = err
			return
		}
	}
}

// receive reads the header of the answer to the request and drops answers of other requests.
func (a *Response) receive(r Request) error {
	for range foreignMost {
		//nolint:bodyclose // Release and Discard end the exchange; closing the body would read the rest of it.
		resp, err := http.ReadResponse(a.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return err
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		a.conn.budget = bodyBudget
		if mark := resp.Header.Get(r.IDHeader); r.IDHeader == "" || mark == "" || mark == r.ID {
			a.Status, a.Header, a.Length = resp.StatusCode, resp.Header, resp.ContentLength
			a.body, a.close = resp.Body, resp.Close
			return nil
		}
		a.client.Mismatched.Add(1)
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, foreignBytes)); err != nil || n == foreignBytes {
			return errors.Join(errForeign, err)
		}
		a.conn.budget = headerBytes
	}
	return errForeign
}

// Read reads the body; io.EOF comes only at the end of a complete body.
func (a *Response) Read(b []byte) (int, error) { return a.body.Read(b) }

// Release ends the exchange after the whole body was read, and keeps the connection if it may carry another request.
func (a *Response) Release() {
	if a.done {
		return
	}
	now := a.client.clock.Now()
	if !a.clean() {
		a.Discard()
		return
	}
	if !a.detach() {
		a.Discard()
		return
	}
	a.done = true
	a.conn.until = now + a.idle()
	a.conn.lane.put(a.conn)
}

// clean reports whether the request was written whole and nothing follows the answer.
func (a *Response) clean() bool {
	select {
	case <-a.sent:
	default:
		return false
	}
	return a.failed == nil && !a.close && a.conn.reader.Buffered() == 0 && !a.conn.aborted.Load()
}

// Discard closes the connection of the exchange.
func (a *Response) Discard() {
	if a.done {
		return
	}
	a.done = true
	a.detach()
	a.conn.abort()
	a.conn.close()
}

// idle returns the time for which the connection may stay idle.
func (a *Response) idle() hoist.Millis {
	limit := a.client.limits.Idle
	for field := range strings.SplitSeq(a.Header.Get("Keep-Alive"), ",") {
		name, text, _ := strings.Cut(textproto.TrimString(field), "=")
		if seconds, err := strconv.Atoi(text); err == nil && strings.EqualFold(name, "timeout") {
			limit = min(limit, hoist.Millis(seconds)*hoist.Second)
		}
	}
	return limit * reuseMargin / 10
}
