// Package cfgsvc is a client for the platform's configuration service and instance list.
package cfgsvc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/http1"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

// ErrUnchanged reports that a watch timed out without a newer value.
var ErrUnchanged = errors.New("no newer value")

// ErrRateLimited reports that the platform rejected a request because of its rate limit.
var ErrRateLimited = errors.New("rate limit of the platform exceeded")

// maxValueBytes is the maximum size of a value; the platform stores values of up to one megabyte.
const maxValueBytes = 1 << 20

// watchTimeoutMargin is the time that a request may take beyond the wait of its long poll.
const watchTimeoutMargin = 5 * hoist.Second

// stateLeaving is the state in the platform's list of an instance that accepts no new requests.
const stateLeaving = "leaving"

// Document is one value of the configuration service.
type Document struct {
	version uint64
	content string
}

// Version returns the platform's version of the value.
func (d Document) Version() uint64 { return d.version }

// Content returns the value.
func (d Document) Content() string { return d.content }

// Client sends requests to the platform; it is safe for concurrent use.
type Client struct {
	base      string
	transport *http1.Transport
}

// NewClient returns a client for the platform at the base URL.
func NewClient(base string) *Client {
	return &Client{base: strings.TrimRight(base, "/"), transport: http1.NewTransport(&http.Transport{})}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Read returns the value of the key.
func (c *Client) Read(ctx context.Context, key string) (Document, error) {
	return c.document(ctx, "/values/"+url.PathEscape(key), 5*hoist.Second)
}

// Watch waits for a value newer than the version; it returns ErrUnchanged if the wait ends without one.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait hoist.Millis) (Document, error) {
	path := fmt.Sprintf("/values/%s?after=%d&wait_ms=%d", url.PathEscape(key), after, wait)
	return c.document(ctx, path, wait+watchTimeoutMargin)
}

// WatchInstances waits for an instance list newer than the version; it returns ErrUnchanged if the wait ends without one.
func (c *Client) WatchInstances(ctx context.Context, after uint64, wait hoist.Millis) (value.InstanceList, error) {
	path := fmt.Sprintf("/instances?after=%d&wait_ms=%d", after, wait)
	_, body, err := c.get(ctx, path, wait+watchTimeoutMargin)
	if err != nil {
		return value.InstanceList{}, err
	}
	m := &wire.InstanceList{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, m); err != nil {
		return value.InstanceList{}, eris.Wrap(err, "decode instance list")
	}
	return withLeaving(wire.InstanceListValue(m)), nil
}

// withLeaving returns the list with the state of each instance converted to its leaving flag.
func withLeaving(l value.InstanceList) value.InstanceList {
	instances := make([]value.Instance, 0, l.Instances().Len())
	for i := range l.Instances().All() {
		instances = append(instances, i.WithLeaving(i.Leaving() || i.State() == stateLeaving).WithState(""))
	}
	return l.WithInstances(value.ListOf(instances...))
}

// document requests a value and its version.
func (c *Client) document(ctx context.Context, path string, timeout hoist.Millis) (Document, error) {
	etag, body, err := c.get(ctx, path, timeout)
	if err != nil {
		return Document{}, err
	}
	version, err := strconv.ParseUint(strings.Trim(etag, `"`), 10, 64)
	if err != nil {
		return Document{}, eris.Wrapf(err, "parse version of %s", path)
	}
	return Document{version, string(body)}, nil
}

// get sends one request and returns the entity tag and the body of the response.
func (c *Client) get(ctx context.Context, path string, timeout hoist.Millis) (string, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, http.NoBody)
	if err != nil {
		return "", nil, eris.Wrap(err, "build request to the platform")
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return "", nil, eris.Wrapf(err, "read %s", path)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNoContent:
		return "", nil, ErrUnchanged
	case http.StatusTooManyRequests:
		return "", nil, ErrRateLimited
	default:
		return "", nil, eris.Errorf("read %s: status %d", path, resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxValueBytes+1))
	if err != nil {
		return "", nil, eris.Wrapf(err, "read %s", path)
	}
	if len(body) > maxValueBytes {
		return "", nil, eris.Errorf("read %s: value is over %d bytes", path, maxValueBytes)
	}
	return resp.Header.Get("ETag"), body, nil
}
