package config

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"chicoryhoist.example/hoist"
)

// maxSyntaxFindings bounds how often the decoder resumes after a syntax error; an
// unterminated string can consume the rest of the input each time.
const maxSyntaxFindings = 20

// maxDocumentBytes bounds a document, so that offsets fit into 32 bits and a
// reassembled snapshot cannot exhaust the memory of a router.
const maxDocumentBytes = 64 << 20

// table is a message under construction and its spot; the zero table swallows its keys.
type table struct {
	m protoreflect.Message
	spot
}

// decoder fills a schema message from TOML and collects every finding.
type decoder struct {
	*places
	parser   unstable.Parser
	base     int32
	root     table
	current  table
	findings hoist.Findings
	syntax   int
	// Inlined holds the tables that inline values have written; TOML forbids adding keys to them.
	inlined map[int32]bool
}

// decode fills the message from the content; the places serve later checks of the values.
func decode(file string, content []byte, m proto.Message) (*places, hoist.Findings) {
	if len(content) > maxDocumentBytes {
		p := newPlaces(file, nil)
		return p, hoist.Findings{}.With(p.place(0), "the document has %d bytes; at most %d are allowed", len(content), maxDocumentBytes)
	}
	d := &decoder{places: newPlaces(file, content), inlined: map[int32]bool{}}
	d.root = table{m: m.ProtoReflect()}
	d.current = d.root
	for int(d.base) < len(content) && d.syntax < maxSyntaxFindings {
		if !d.expressions(content[d.base:]) {
			break
		}
	}
	return d.places, d.findings
}

// expressions decodes the rest of the document; it reports whether a syntax error left more to decode.
func (d *decoder) expressions(rest []byte) bool {
	d.parser.Reset(rest)
	for d.parser.NextExpression() {
		d.expression(d.parser.Expression())
	}
	err := d.parser.Error()
	if err == nil {
		return false
	}
	d.syntax++
	d.broken = true
	at := 0
	message := err.Error()
	var pe *unstable.ParserError
	if errors.As(err, &pe) {
		message = pe.Message
		at = min(int(d.parser.Range(pe.Highlight).Offset), len(rest))
	}
	d.report(d.base+int32(at), "syntax error: %s", strings.TrimPrefix(message, "toml: "))
	line := bytes.TrimLeft(rest[bytes.LastIndexByte(rest[:at], '\n')+1:], " \t")
	if bytes.HasPrefix(line, []byte("[")) {
		// The keys below an unreadable header belong to an unknown table.
		d.current = table{}
	}
	next := bytes.IndexByte(rest[at:], '\n')
	if next < 0 {
		return false
	}
	d.base += int32(at + next + 1)
	return true
}

// report adds a finding at the offset.
func (d *decoder) report(offset int32, format string, args ...any) {
	// The findings belong to this decoder alone; appending keeps many findings linear.
	d.findings = append(d.findings, hoist.Finding{Position: d.place(offset), Message: fmt.Sprintf(format, args...)})
}

// offset returns the position of the node in the document, or the fallback for nodes without one.
func (d *decoder) offset(n *unstable.Node, fallback int32) int32 {
	if n.Raw.Length == 0 {
		return fallback
	}
	return d.base + int32(n.Raw.Offset)
}

// expression decodes one top-level expression.
func (d *decoder) expression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table, unstable.ArrayTable:
		d.current = d.header(n)
	case unstable.KeyValue:
		d.keyValue(d.current, n)
	default:
	}
}

// header resolves a table header and returns the table that it opens.
func (d *decoder) header(n *unstable.Node) table {
	t := d.root
	it := n.Key()
	for it.Next() {
		k := it.Node()
		f := d.field(t, k)
		if f == nil {
			return table{}
		}
		if !it.IsLast() {
			t = d.enter(t, f, k)
		} else {
			t = d.open(t, f, k, n.Kind == unstable.ArrayTable)
		}
		if t.m == nil {
			return t
		}
	}
	return t
}

// field returns the schema field of the key, or nil with a finding when the table has no such key.
func (d *decoder) field(t table, k *unstable.Node) protoreflect.FieldDescriptor {
	if t.m == nil {
		return nil
	}
	md := t.m.Descriptor()
	f := md.Fields().ByName(protoreflect.Name(k.Data))
	if f == nil {
		d.report(d.offset(k, t.offset), "unknown key %q%s", clip(string(k.Data)), nearest(string(k.Data), keysOf(md)))
	}
	return f
}

// enter steps into a table on the way to a key; in a list of tables it is the last one.
func (d *decoder) enter(t table, f protoreflect.FieldDescriptor, k *unstable.Node) table {
	at := d.offset(k, t.offset)
	name := string(f.Name())
	switch {
	case f.Message() == nil:
		d.report(at, "%q is %s, not a table", name, typeOf(f))
		return table{}
	case f.IsList():
		if s, ok := d.spots[spotKey{t.node, name, -1}]; ok {
			return d.complete(at, name, s)
		}
		l := t.m.Get(f).List()
		if l.Len() == 0 {
			d.report(at, "%q is a list of tables; write [[%s]] first", name, name)
			return table{}
		}
		return table{l.Get(l.Len() - 1).Message(), d.spots[spotKey{t.node, name, int32(l.Len() - 1)}]}
	default:
		s, fresh := d.add(spotKey{t.node, name, -1}, at)
		if !fresh && d.inlined[s.node] {
			return d.complete(at, name, s)
		}
		return table{t.m.Mutable(f).Message(), s}
	}
}

// complete reports a key of a table that an inline value has already written as a whole.
func (d *decoder) complete(at int32, name string, s spot) table {
	d.report(at, "%q is complete since line %d; TOML cannot add keys to an inline value", name, d.place(s.offset).Line)
	return table{}
}

// open opens the table that a header names; each [table] may be opened once, each [[table]] adds one.
func (d *decoder) open(t table, f protoreflect.FieldDescriptor, k *unstable.Node, list bool) table {
	at := d.offset(k, t.offset)
	name := string(f.Name())
	switch {
	case f.Message() == nil:
		d.report(at, "%q is %s, not a table", name, typeOf(f))
		return table{}
	case list && !f.IsList():
		d.report(at, "%q is a single table; write [%s]", name, name)
		return table{}
	case !list && f.IsList():
		d.report(at, "%q is a list of tables; write [[%s]]", name, name)
		return table{}
	case list:
		if s, ok := d.spots[spotKey{t.node, name, -1}]; ok {
			d.report(at, "duplicate key %q; first written at line %d", name, d.place(s.offset).Line)
		}
		return d.element(t, f, at)
	}
	s, fresh := d.add(spotKey{t.node, name, -1}, at)
	if !fresh {
		d.report(at, "duplicate table %q; first written at line %d", name, d.place(s.offset).Line)
	}
	return table{t.m.Mutable(f).Message(), s}
}

// element appends a table to a list of tables.
func (d *decoder) element(t table, f protoreflect.FieldDescriptor, at int32) table {
	l := t.m.Mutable(f).List()
	s, _ := d.add(spotKey{t.node, string(f.Name()), int32(l.Len())}, at)
	return table{l.AppendMutable().Message(), s}
}

// keyValue decodes a key, which may be dotted, and its value.
func (d *decoder) keyValue(t table, n *unstable.Node) {
	it := n.Key()
	for it.Next() {
		k := it.Node()
		f := d.field(t, k)
		if f == nil {
			return
		}
		if !it.IsLast() {
			t = d.enter(t, f, k)
			continue
		}
		at := d.offset(k, t.offset)
		s, fresh := d.add(spotKey{t.node, string(f.Name()), -1}, at)
		if !fresh {
			d.report(at, "duplicate key %q; first written at line %d", f.Name(), d.place(s.offset).Line)
			return
		}
		d.value(t, f, n.Value(), s)
	}
}
