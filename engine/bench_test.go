package engine

import (
	"fmt"
	"strings"
	"testing"
)

// endlessReader is a reader that repeats a text forever.
type endlessReader struct {
	text   string
	offset int
}

func (r *endlessReader) Read(b []byte) (int, error) {
	n := copy(b, r.text[r.offset:])
	r.offset = (r.offset + n) % len(r.text)
	return n, nil
}

// BenchmarkParser measures the parsing of one frame.
func BenchmarkParser(b *testing.B) {
	p := newParser(&endlessReader{text: fmt.Sprintf("id: 7-9-1:5\ndata: {%s}\n\n", strings.Repeat("x", 120))}, "7-9-1")
	var item Item
	b.ReportAllocs()
	for b.Loop() {
		f, err := p.next()
		if err != nil {
			b.Fatal(err)
		}
		item = f
	}
	_ = item
}
