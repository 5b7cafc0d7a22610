// Package accept bounds what the callers of an HTTP server make it hold: request bodies, headers and connections.
package accept

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/intake"
)

const (
	// rejectTime bounds the time for which the rest of a refused body is read, so that its caller can read the response
	// before the connection ends.
	rejectTime = 500 * hoist.Millis(1)
	// progressTime is the interval at which progress without a charge is recorded; it is below the time after which a body
	// counts as stalled.
	progressTime = 250 * hoist.Millis(1)
)

// firstBytes is the number of bytes that are read before the next block is charged.
const firstBytes = 512

// blockBytes are the sizes of the first blocks of a body; the last one is repeated. Small bodies are charged little, and long
// ones need few blocks.
var blockBytes = []int64{4 << 10, 16 << 10, 64 << 10}

// ErrSlow means that a body arrived more slowly than the lowest rate.
var ErrSlow = eris.New("body arrives too slowly")

// Rate is the lowest rate of a body.
type Rate struct {
	// BytesPerSecond is the lowest mean rate, which holds after Grace.
	BytesPerSecond float64
	Grace          hoist.Millis
}

// due returns the time after its start at which a body must have more than n bytes.
func (r Rate) due(n int64) time.Duration {
	if r.BytesPerSecond <= 0 {
		return r.Grace.Duration()
	}
	return (r.Grace + hoist.MillisOfSeconds(float64(n)/r.BytesPerSecond)).Duration()
}

// bodyReader reads one body.
type bodyReader struct {
	body    io.Reader
	control *http.ResponseController
	ticket  *intake.Ticket
	rate    Rate
	start   time.Time
	// recorded is the time of the last charge or recorded progress.
	recorded time.Time
	read     int64
	// first holds the bytes that are read before a block is charged.
	first [firstBytes]byte
}

// Open opens a ticket for the request's body; if the body has to give way, the pending read of the connection ends. A request
// whose header was charged has that ticket, so that both give way together.
func Open(a *intake.Account, w http.ResponseWriter, r *http.Request) *intake.Ticket {
	if x := connOf(r); x != nil {
		if t := x.ticket.Load(); t != nil {
			return t
		}
	}
	control := http.NewResponseController(w)
	return a.Open(remoteAddress(r.RemoteAddr), func() { _ = control.SetReadDeadline(time.Unix(1, 0)) }) // Fails only on a closed connection.
}

// connOf returns the connection of a request, or nil if the server does not serve a Listener.
func connOf(r *http.Request) *Conn {
	x, _ := r.Context().Value(connKey{}).(*Conn)
	return x
}

// remoteAddress returns the address without its port.
func remoteAddress(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// ReadBody reads the body of a request into blocks that are charged to the ticket as the body arrives. The error is a
// *http.MaxBytesError, ErrSlow or one of intake, or that of the connection.
func ReadBody(w http.ResponseWriter, r *http.Request, t *intake.Ticket, limit int64, rate Rate) ([][]byte, error) {
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	now := time.Now()
	b := &bodyReader{
		body: http.MaxBytesReader(w, r.Body, limit), control: http.NewResponseController(w), ticket: t, rate: rate, start: now, recorded: now,
	}
	x := connOf(r)
	if x != nil {
		x.advance(phaseBody, phaseServing)
	}
	blocks, err := b.readAll(r.ContentLength, limit)
	if err == nil {
		err = t.Complete()
	}
	// The connection of a body that was still incomplete may have been closed for a new one.
	if x != nil && !x.advance(phaseServing, phaseBody) && err == nil {
		err = net.ErrClosed
	}
	if err != nil {
		_ = b.control.SetReadDeadline(time.Now().Add(rejectTime.Duration())) // Fails only on a closed connection.
		return nil, err
	}
	return blocks, eris.Wrap(b.control.SetReadDeadline(time.Time{}), "clear read deadline")
}

// readAll reads the body; announced is its length, or negative.
func (b *bodyReader) readAll(announced, limit int64) ([][]byte, error) {
	blocks := [][]byte{}
	rest := limit + 1 // One byte more than the limit shows that a body exceeds it.
	if announced >= 0 {
		rest = announced
	}
	for ended := false; !ended; {
		// A block is charged only once a byte for it has arrived.
		n, last, err := b.readSome(b.first[:])
		if err != nil {
			return nil, err
		}
		if ended = last; n == 0 {
			continue
		}
		size := min(blockBytes[min(len(blocks), len(blockBytes)-1)], rest-b.read+int64(n))
		if err := b.ticket.Grow(size); err != nil {
			return nil, err
		}
		b.recorded = time.Now()
		block := make([]byte, size)
		filled := copy(block, b.first[:n])
		for !ended && filled < len(block) {
			if n, ended, err = b.readSome(block[filled:]); err != nil {
				return nil, err
			}
			filled += n
		}
		blocks = append(blocks, block[:filled])
	}
	return blocks, nil
}

// readSome reads once and reports whether the body has ended.
func (b *bodyReader) readSome(p []byte) (n int, ended bool, err error) {
	// The deadline is set before the check: a ticket that is displaced afterwards moves the deadline into the past.
	if err := b.control.SetReadDeadline(b.start.Add(b.rate.due(b.read))); err != nil {
		return 0, false, eris.Wrap(err, "set read deadline")
	}
	if b.ticket.Displaced() {
		return 0, false, intake.ErrDisplaced
	}
	n, err = b.body.Read(p)
	b.read += int64(n)
	if now := time.Now(); n > 0 && now.Sub(b.recorded) > progressTime.Duration() {
		b.recorded = now
		b.ticket.Progress()
	}
	switch {
	case errors.Is(err, io.EOF):
		return n, true, nil
	case errors.Is(err, os.ErrDeadlineExceeded) && b.ticket.Displaced():
		return n, false, intake.ErrDisplaced
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n, false, ErrSlow
	}
	return n, false, err
}
