package engine

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"chicoryhoist.example/hoist/value"
)

// maxFrameBytes bounds the line of a frame; a longer line ends the attempt.
const maxFrameBytes = 64 << 10

// blockBytes is the size of the memory blocks that frames are copied to, a few dozen frames of the usual length.
const blockBytes = 4 << 10

// bodyEndTimeout is the timeout for the end of the body after the end frame, which a correct engine sends at once.
const bodyEndTimeout = 20 * time.Millisecond

// streamCompletion runs a completion and passes its frames to the sink.
func (r *run) streamCompletion(ctx context.Context, call Completion) value.EndKind {
	timer := r.startTimeout(r.limits.FirstFrame)
	defer timer.Stop()
	req, err := http.NewRequestWithContext(r.traceConnection(ctx), http.MethodPost, "http://"+r.address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return value.EndKindUnreachable
	}
	// Without GetBody, net/http never sends the body a second time.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", AttemptID(r.id))
	req.Header.Set("X-Priority", strconv.Itoa(int(call.Priority)))
	req.Header.Set("X-Resume-Tokens", strconv.Itoa(int(call.Resume)))
	resp, err := r.pooled.RoundTrip(req)
	if err != nil {
		return r.brokenEndKind(ctx)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		if isInvalidRequest(resp.StatusCode) {
			return value.EndKindRejected
		}
		if kind, ok := refusalKind(resp); ok {
			return kind
		}
		return value.EndKindFailed
	}
	p := newParser(resp.Body, AttemptID(r.id))
	defer p.release()
	for {
		frame, err := p.next()
		switch {
		case errors.Is(err, errMismatched):
			r.countMismatch()
			continue
		case errors.Is(err, errMalformed), errors.Is(err, bufio.ErrBufferFull):
			return value.EndKindFailed
		case errors.Is(err, io.EOF) && p.ended:
			if !resp.Close { // Otherwise the connection is not reused, and the last frame has come.
				timer.Reset(bodyEndTimeout)
				p.readBodyEnd()
			}
			return value.EndKindFinished
		case err != nil:
			return r.brokenEndKind(ctx)
		}
		// The sink blocks while the caller is slow; that time must not count as a stall of the server.
		timer.Stop()
		if !r.sink(frame) {
			return value.EndKindCancelled
		}
		timer.Reset(r.limits.Stall.Duration())
	}
}

var (
	errMismatched = errors.New("frame of another attempt")
	errMalformed  = errors.New("malformed frame")
)

// parser reads server-sent events; their id field holds the identifier of the attempt and the number of the frame.
type parser struct {
	reader *bufio.Reader
	prefix []byte
	// block is the unused part of the memory block that frames are copied to.
	block []byte
	// ended is set after the attempt's end frame.
	ended bool
}

// readers holds the read buffers of parsers that are not in use.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxFrameBytes) }}

// newParser returns a parser that accepts only frames of the attempt.
func newParser(r io.Reader, attempt string) *parser {
	p := &parser{reader: readers.Get().(*bufio.Reader), prefix: []byte(attempt + ":")}
	p.reader.Reset(r)
	return p
}

// release returns the read buffer; the parser must not be used afterwards.
func (p *parser) release() {
	p.reader.Reset(nil)
	readers.Put(p.reader)
	p.reader = nil
}

// readBodyEnd reads the end of the body after the end frame; without it the connection could not be reused.
func (p *parser) readBodyEnd() { _, _ = p.reader.Peek(1) }

// eventKind is the kind of an event according to its id field.
type eventKind int

const (
	// kindNone is an event without an id field.
	kindNone eventKind = iota
	// kindMismatched is an event with the id of another attempt.
	kindMismatched
	// kindFrame is a token frame of the attempt.
	kindFrame
	// kindEnd is the end frame of the attempt.
	kindEnd
)

// sse is one server-sent event.
type sse struct {
	kind    eventKind
	seq     int32
	data    []byte
	hasData bool
}

// next returns the next frame, errMismatched for an event without the attempt's identifier, or io.EOF after the end frame.
func (p *parser) next() (Frame, error) {
	if p.ended {
		return Frame{}, io.EOF
	}
	var e sse
	for {
		line, err := p.line()
		if err != nil {
			return Frame{}, err
		}
		if len(line) > 0 {
			if e, err = p.field(e, line); err != nil {
				return Frame{}, err
			}
			continue
		}
		switch {
		case e.kind == kindNone && !e.hasData:
			// Comments and blank lines only keep the connection alive.
		case e.kind == kindNone, e.kind == kindMismatched:
			return Frame{}, errMismatched
		case !e.hasData:
			return Frame{}, errMalformed
		case e.kind == kindEnd:
			p.ended = true
			return Frame{}, io.EOF
		default:
			return Frame{Seq: e.seq, Data: e.data}, nil
		}
	}
}

// field returns the event with one line added; comments and unknown fields are ignored, as the format of server-sent events requires.
func (p *parser) field(e sse, line []byte) (sse, error) {
	name, content, _ := bytes.Cut(line, []byte(":"))
	content = bytes.TrimPrefix(content, []byte(" "))
	switch string(name) {
	case "id":
		number, matches := bytes.CutPrefix(content, p.prefix)
		switch {
		case e.kind != kindNone:
			return e, errMalformed
		case !matches:
			e.kind = kindMismatched
		case string(number) == "END":
			e.kind = kindEnd
		default:
			seq, err := parseSeq(number)
			e.kind, e.seq = kindFrame, seq
			return e, err
		}
	case "data":
		if e.hasData && e.kind != kindMismatched {
			return e, errMalformed
		}
		e.hasData = true
		if e.kind != kindMismatched {
			e.data = p.copyData(content)
		}
	}
	return e, nil
}

// copyData copies data to the current block, so that many small frames need only one allocation.
func (p *parser) copyData(data []byte) []byte {
	if len(data) > len(p.block) {
		p.block = make([]byte, max(blockBytes, len(data)))
	}
	n := copy(p.block, data)
	copied := p.block[:n:n]
	p.block = p.block[n:]
	return copied
}

// parseSeq parses a frame number without an allocation.
func parseSeq(number []byte) (int32, error) {
	if len(number) == 0 || len(number) > 9 {
		return 0, errMalformed
	}
	seq := int32(0)
	for _, c := range number {
		if c < '0' || c > '9' {
			return 0, errMalformed
		}
		seq = seq*10 + int32(c-'0')
	}
	return seq, nil
}

// line returns the next line without its line end; it is valid until the next call.
func (p *parser) line() ([]byte, error) {
	line, err := p.reader.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}
