package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

// ErrFenced is returned for an order that the engine refused because its fencing number is too low.
var ErrFenced = eris.New("engine refused an old fencing number")

// maxControlBytes bounds the response to a control call.
const maxControlBytes = 1 << 20

// Load returns the engine's own load report, which lags behind its actual load.
func (c *Client) Load(ctx context.Context, address string) (value.Load, error) {
	m := &wire.Load{}
	err := c.controlCall(ctx, http.MethodGet, address, "/load", nil, m)
	return wire.LoadValue(m), err
}

// CacheEvents returns the cache events from sequence number after on; the sequence may have gaps.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (value.CacheEvents, error) {
	m := &wire.CacheEvents{}
	err := c.controlCall(ctx, http.MethodGet, address, "/cache/events?after="+strconv.FormatUint(after, 10), nil, m)
	return wire.CacheEventsValue(m), err
}

// State returns the state of the engine: its role, loaded weights and pending order.
func (c *Client) State(ctx context.Context, address string) (value.EngineState, error) {
	m := &wire.EngineState{}
	err := c.controlCall(ctx, http.MethodGet, address, "/state", nil, m)
	return wire.EngineStateValue(m), err
}

// Order sends an order; it returns ErrFenced when the engine refuses the fencing number.
func (c *Client) Order(ctx context.Context, address string, o value.Order) error {
	body, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(wire.OrderWire(o))
	if err != nil {
		return eris.Wrap(err, "encode order")
	}
	return c.controlCall(ctx, http.MethodPost, address, "/orders", body, nil)
}

// controlCall makes one control call and decodes its response.
func (c *Client) controlCall(ctx context.Context, method, address, path string, body []byte, response proto.Message) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "build control call")
	}
	resp, err := c.pooled.RoundTrip(req)
	if err != nil {
		return eris.Wrapf(err, "call %s%s", address, path)
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusConflict:
		return ErrFenced
	case resp.StatusCode >= http.StatusMultipleChoices:
		return eris.Errorf("call %s%s: status %d", address, path, resp.StatusCode)
	case response == nil:
		return nil
	}
	encoded, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
	if err != nil {
		return eris.Wrapf(err, "read %s%s", address, path)
	}
	return eris.Wrapf(protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(encoded, response), "decode %s%s", address, path)
}
