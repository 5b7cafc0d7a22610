package load

import (
	"bufio"
	"io"
	"strings"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/message"
	"chicoryhoist.example/hoist/cmd/standin/pbjson"
)

// maxLineBytes bounds a line of a stream, in bytes.
const maxLineBytes = 1 << 20

// StreamResult is the content of a stream as its caller received it.
type StreamResult struct {
	// Text is the concatenated content of the frames.
	Text string
	// FirstFrameAt and LastFrameAt are the times of the first and the last frame, or zero.
	FirstFrameAt, LastFrameAt hoist.Millis
	// Done is set by the frame that ends a complete response.
	Done bool
	// Err is the content of the error frame, or the error of the connection.
	Err string
}

// ReadStream reads server-sent events until the stream ends.
func ReadStream(r io.Reader, clock hoist.Clock) StreamResult {
	var result StreamResult
	var text strings.Builder
	errorEvent := false
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line := lines.Text()
		data, isData := strings.CutPrefix(line, "data:")
		data = strings.TrimSpace(data)
		switch {
		case line == "event: error":
			errorEvent = true
		case !isData:
		case errorEvent:
			result.Err = data
		case data == "[DONE]":
			result.Done = true
		default:
			result.LastFrameAt = clock.Now()
			if result.FirstFrameAt == 0 {
				result.FirstFrameAt = result.LastFrameAt
			}
			c := &message.Chunk{}
			if err := pbjson.Unmarshal([]byte(data), c); err != nil || len(c.GetChoices()) != 1 {
				result.Err = "frame is not a chat completion chunk: " + data
				continue
			}
			text.WriteString(c.GetChoices()[0].GetDelta().GetContent())
		}
	}
	if err := lines.Err(); err != nil && result.Err == "" && !result.Done {
		result.Err = err.Error()
	}
	result.Text = text.String()
	return result
}
