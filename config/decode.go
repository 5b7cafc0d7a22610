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

// maxSyntaxFindings limits how often the decoder resumes after a syntax error, because
// each unterminated string can make it scan the rest of the input again.
const maxSyntaxFindings = 20

// maxDocumentBytes limits the size of a document, so that offsets fit into 32 bits and
// a snapshot that is joined from parts cannot exhaust the memory of a router.
const maxDocumentBytes = 64 << 20

// table is a message under construction with its entry. The keys of the zero table are ignored.
type table struct {
	message protoreflect.Message
	entry
}

// decoder fills a schema message from TOML and collects every finding.
type decoder struct {
	*positions
	parser       unstable.Parser
	baseOffset   int32
	root         table
	current      table
	findings     hoist.Findings
	syntaxErrors int
	// inlined holds the IDs of inline tables; TOML forbids adding keys to them later.
	inlined map[int32]bool
}

// decode fills the message from the content. It also returns the positions of the values, for later checks.
func decode(file string, content []byte, m proto.Message) (*positions, hoist.Findings) {
	if len(content) > maxDocumentBytes {
		p := newPositions(file, nil)
		return p, hoist.Findings{}.With(p.position(0), "the document has %d bytes; at most %d are allowed", len(content), maxDocumentBytes)
	}
	d := &decoder{positions: newPositions(file, content), inlined: map[int32]bool{}}
	d.root = table{message: m.ProtoReflect()}
	d.current = d.root
	for int(d.baseOffset) < len(content) && d.syntaxErrors < maxSyntaxFindings {
		if !d.decodeExpressions(content[d.baseOffset:]) {
			break
		}
	}
	return d.positions, d.findings
}

// decodeExpressions decodes up to the end of the document or the next syntax error. It returns true if decoding can resume on the line after the error.
func (d *decoder) decodeExpressions(rest []byte) bool {
	d.parser.Reset(rest)
	for d.parser.NextExpression() {
		d.decodeExpression(d.parser.Expression())
	}
	err := d.parser.Error()
	if err == nil {
		return false
	}
	d.syntaxErrors++
	d.incomplete = true
	offset := 0
	message := err.Error()
	var pe *unstable.ParserError
	if errors.As(err, &pe) {
		message = pe.Message
		offset = min(int(d.parser.Range(pe.Highlight).Offset), len(rest))
	}
	d.report(d.baseOffset+int32(offset), "syntax error: %s", strings.TrimPrefix(message, "toml: "))
	line := bytes.TrimLeft(rest[bytes.LastIndexByte(rest[:offset], '\n')+1:], " \t")
	if bytes.HasPrefix(line, []byte("[")) {
		// The header cannot be parsed, so the table of the following keys is unknown.
		d.current = table{}
	}
	next := bytes.IndexByte(rest[offset:], '\n')
	if next < 0 {
		return false
	}
	d.baseOffset += int32(offset + next + 1)
	return true
}

// report adds a finding at the offset.
func (d *decoder) report(offset int32, format string, args ...any) {
	// Findings.With would copy the list each time; appending keeps the cost linear in the number of findings.
	d.findings = append(d.findings, hoist.Finding{Position: d.position(offset), Message: fmt.Sprintf(format, args...)})
}

// offset returns the offset of the node in the document, or the fallback for a node without a source range.
func (d *decoder) offset(n *unstable.Node, fallback int32) int32 {
	if n.Raw.Length == 0 {
		return fallback
	}
	return d.baseOffset + int32(n.Raw.Offset)
}

// decodeExpression decodes one top-level expression.
func (d *decoder) decodeExpression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table, unstable.ArrayTable:
		d.current = d.decodeHeader(n)
	case unstable.KeyValue:
		d.decodeKeyValue(d.current, n)
	default:
	}
}

// decodeHeader decodes a table header and returns the table that it opens.
func (d *decoder) decodeHeader(n *unstable.Node) table {
	t := d.root
	it := n.Key()
	for it.Next() {
		k := it.Node()
		f := d.lookUpField(t, k)
		if f == nil {
			return table{}
		}
		if !it.IsLast() {
			t = d.enterTable(t, f, k)
		} else {
			t = d.openTable(t, f, k, n.Kind == unstable.ArrayTable)
		}
		if t.message == nil {
			return t
		}
	}
	return t
}

// lookUpField returns the schema field of the key. If the table has no such key, it adds a finding and returns nil.
func (d *decoder) lookUpField(t table, k *unstable.Node) protoreflect.FieldDescriptor {
	if t.message == nil {
		return nil
	}
	md := t.message.Descriptor()
	f := md.Fields().ByName(protoreflect.Name(k.Data))
	if f == nil {
		d.report(d.offset(k, t.offset), "unknown key %q%s", truncate(string(k.Data)), suggestion(string(k.Data), tableKeys(md)))
	}
	return f
}

// enterTable returns the child table that a dotted key passes through; in a list of tables this is the last one.
func (d *decoder) enterTable(t table, f protoreflect.FieldDescriptor, k *unstable.Node) table {
	offset := d.offset(k, t.offset)
	name := string(f.Name())
	switch {
	case f.Message() == nil:
		d.report(offset, "%q is %s, not a table", name, typeName(f))
		return table{}
	case f.IsList():
		if e, ok := d.entries[entryKey{t.id, name, -1}]; ok {
			return d.reportInline(offset, name, e)
		}
		l := t.message.Get(f).List()
		if l.Len() == 0 {
			d.report(offset, "%q is a list of tables; write [[%s]] first", name, name)
			return table{}
		}
		return table{l.Get(l.Len() - 1).Message(), d.entries[entryKey{t.id, name, int32(l.Len() - 1)}]}
	default:
		e, added := d.add(entryKey{t.id, name, -1}, offset)
		if !added && d.inlined[e.id] {
			return d.reportInline(offset, name, e)
		}
		return table{t.message.Mutable(f).Message(), e}
	}
}

// reportInline reports a key that would extend an inline table or an inline list.
func (d *decoder) reportInline(offset int32, name string, e entry) table {
	d.report(offset, "%q is complete since line %d; TOML cannot add keys to an inline value", name, d.position(e.offset).Line)
	return table{}
}

// openTable returns the table for the last key of a header. A [table] may be opened once; each [[table]] appends a table to a list.
func (d *decoder) openTable(t table, f protoreflect.FieldDescriptor, k *unstable.Node, list bool) table {
	offset := d.offset(k, t.offset)
	name := string(f.Name())
	switch {
	case f.Message() == nil:
		d.report(offset, "%q is %s, not a table", name, typeName(f))
		return table{}
	case list && !f.IsList():
		d.report(offset, "%q is a single table; write [%s]", name, name)
		return table{}
	case !list && f.IsList():
		d.report(offset, "%q is a list of tables; write [[%s]]", name, name)
		return table{}
	case list:
		if e, ok := d.entries[entryKey{t.id, name, -1}]; ok {
			d.report(offset, "duplicate key %q; first written at line %d", name, d.position(e.offset).Line)
		}
		return d.appendTable(t, f, offset)
	}
	e, added := d.add(entryKey{t.id, name, -1}, offset)
	if !added {
		d.report(offset, "duplicate table %q; first written at line %d", name, d.position(e.offset).Line)
	}
	return table{t.message.Mutable(f).Message(), e}
}

// appendTable appends a table to a list of tables.
func (d *decoder) appendTable(t table, f protoreflect.FieldDescriptor, offset int32) table {
	l := t.message.Mutable(f).List()
	e, _ := d.add(entryKey{t.id, string(f.Name()), int32(l.Len())}, offset)
	return table{l.AppendMutable().Message(), e}
}

// decodeKeyValue decodes a key, which can be dotted, and its value.
func (d *decoder) decodeKeyValue(t table, n *unstable.Node) {
	it := n.Key()
	for it.Next() {
		k := it.Node()
		f := d.lookUpField(t, k)
		if f == nil {
			return
		}
		if !it.IsLast() {
			t = d.enterTable(t, f, k)
			continue
		}
		offset := d.offset(k, t.offset)
		e, added := d.add(entryKey{t.id, string(f.Name()), -1}, offset)
		if !added {
			d.report(offset, "duplicate key %q; first written at line %d", f.Name(), d.position(e.offset).Line)
			return
		}
		d.decodeValue(t, f, n.Value(), e)
	}
}
