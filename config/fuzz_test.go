package config

import (
	"bytes"
	"runtime"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// allocatedBytes returns the number of bytes that the call allocates.
func allocatedBytes(call func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	call()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// FuzzParseSnapshot guards against input that crashes the parser, and against accepted
// documents that are not valid TOML or whose canonical form is rejected or has another meaning.
func FuzzParseSnapshot(f *testing.F) {
	f.Fuzz(func(t *testing.T, in []byte) {
		s, findings := ParseSnapshot("in.toml", in)
		if len(findings) > 0 {
			return
		}
		// The decoder reads single expressions, so it could accept a document that a complete TOML parser rejects.
		if err := toml.Unmarshal(in, &map[string]any{}); err != nil {
			t.Fatalf("accepted, but not valid TOML: %v", err)
		}
		content := Format(s)
		again, findings := ParseSnapshot("out.toml", content)
		if len(findings) > 0 {
			t.Fatalf("canonical form rejected: %v\n%s", findings, content)
		}
		if !bytes.Equal(content, Format(again)) {
			t.Fatalf("canonical form is not stable:\n%s\n%s", content, Format(again))
		}
	})
}
