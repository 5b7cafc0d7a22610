package config

import (
	"bytes"
	"fmt"

	"github.com/rotisserie/eris"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

// MaxValueBytes is the maximum size of one value in the platform's configuration service: a megabyte, taken as 10^6 bytes to be safe with either definition.
const MaxValueBytes = 1_000_000

// manifestFormat is the version number of the manifest format.
const manifestFormat = 1

// manifestPrefix is the beginning of every manifest and of no snapshot.
var manifestPrefix = []byte("manifest = ")

// ErrPartMismatch reports parts that do not form the snapshot of their manifest.
var ErrPartMismatch = eris.New("parts do not match the manifest")

// Bundle returns the values that operators publish for a snapshot, in the order of publication.
//
// A snapshot that exceeds the limit is split into parts. The key of each part ends in the
// digest of the part, so new parts never overwrite those of the manifest in force. The
// manifest is the last value.
func Bundle(key string, s value.Snapshot, limit int) value.List[value.PublishedValue] {
	content := Format(s)
	if len(content) <= limit {
		return value.ListOf(newPublishedValue(key, content))
	}
	var values []value.PublishedValue
	var parts []value.Part
	for rest := content; len(rest) > 0; {
		piece := firstPiece(rest, limit)
		rest = rest[len(piece):]
		part := value.Part{}.
			WithKey(fmt.Sprintf("%s.%016x", key, Digest(piece))).
			WithDigest(fmt.Sprintf("%016x", Digest(piece))).
			WithBytes(int64(len(piece)))
		parts = append(parts, part)
		values = append(values, newPublishedValue(part.Key(), piece))
	}
	m := value.Manifest{}.
		WithManifest(manifestFormat).
		WithGeneration(s.Generation()).
		WithDigest(fmt.Sprintf("%016x", Digest(content))).
		WithBytes(int64(len(content))).
		WithParts(value.ListOf(parts...))
	var b bytes.Buffer
	formatTable(&b, "", wire.ManifestWire(m).ProtoReflect())
	return value.ListOf(append(values, newPublishedValue(key, b.Bytes()))...)
}

// firstPiece returns the first piece of the content within the limit. It ends at the end of a line if the limit
// allows, so that each piece is readable text.
func firstPiece(content []byte, limit int) []byte {
	if len(content) <= limit {
		return content
	}
	if end := bytes.LastIndexByte(content[:limit], '\n') + 1; end > 0 {
		return content[:end]
	}
	return content[:limit]
}

// newPublishedValue returns a value to publish under the key.
func newPublishedValue(key string, content []byte) value.PublishedValue {
	return value.PublishedValue{}.WithKey(key).WithContent(string(content))
}

// IsManifest reports whether a published value is a manifest rather than a snapshot.
func IsManifest(content []byte) bool { return bytes.HasPrefix(content, manifestPrefix) }

// ParseManifest decodes and checks a manifest; file is the name of the input in findings.
func ParseManifest(file string, content []byte) (value.Manifest, hoist.Findings) {
	m := &wire.Manifest{}
	p, findings := decode(file, content, m)
	v := wire.ManifestValue(m)
	r := &reporter{positions: p}
	if v.Manifest() != manifestFormat {
		r.reportAt(r.key(entry{}, "manifest"), `"manifest" must be %d`, manifestFormat)
	}
	if v.Bytes() > maxDocumentBytes {
		r.reportAt(r.key(entry{}, "bytes"), `"bytes" must be at most %d`, maxDocumentBytes)
	}
	sum, i := int64(0), 0
	for x := range v.Parts().All() {
		if x.Key() == "" || x.Bytes() <= 0 || x.Bytes() > maxDocumentBytes {
			r.reportAt(r.item(entry{}, "parts", i), "part %d needs a key and a size of at most %d bytes", i+1, maxDocumentBytes)
		}
		sum += x.Bytes()
		i++
	}
	if sum != v.Bytes() {
		r.reportAt(r.key(entry{}, "bytes"), "the parts have %d bytes together, not %d", sum, v.Bytes())
	}
	if findings = append(findings, r.findings...); len(findings) > 0 {
		return value.Manifest{}, findings.Sorted()
	}
	return v, nil
}

// JoinParts joins the parts, which must be in the order of the manifest, and returns the canonical content of the snapshot.
func JoinParts(m value.Manifest, parts [][]byte) ([]byte, error) {
	if len(parts) != m.Parts().Len() {
		return nil, eris.Wrapf(ErrPartMismatch, "%d parts, the manifest lists %d", len(parts), m.Parts().Len())
	}
	content := make([]byte, 0, m.Bytes())
	for i, p := range parts {
		want := m.Parts().At(i)
		if int64(len(p)) != want.Bytes() || fmt.Sprintf("%016x", Digest(p)) != want.Digest() {
			return nil, eris.Wrapf(ErrPartMismatch, "part %q does not have the size and digest that the manifest states", want.Key())
		}
		content = append(content, p...)
	}
	if digest := fmt.Sprintf("%016x", Digest(content)); digest != m.Digest() {
		return nil, eris.Wrapf(ErrPartMismatch, "digest is %s, not %s", digest, m.Digest())
	}
	return content, nil
}
