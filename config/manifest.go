package config

import (
	"bytes"
	"fmt"

	"github.com/rotisserie/eris"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

// MaxValueBytes is the size of one value of the platform; a megabyte is taken as 10^6 bytes, the smaller meaning.
const MaxValueBytes = 1_000_000

// manifestFormat is the number of the manifest's format.
const manifestFormat = 1

// manifestMark begins every manifest and no snapshot.
var manifestMark = []byte("manifest = ")

// ErrPartMismatch reports parts that do not make up the snapshot of their manifest.
var ErrPartMismatch = eris.New("parts do not match the manifest")

// Bundle returns the values that operators publish for a snapshot, in the order of publication.
//
// A snapshot over the limit is split; the key of each part ends in the part's digest, so
// that new parts never replace those of the manifest in force, and the manifest comes last.
func Bundle(key string, s value.Snapshot, limit int) value.List[value.PublishedValue] {
	content := Format(s)
	if len(content) <= limit {
		return value.ListOf(published(key, content))
	}
	var values []value.PublishedValue
	var parts []value.Part
	for rest := content; len(rest) > 0; {
		piece := cut(rest, limit)
		rest = rest[len(piece):]
		part := value.Part{}.
			WithKey(fmt.Sprintf("%s.%016x", key, Digest(piece))).
			WithDigest(fmt.Sprintf("%016x", Digest(piece))).
			WithBytes(int64(len(piece)))
		parts = append(parts, part)
		values = append(values, published(part.Key(), piece))
	}
	m := value.Manifest{}.
		WithManifest(manifestFormat).
		WithGeneration(s.Generation()).
		WithDigest(fmt.Sprintf("%016x", Digest(content))).
		WithBytes(int64(len(content))).
		WithParts(value.ListOf(parts...))
	var b bytes.Buffer
	formatTable(&b, "", wire.ManifestWire(m).ProtoReflect())
	return value.ListOf(append(values, published(key, b.Bytes()))...)
}

// cut returns the leading piece of the content within the limit; it ends with a line where one fits, so that the
// pieces stay readable text.
func cut(content []byte, limit int) []byte {
	if len(content) <= limit {
		return content
	}
	if end := bytes.LastIndexByte(content[:limit], '\n') + 1; end > 0 {
		return content[:end]
	}
	return content[:limit]
}

// published returns one value of the platform.
func published(key string, content []byte) value.PublishedValue {
	return value.PublishedValue{}.WithKey(key).WithContent(string(content))
}

// IsManifest reports whether a published value is a manifest rather than a snapshot.
func IsManifest(content []byte) bool { return bytes.HasPrefix(content, manifestMark) }

// ParseManifest decodes and checks a manifest; file names the input in findings.
func ParseManifest(file string, content []byte) (value.Manifest, hoist.Findings) {
	m := &wire.Manifest{}
	p, findings := decode(file, content, m)
	v := wire.ManifestValue(m)
	r := &report{places: p}
	if v.Manifest() != manifestFormat {
		r.at(r.key(spot{}, "manifest"), `"manifest" must be %d`, manifestFormat)
	}
	if v.Bytes() > maxDocumentBytes {
		r.at(r.key(spot{}, "bytes"), `"bytes" must be at most %d`, maxDocumentBytes)
	}
	sum, i := int64(0), 0
	for x := range v.Parts().All() {
		if x.Key() == "" || x.Bytes() <= 0 || x.Bytes() > maxDocumentBytes {
			r.at(r.item(spot{}, "parts", i), "part %d needs a key and a size of at most %d bytes", i+1, maxDocumentBytes)
		}
		sum += x.Bytes()
		i++
	}
	if sum != v.Bytes() {
		r.at(r.key(spot{}, "bytes"), "the parts have %d bytes together, not %d", sum, v.Bytes())
	}
	if findings = append(findings, r.findings...); len(findings) > 0 {
		return value.Manifest{}, findings.Sorted()
	}
	return v, nil
}

// JoinParts joins the parts of a manifest, which stand in its order, to the canonical content of the snapshot.
func JoinParts(m value.Manifest, parts [][]byte) ([]byte, error) {
	if len(parts) != m.Parts().Len() {
		return nil, eris.Wrapf(ErrPartMismatch, "%d parts instead of %d", len(parts), m.Parts().Len())
	}
	content := make([]byte, 0, m.Bytes())
	for i, p := range parts {
		want := m.Parts().At(i)
		if int64(len(p)) != want.Bytes() || fmt.Sprintf("%016x", Digest(p)) != want.Digest() {
			return nil, eris.Wrapf(ErrPartMismatch, "part %q is incomplete or another one", want.Key())
		}
		content = append(content, p...)
	}
	if digest := fmt.Sprintf("%016x", Digest(content)); digest != m.Digest() {
		return nil, eris.Wrapf(ErrPartMismatch, "digest is %s, not %s", digest, m.Digest())
	}
	return content, nil
}
