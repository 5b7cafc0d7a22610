package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds one event; a longer event is an error.
const maxEventBytes = 256 << 10

var (
	errEventSize = errors.New("event is too long")
	errTruncated = errors.New("stream ends inside an event")
)

// Event is one server-sent event, including the blank line that ends it.
type Event struct {
	// ID is the ID of the event; it is valid if Numbered is set.
	ID       int64
	Numbered bool
	// Data is valid until the next call of Next.
	Data []byte
}

// EventReader reads complete events from a stream.
type EventReader struct {
	reader *bufio.Reader
	data   []byte
}

// NewEventReader returns a reader of the events of r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(r, readBufferBytes)}
}

// Next returns the next complete event; it returns io.EOF only after the last complete event of a complete body.
func (e *EventReader) Next() (Event, error) {
	e.data = e.data[:0]
	var v Event
	// start is the start of the current line, which may take several reads.
	start := 0
	for {
		part, err := e.reader.ReadSlice('\n')
		e.data = append(e.data, part...)
		switch {
		case errors.Is(err, io.EOF) && len(e.data) == 0:
			return v, io.EOF
		case errors.Is(err, io.EOF):
			return v, errTruncated
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return v, err
		case len(e.data) > maxEventBytes:
			return v, errEventSize
		case err != nil:
			continue
		}
		field, first := bytes.TrimRight(e.data[start:], "\r\n"), start == 0
		start = len(e.data)
		if text, ok := bytes.CutPrefix(field, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
			v.ID, v.Numbered = id, err == nil
		}
		if len(field) == 0 && !first {
			v.Data = e.data
			return v, nil
		}
	}
}
