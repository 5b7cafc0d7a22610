package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

// errUnwritten means that a response without a length ended while its request was being written, so that it may have been
// broken off by a reset that the write has received.
var errUnwritten = errors.New("response without a length ended before its request was written")

// Transport is an http.RoundTripper for servers whose responses may be broken. The embedded transport carries the exchanges; a
// response with an invalid header, and the end of a body that may not be whole, are errors.
type Transport struct {
	*http.Transport
}

// NewTransport returns a transport that uses the base, which must not be used otherwise.
func NewTransport(base *http.Transport) *Transport {
	if base.DialContext == nil {
		base.DialContext = new(net.Dialer).DialContext
		base.ForceAttemptHTTP2 = true // Otherwise DialContext disables HTTP/2.
	}
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	body := &unframedBody{}
	ctx, address := r.Context(), ""
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:        func(i httptrace.GotConnInfo) { address = i.Conn.RemoteAddr().String() },
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { return checkNames(http.Header(h)) },
		WroteRequest:   func(i httptrace.WroteRequestInfo) { body.written.Store(i.Err == nil) },
	})))
	if err != nil {
		return nil, err
	}
	if err := checkHeader(resp); err != nil {
		return nil, errors.Join(err, resp.Body.Close())
	}
	if isUnframed(resp) {
		body.ReadCloser = resp.Body
		body.confirmEnd = func() error { return t.confirmEnd(ctx, address) }
		resp.Body = body
	}
	return resp, nil
}

// confirmEnd returns an error unless the server at the address accepts a connection and keeps it, see Client.confirmEnd.
func (t *Transport) confirmEnd(ctx context.Context, address string) error {
	c, err := t.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Join(errUnconfirmed, err)
	}
	defer func() { _ = c.Close() }() // Nothing was sent.
	if err := staysOpen(c, confirmTime); err != nil {
		return errors.Join(errUnconfirmed, err)
	}
	return nil
}

// unframedBody is a body that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	confirmEnd func() error
	// written is set once the request was written.
	written atomic.Bool
	ended   bool
}

// Read reads the body; it returns io.EOF only at an end that is confirmed.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.ended || !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := b.confirmEnd(); err != nil {
		return n, err
	}
	// The transport has closed the connection; a write that had ended before has reported it during the check above.
	if !b.written.Load() {
		return n, errUnwritten
	}
	b.ended = true
	return n, io.EOF
}

// isUnframed reports whether the response has a body with neither a length nor chunks, so that it ends with its connection. A
// compressed body has an end of its own.
func isUnframed(resp *http.Response) bool {
	return resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed
}

// checkHeader returns an error if the header of a final response is invalid.
func checkHeader(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK {
		return errStatus
	}
	return checkNames(resp.Header)
}
