// Package cfgsvc reads the platform's configuration service and instance list.
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
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

// ErrUnchanged reports that a watch ended without a newer value.
var ErrUnchanged = errors.New("no newer value")

// ErrRateLimited reports that the platform's call rate is used up.
var ErrRateLimited = errors.New("platform's call rate is used up")

// valueBytes bounds one value: the platform holds values up to a megabyte.
const valueBytes = 1 << 20

// watchMargin is added to the wait of a long poll before the call is given up.
const watchMargin = 5 * hoist.Second

// stateLeaving is the state of an instance that takes no new work, as the platform lists it.
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

// Client reads from the platform; it is safe for concurrent use.
type Client struct {
	base      string
	transport *http.Transport
}

// NewClient returns a client of the platform at the base URL.
func NewClient(base string) *Client {
	return &Client{base: strings.TrimRight(base, "/"), transport: &http.Transport{}}
}

// Close releases the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Read returns the value of the key.
func (c *Client) Read(ctx context.Context, key string) (Document, error) {
	return c.document(ctx, "/values/"+url.PathEscape(key), 5*hoist.Second)
}

// Watch waits for a value newer than the version; it returns ErrUnchanged when none came in time.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait hoist.Millis) (Document, error) {
	path := fmt.Sprintf("/values/%s?after=%d&wait_ms=%d", url.PathEscape(key), after, wait)
	return c.document(ctx, path, wait+watchMargin)
}

// WatchInstances waits for an instance list newer than the version; it returns ErrUnchanged when none came in time.
func (c *Client) WatchInstances(ctx context.Context, after uint64, wait hoist.Millis) (value.InstanceList, error) {
	path := fmt.Sprintf("/instances?after=%d&wait_ms=%d", after, wait)
	_, body, err := c.get(ctx, path, wait+watchMargin)
	if err != nil {
		return value.InstanceList{}, err
	}
	m := &wire.InstanceList{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, m); err != nil {
		return value.InstanceList{}, eris.Wrap(err, "decode instance list")
	}
	return withLeaving(wire.InstanceListValue(m)), nil
}

// withLeaving returns the list with the platform's word for the state of each instance read into its flag.
func withLeaving(l value.InstanceList) value.InstanceList {
	instances := make([]value.Instance, 0, l.Instances().Len())
	for i := range l.Instances().All() {
		instances = append(instances, i.WithLeaving(i.Leaving() || i.State() == stateLeaving).WithState(""))
	}
	return l.WithInstances(value.ListOf(instances...))
}

// document reads a value and its version.
func (c *Client) document(ctx context.Context, path string, timeout hoist.Millis) (Document, error) {
	tag, body, err := c.get(ctx, path, timeout)
	if err != nil {
		return Document{}, err
	}
	version, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return Document{}, eris.Wrapf(err, "version of %s", path)
	}
	return Document{version, string(body)}, nil
}

// get makes one call and returns the entity tag and the body.
func (c *Client) get(ctx context.Context, path string, timeout hoist.Millis) (string, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, http.NoBody)
	if err != nil {
		return "", nil, eris.Wrap(err, "build platform call")
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, valueBytes+1))
	if err != nil {
		return "", nil, eris.Wrapf(err, "read %s", path)
	}
	if len(body) > valueBytes {
		return "", nil, eris.Errorf("read %s: value is over %d bytes", path, valueBytes)
	}
	return resp.Header.Get("ETag"), body, nil
}
