package front

import (
	"errors"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/engine"
	"chicoryhoist.example/hoist/gate"
	"chicoryhoist.example/hoist/prompt"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

// errUnexpectedPart reports a kind of response part that the request cannot have.
var errUnexpectedPart = errors.New("unexpected kind of response part")

// completionSink writes the response to a completion.
type completionSink interface {
	gate.Sink
	// finish completes the response after the request has ended.
	finish(r call.Result)
	// firstFrame returns the time of the first frame, or zero.
	firstFrame() hoist.Millis
}

// sinkBase holds the fields that streamed and buffered responses share.
type sinkBase struct {
	writer       http.ResponseWriter
	controller   *http.ResponseController
	clock        hoist.Clock
	idleTimeout  hoist.Millis
	requestID    string
	firstFrameAt hoist.Millis
}

// Answer rejects the response of a plain service.
func (o *sinkBase) Answer(engine.Answer) error { return errUnexpectedPart }

// firstFrame returns the time of the first frame, or zero.
func (o *sinkBase) firstFrame() hoist.Millis { return o.firstFrameAt }

// extendDeadline sets the write deadline to the idle timeout from now.
func (o *sinkBase) extendDeadline() {
	_ = o.controller.SetWriteDeadline(time.Now().Add(o.idleTimeout.Duration()))
}

// newSink returns the sink for a streamed or a buffered completion.
func (s *Server) newSink(w http.ResponseWriter, p prompt.Prompt, path, requestID string) completionSink {
	o := sinkBase{
		writer: w, controller: http.NewResponseController(w), clock: s.clock,
		idleTimeout: hoist.Millis(s.limits.IdleMs()), requestID: requestID,
	}
	if p.Request().Stream() {
		return &streamSink{sinkBase: o}
	}
	return &bufferedSink{sinkBase: o, model: p.Request().Model(), chat: path == "/v1/chat/completions"}
}

// streamSink forwards frames as server-sent events.
type streamSink struct {
	sinkBase
	buffer []byte
}

// Frame writes one event.
func (e *streamSink) Frame(data []byte) error {
	if e.firstFrameAt == 0 {
		e.writeHeader()
	}
	e.extendDeadline()
	e.buffer = append(append(append(e.buffer[:0], "data: "...), data...), "\n\n"...)
	if _, err := e.writer.Write(e.buffer); err != nil {
		return err
	}
	return e.controller.Flush()
}

// writeHeader writes the response header of the stream; the outcome follows in a trailer.
func (e *streamSink) writeHeader() {
	e.firstFrameAt = e.clock.Now()
	h := e.writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", "X-Outcome")
	e.writer.WriteHeader(http.StatusOK)
}

// finish ends the stream with the end marker or an error event.
func (e *streamSink) finish(r call.Result) {
	e.extendDeadline()
	if r.Outcome != value.OutcomeRan && e.firstFrameAt == 0 {
		resultError(r).write(e.writer, e.requestID)
		return
	}
	if e.firstFrameAt == 0 {
		e.writeHeader()
	}
	if r.Outcome == value.OutcomeRan {
		_, _ = e.writer.Write([]byte("data: [DONE]\n\n"))
	} else {
		_, _ = e.writer.Write([]byte("event: error\ndata: "))
		_, _ = e.writer.Write(resultError(r).body(e.requestID))
		_, _ = e.writer.Write([]byte("\n\n"))
	}
	e.writer.Header().Set("X-Outcome", call.OutcomeName(r.Outcome))
}

// bufferedSink collects the frames of a response for a caller that did not ask for a stream.
type bufferedSink struct {
	sinkBase
	model        string
	chat         bool
	text         []byte
	finishReason string
}

// Frame appends the text of one frame.
func (s *bufferedSink) Frame(data []byte) error {
	if s.firstFrameAt == 0 {
		s.firstFrameAt = s.clock.Now()
	}
	m := &wire.ChatChunk{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, m); err != nil {
		return err
	}
	if len(m.GetChoices()) == 0 {
		return nil
	}
	c := m.GetChoices()[0]
	s.text = append(append(s.text, c.GetDelta().GetContent()...), c.GetText()...)
	if c.GetFinishReason() != "" {
		s.finishReason = c.GetFinishReason()
	}
	return nil
}

// finish writes the complete response or an error response.
func (s *bufferedSink) finish(r call.Result) {
	s.extendDeadline()
	if r.Outcome != value.OutcomeRan {
		resultError(r).write(s.writer, s.requestID)
		return
	}
	object := "text_completion"
	choice := value.Choice{}.WithFinishReason(s.finishReason)
	if s.chat {
		object = "chat.completion"
		choice = choice.WithMessage(value.ChatMessage{}.WithRole("assistant").WithContent(string(s.text)))
	} else {
		choice = choice.WithText(string(s.text))
	}
	m := wire.ChatChunkWire(value.ChatChunk{}.WithId(s.requestID).WithObject(object).WithModel(s.model).
		WithChoices(value.ListOf(choice)))
	body, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		resultError(r).write(s.writer, s.requestID)
		return
	}
	writeJSON(s.writer, body)
}

// writeJSON writes a JSON response with the outcome ran.
func writeJSON(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Outcome", call.OutcomeName(value.OutcomeRan))
	_, _ = w.Write(body)
}
