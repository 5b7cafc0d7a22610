package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// eventBytes bounds one event; longer ones break the stream.
const eventBytes = 256 << 10

var (
	errEventSize = errors.New("event is too long")
	errTorn      = errors.New("stream ends inside an event")
)

// Event is one event of a stream, with its closing blank line.
type Event struct {
	// ID of the event; Numbered is false when it carries none.
	ID       int64
	Numbered bool
	// Data is valid until the next call of Next.
	Data []byte
}

// EventReader reads whole events from a stream.
type EventReader struct {
	reader *bufio.Reader
	data   []byte
}

// NewEventReader returns a reader of the events of r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(r, bufferBytes)}
}

// Next returns the next whole event; io.EOF comes only after the last whole event of a complete body.
func (e *EventReader) Next() (Event, error) {
	e.data = e.data[:0]
	var v Event
	for {
		line, err := e.reader.ReadSlice('\n')
		e.data = append(e.data, line...)
		switch {
		case errors.Is(err, io.EOF) && len(e.data) == 0:
			return v, io.EOF
		case errors.Is(err, io.EOF):
			return v, errTorn
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return v, err
		case len(e.data) > eventBytes:
			return v, errEventSize
		case err != nil:
			continue
		}
		field := bytes.TrimRight(line, "\r\n")
		if text, ok := bytes.CutPrefix(field, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
			v.ID, v.Numbered = id, err == nil
		}
		if len(field) == 0 && len(e.data) > len(line) {
			v.Data = e.data
			return v, nil
		}
	}
}
