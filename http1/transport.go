package http1

import (
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// Transport is an http.RoundTripper for servers whose responses may be broken. The embedded transport carries the exchanges; a
// response with an invalid header is an error.
type Transport struct {
	*http.Transport
}

// NewTransport returns a transport that uses the base, which must not be used otherwise.
func NewTransport(base *http.Transport) *Transport {
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { return checkNames(http.Header(h)) },
	})))
	if err != nil {
		return nil, err
	}
	if err := checkHeader(resp); err != nil {
		return nil, errors.Join(err, resp.Body.Close())
	}
	return resp, nil
}

// checkHeader returns an error if the header of a final response is invalid.
func checkHeader(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK {
		return errStatus
	}
	return checkNames(resp.Header)
}
