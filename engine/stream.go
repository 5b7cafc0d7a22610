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

// frameBytes bounds one frame; longer lines end the attempt.
const frameBytes = 64 << 10

// blockBytes is the memory that a parser takes for frames at a time: a few dozen of the usual length.
const blockBytes = 4 << 10

// endDelay bounds the wait for the end of the body behind the end frame, which a well-behaved engine sends at once.
const endDelay = 20 * time.Millisecond

// complete runs a completion and passes its frames on.
func (r *run) complete(ctx context.Context, call Completion) value.EndKind {
	timer := r.watch(r.limits.FirstFrame)
	defer timer.Stop()
	req, err := http.NewRequestWithContext(r.trace(ctx), http.MethodPost, "http://"+r.address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return value.EndKindUnreachable
	}
	// Without GetBody net/http never sends the body a second time by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", AttemptID(r.id))
	req.Header.Set("X-Priority", strconv.Itoa(int(call.Priority)))
	req.Header.Set("X-Resume-Tokens", strconv.Itoa(int(call.Resume)))
	resp, err := r.pooled.RoundTrip(req)
	if err != nil {
		return r.broken(ctx)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		if rejected(resp.StatusCode) {
			return value.EndKindRejected
		}
		if kind, ok := refusal(resp); ok {
			return kind
		}
		return value.EndKindFailed
	}
	p := newParser(resp.Body, AttemptID(r.id))
	defer p.release()
	for {
		frame, err := p.next()
		switch {
		case errors.Is(err, errForeign):
			r.foreign()
			continue
		case errors.Is(err, errSyntax), errors.Is(err, bufio.ErrBufferFull):
			return value.EndKindFailed
		case errors.Is(err, io.EOF) && p.ended:
			timer.Reset(endDelay)
			p.drain()
			return value.EndKindFinished
		case err != nil:
			return r.broken(ctx)
		}
		// A slow caller holds the sink; that wait must not count as a stall of the server.
		timer.Stop()
		if !r.sink(frame) {
			return value.EndKindCancelled
		}
		timer.Reset(r.limits.Stall.Duration())
	}
}

var (
	errForeign = errors.New("frame of another attempt")
	errSyntax  = errors.New("malformed frame")
)

// parser reads server-sent events whose id field names the attempt and the frame's number.
type parser struct {
	reader *bufio.Reader
	prefix []byte
	// block is the unused rest of the memory that frames are copied to.
	block []byte
	// ended is set after the attempt's end frame.
	ended bool
}

// readers holds the read buffers of parsers that are not in use.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, frameBytes) }}

// newParser returns a parser that accepts frames of the attempt only.
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

// drain reads the end of the body behind the end frame, without which the connection cannot be used again.
func (p *parser) drain() { _, _ = p.reader.Peek(1) }

// mark says whose event it is.
type mark int

const (
	// markNone events have no id field.
	markNone mark = iota
	// markForeign events carry the id of another attempt.
	markForeign
	// markFrame events are token frames of the attempt.
	markFrame
	// markEnd events end the attempt.
	markEnd
)

// sse is one server-sent event.
type sse struct {
	mark mark
	seq  int32
	data []byte
	full bool
}

// next returns the next frame, errForeign for an event without the attempt's identity, or io.EOF after the end frame.
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
		case e.mark == markNone && !e.full:
			// Comments and blank lines keep a connection alive and carry nothing.
		case e.mark == markNone, e.mark == markForeign:
			return Frame{}, errForeign
		case !e.full:
			return Frame{}, errSyntax
		case e.mark == markEnd:
			p.ended = true
			return Frame{}, io.EOF
		default:
			return Frame{Seq: e.seq, Data: e.data}, nil
		}
	}
}

// field returns the event with one line added; comments and unknown fields are ignored, as the format demands.
func (p *parser) field(e sse, line []byte) (sse, error) {
	name, text, _ := bytes.Cut(line, []byte(":"))
	text = bytes.TrimPrefix(text, []byte(" "))
	switch string(name) {
	case "id":
		number, own := bytes.CutPrefix(text, p.prefix)
		switch {
		case e.mark != markNone:
			return e, errSyntax
		case !own:
			e.mark = markForeign
		case string(number) == "END":
			e.mark = markEnd
		default:
			seq, err := parseSeq(number)
			e.mark, e.seq = markFrame, seq
			return e, err
		}
	case "data":
		if e.full && e.mark != markForeign {
			return e, errSyntax
		}
		e.full = true
		if e.mark != markForeign {
			e.data = p.keep(text)
		}
	}
	return e, nil
}

// keep copies data; small frames share a block, which costs one allocation for many of them.
func (p *parser) keep(data []byte) []byte {
	if len(data) > len(p.block) {
		p.block = make([]byte, max(blockBytes, len(data)))
	}
	n := copy(p.block, data)
	kept := p.block[:n:n]
	p.block = p.block[n:]
	return kept
}

// parseSeq parses a frame number without allocating.
func parseSeq(mark []byte) (int32, error) {
	if len(mark) == 0 || len(mark) > 9 {
		return 0, errSyntax
	}
	seq := int32(0)
	for _, c := range mark {
		if c < '0' || c > '9' {
			return 0, errSyntax
		}
		seq = seq*10 + int32(c-'0')
	}
	return seq, nil
}

// line returns the next line without its end; it is valid until the next call.
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
