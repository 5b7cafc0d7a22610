package http1_test

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist/http1"
)

// readEvents returns the events of the stream, and whether it ended whole.
func readEvents(r io.Reader) (events []string, ids []int64, whole bool) {
	e := http1.NewEventReader(r)
	for {
		x, err := e.Next()
		if err != nil {
			return events, ids, errors.Is(err, io.EOF)
		}
		events = append(events, string(x.Data))
		if x.Numbered {
			ids = append(ids, x.ID)
		}
	}
}

// eventOf returns an event whose longest line has n bytes without its end.
func eventOf(id int, n int, end string) string {
	return "id: " + strconv.Itoa(id) + end + "data: " + strings.Repeat("x", n-len("data: ")) + end + end
}

// Guards against an event that is split because one of its lines ends at the end of a buffer, so that the stream seems to be
// broken off or out of order.
var _ = DescribeTable("events with lines around the size of a buffer", func(end string) {
	for _, buffer := range []int{4 << 10, 8 << 10, 64 << 10} {
		for n := buffer - 4; n <= buffer+4; n++ {
			want := []string{eventOf(1, 20, end), eventOf(2, n, end), eventOf(3, 20, end)}
			for name, r := range map[string]io.Reader{
				"whole": strings.NewReader(strings.Join(want, "")), "half": iotest.HalfReader(strings.NewReader(strings.Join(want, ""))),
				"single bytes": iotest.OneByteReader(strings.NewReader(strings.Join(want, ""))),
			} {
				events, ids, whole := readEvents(r)
				Expect(events).To(Equal(want), "%d bytes, %s", n, name)
				Expect(ids).To(Equal([]int64{1, 2, 3}), "%d bytes, %s", n, name)
				Expect(whole).To(BeTrue(), "%d bytes, %s", n, name)
			}
		}
	}
},
	Entry("ending with a line feed", "\n"),
	Entry("ending with a carriage return and a line feed", "\r\n"),
)

// FuzzEvents guards against events that depend on how the bytes of a stream arrive, and against bytes that are lost, added or
// change their order.
func FuzzEvents(f *testing.F) {
	for _, n := range []uint16{0, 4090, 4096, 8192} {
		f.Add("id: 1\ndata: a\n\n", n, "\n\nid: 2\r\ndata: b\r\n\r\n", uint8(3))
	}
	f.Fuzz(func(t *testing.T, head string, length uint16, tail string, step uint8) {
		text := head + strings.Repeat("x", int(length)) + tail
		events, ids, whole := readEvents(strings.NewReader(text))
		joined := strings.Join(events, "")
		if !strings.HasPrefix(text, joined) || whole != (joined == text) {
			t.Fatalf("%q has the events %q, whole: %v", text, events, whole)
		}
		again, againIDs, againWhole := readEvents(&steps{strings.NewReader(text), int(step)%7 + 1})
		if strings.Join(again, "\x00") != strings.Join(events, "\x00") || againWhole != whole || len(ids) != len(againIDs) {
			t.Fatalf("%q has the events %q, and in steps %q", text, events, again)
		}
		for _, e := range events {
			if !endsBlank(e) {
				t.Fatalf("event %q does not end with an empty line", e)
			}
		}
	})
}

// endsBlank reports whether the last line is empty but for carriage returns.
func endsBlank(e string) bool {
	lines := strings.Split(strings.TrimSuffix(e, "\n"), "\n")
	return strings.Trim(lines[len(lines)-1], "\r") == ""
}

// steps returns at most n bytes with each read.
type steps struct {
	reader io.Reader
	n      int
}

// Read implements io.Reader.
func (s *steps) Read(b []byte) (int, error) { return s.reader.Read(b[:min(len(b), s.n)]) }
