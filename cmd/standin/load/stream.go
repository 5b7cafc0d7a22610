package load

import (
	"bufio"
	"io"
	"strings"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/message"
	"chicoryhoist.example/hoist/cmd/standin/pbjson"
)

// maxLine bounds a line of a stream, in bytes.
const maxLine = 1 << 20

// StreamResult is what arrived on a stream.
type StreamResult struct {
	// Text is the concatenated content of the frames.
	Text string
	// FirstFrameAt and Last are the times of the first and the last frame, or zero.
	FirstFrameAt, LastFrameAt hoist.Millis
	// Done is set by the end mark of a whole answer.
	Done bool
	// Err is the error frame or the failure of the connection.
	Err string
}

// ReadStream reads server-sent events until the stream ends.
func ReadStream(r io.Reader, clock hoist.Clock) StreamResult {
	var got StreamResult
	var text strings.Builder
	failed := false
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		line := lines.Text()
		data, isData := strings.CutPrefix(line, "data:")
		data = strings.TrimSpace(data)
		switch {
		case line == "event: error":
			failed = true
		case !isData:
		case failed:
			got.Err = data
		case data == "[DONE]":
			got.Done = true
		default:
			got.LastFrameAt = clock.Now()
			if got.FirstFrameAt == 0 {
				got.FirstFrameAt = got.LastFrameAt
			}
			c := &message.Chunk{}
			if err := pbjson.Unmarshal([]byte(data), c); err != nil || len(c.GetChoices()) != 1 {
				got.Err = "unreadable frame: " + data
				continue
			}
			text.WriteString(c.GetChoices()[0].GetDelta().GetContent())
		}
	}
	if err := lines.Err(); err != nil && got.Err == "" && !got.Done {
		got.Err = err.Error()
	}
	got.Text = text.String()
	return got
}
