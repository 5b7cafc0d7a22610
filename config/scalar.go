package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// value decodes the value of a key into the field.
func (d *decoder) value(t table, f protoreflect.FieldDescriptor, n *unstable.Node, s spot) {
	switch {
	case f.IsList():
		d.list(t, f, n, s)
	case f.Message() != nil:
		if n.Kind != unstable.InlineTable {
			d.mismatch(f, n, s.offset)
			d.unread[s.node] = true
			return
		}
		d.inline(table{t.m.Mutable(f).Message(), s}, n)
		d.inlined[s.node] = true
	default:
		v, ok := d.scalar(f, n, s.offset)
		if !ok {
			d.unread[s.node] = true
			return
		}
		t.m.Set(f, v)
	}
}

// list decodes an array into a repeated field.
func (d *decoder) list(t table, f protoreflect.FieldDescriptor, n *unstable.Node, s spot) {
	if n.Kind != unstable.Array {
		d.report(d.offset(n, s.offset), "%q must be a list of %s, not %s", f.Name(), pluralOf(f), kindOf(n))
		return
	}
	it := n.Children()
	for it.Next() {
		x := it.Node()
		at := d.offset(x, s.offset)
		if f.Message() == nil {
			d.listItem(t, f, x, at)
			continue
		}
		if x.Kind != unstable.InlineTable {
			d.mismatch(f, x, at)
			continue
		}
		d.inline(d.element(t, f, at), x)
	}
}

// listItem decodes one scalar item of an array.
func (d *decoder) listItem(t table, f protoreflect.FieldDescriptor, n *unstable.Node, at int32) {
	v, ok := d.scalar(f, n, at)
	if !ok {
		return
	}
	l := t.m.Mutable(f).List()
	d.add(spotKey{t.node, string(f.Name()), int32(l.Len())}, at)
	l.Append(v)
}

// inline decodes the keys of an inline table.
func (d *decoder) inline(t table, n *unstable.Node) {
	it := n.Children()
	for it.Next() {
		d.keyValue(t, it.Node())
	}
}

// scalar converts one TOML value to the field's type.
func (d *decoder) scalar(f protoreflect.FieldDescriptor, n *unstable.Node, fallback int32) (protoreflect.Value, bool) {
	at := d.offset(n, fallback)
	switch f.Kind() {
	case protoreflect.StringKind:
		if n.Kind == unstable.String {
			return protoreflect.ValueOfString(string(n.Data)), true
		}
	case protoreflect.BoolKind:
		if n.Kind == unstable.Bool {
			return protoreflect.ValueOfBool(string(n.Data) == "true"), true
		}
	case protoreflect.EnumKind:
		if n.Kind == unstable.String {
			return d.enum(f, string(n.Data), at)
		}
	case protoreflect.DoubleKind:
		if n.Kind == unstable.Integer || n.Kind == unstable.Float {
			return d.number(f, string(n.Data), at)
		}
	default:
		if n.Kind == unstable.Integer {
			return d.integer(f, string(n.Data), at)
		}
	}
	d.mismatch(f, n, fallback)
	return protoreflect.Value{}, false
}

// enum converts the short name of an enum value.
func (d *decoder) enum(f protoreflect.FieldDescriptor, name string, at int32) (protoreflect.Value, bool) {
	var names []string
	values := f.Enum().Values()
	for i := range values.Len() {
		v := values.Get(i)
		if v.Number() == 0 {
			continue
		}
		short := EnumName(f.Enum(), v)
		if short == name {
			return protoreflect.ValueOfEnum(v.Number()), true
		}
		names = append(names, short)
	}
	d.report(at, "%q cannot be %q; it is one of %s%s", f.Name(), clip(name), strings.Join(names, ", "), nearest(name, names))
	return protoreflect.Value{}, false
}

// EnumName returns the value's name without the prefix of its type, in lower case.
func EnumName(e protoreflect.EnumDescriptor, v protoreflect.EnumValueDescriptor) string {
	// The zero value is always PREFIX_UNSPECIFIED, which gives the prefix.
	prefix := strings.TrimSuffix(string(e.Values().ByNumber(0).Name()), "UNSPECIFIED")
	return strings.ToLower(strings.TrimPrefix(string(v.Name()), prefix))
}

// integer converts an integer within the range of the field; TOML integers are signed with 64 bits.
func (d *decoder) integer(f protoreflect.FieldDescriptor, text string, at int32) (protoreflect.Value, bool) {
	low, high := bounds(f.Kind())
	digits, base := strings.ReplaceAll(text, "_", ""), 10
	if len(digits) > 2 && digits[0] == '0' {
		base = map[byte]int{'x': 16, 'o': 8, 'b': 2}[digits[1]]
		digits = digits[2:]
	}
	v, err := strconv.ParseInt(digits, base, 64)
	if err != nil || v < low || v > high {
		d.report(at, "%q must be from %d to %d, not %s", f.Name(), low, high, clip(text))
		return protoreflect.Value{}, false
	}
	switch f.Kind() {
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(int32(v)), true
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(v)), true
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(uint64(v)), true
	default:
		return protoreflect.ValueOfInt64(v), true
	}
}

// number converts an integer or a float to a number that is neither negative nor infinite.
func (d *decoder) number(f protoreflect.FieldDescriptor, text string, at int32) (protoreflect.Value, bool) {
	v, err := strconv.ParseFloat(strings.ReplaceAll(text, "_", ""), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		d.report(at, "%q must be a number from 0, not %s", f.Name(), clip(text))
		return protoreflect.Value{}, false
	}
	return protoreflect.ValueOfFloat64(v), true
}

// bounds returns the range of an integer field; no setting or configuration key is negative.
func bounds(k protoreflect.Kind) (low, high int64) {
	switch k {
	case protoreflect.Int32Kind:
		return 0, math.MaxInt32
	case protoreflect.Uint32Kind:
		return 0, math.MaxUint32
	default:
		return 0, math.MaxInt64
	}
}

// mismatch reports a value of the wrong type.
func (d *decoder) mismatch(f protoreflect.FieldDescriptor, n *unstable.Node, fallback int32) {
	subject := fmt.Sprintf("%q", f.Name())
	if f.IsList() {
		subject = "each item of " + subject
	}
	d.report(d.offset(n, fallback), "%s must be %s, not %s", subject, typeOf(f), kindOf(n))
}

// typeOf returns the type of one element of the field in the words of TOML.
func typeOf(f protoreflect.FieldDescriptor) string {
	switch f.Kind() {
	case protoreflect.MessageKind:
		return "a table"
	case protoreflect.StringKind, protoreflect.EnumKind:
		return "a string"
	case protoreflect.BoolKind:
		return "a boolean"
	case protoreflect.DoubleKind:
		return "a number"
	default:
		return "an integer"
	}
}

// pluralOf returns the plural of typeOf.
func pluralOf(f protoreflect.FieldDescriptor) string {
	_, noun, _ := strings.Cut(typeOf(f), " ")
	return noun + "s"
}

// kindOf returns the type of a TOML value in words.
func kindOf(n *unstable.Node) string {
	switch n.Kind {
	case unstable.String:
		return "a string"
	case unstable.Bool:
		return "a boolean"
	case unstable.Integer:
		return "an integer"
	case unstable.Float:
		return "a float"
	case unstable.Array:
		return "a list"
	case unstable.InlineTable:
		return "a table"
	default:
		return "a date or time"
	}
}
