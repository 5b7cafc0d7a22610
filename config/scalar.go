package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// decodeValue decodes the value of a key into the field.
func (d *decoder) decodeValue(t table, f protoreflect.FieldDescriptor, n *unstable.Node, e entry) {
	switch {
	case f.IsList():
		d.decodeList(t, f, n, e)
	case f.Message() != nil:
		if n.Kind != unstable.InlineTable {
			d.reportMismatch(f, n, e.offset)
			d.undecoded[e.id] = true
			return
		}
		d.decodeInline(table{t.message.Mutable(f).Message(), e}, n)
		d.inlined[e.id] = true
	default:
		v, ok := d.decodeScalar(f, n, e.offset)
		if !ok {
			d.undecoded[e.id] = true
			return
		}
		t.message.Set(f, v)
	}
}

// decodeList decodes an array into a repeated field.
func (d *decoder) decodeList(t table, f protoreflect.FieldDescriptor, n *unstable.Node, e entry) {
	if n.Kind != unstable.Array {
		d.report(d.offset(n, e.offset), "%q must be a list of %s, not %s", f.Name(), pluralTypeName(f), tomlTypeName(n))
		return
	}
	it := n.Children()
	for it.Next() {
		x := it.Node()
		offset := d.offset(x, e.offset)
		if f.Message() == nil {
			d.decodeListItem(t, f, x, offset)
			continue
		}
		if x.Kind != unstable.InlineTable {
			d.reportMismatch(f, x, offset)
			continue
		}
		d.decodeInline(d.appendTable(t, f, offset), x)
	}
}

// decodeListItem decodes one scalar item of an array.
func (d *decoder) decodeListItem(t table, f protoreflect.FieldDescriptor, n *unstable.Node, offset int32) {
	v, ok := d.decodeScalar(f, n, offset)
	if !ok {
		return
	}
	l := t.message.Mutable(f).List()
	d.add(entryKey{t.id, string(f.Name()), int32(l.Len())}, offset)
	l.Append(v)
}

// decodeInline decodes the keys of an inline table.
func (d *decoder) decodeInline(t table, n *unstable.Node) {
	it := n.Children()
	for it.Next() {
		d.decodeKeyValue(t, it.Node())
	}
}

// decodeScalar converts one TOML value to the type of the field; it returns false after reporting a finding.
func (d *decoder) decodeScalar(f protoreflect.FieldDescriptor, n *unstable.Node, fallback int32) (protoreflect.Value, bool) {
	offset := d.offset(n, fallback)
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
			return d.decodeEnum(f, string(n.Data), offset)
		}
	case protoreflect.DoubleKind:
		if n.Kind == unstable.Integer || n.Kind == unstable.Float {
			return d.decodeNumber(f, string(n.Data), offset)
		}
	default:
		if n.Kind == unstable.Integer {
			return d.decodeInteger(f, string(n.Data), offset)
		}
	}
	d.reportMismatch(f, n, fallback)
	return protoreflect.Value{}, false
}

// decodeEnum converts the short name of an enum value to its number.
func (d *decoder) decodeEnum(f protoreflect.FieldDescriptor, name string, offset int32) (protoreflect.Value, bool) {
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
	d.report(offset, "%q cannot be %q; it is one of %s%s", f.Name(), truncate(name), strings.Join(names, ", "), suggestion(name, names))
	return protoreflect.Value{}, false
}

// EnumName returns the name of an enum value without the prefix of its type, in lower case.
func EnumName(e protoreflect.EnumDescriptor, v protoreflect.EnumValueDescriptor) string {
	// The zero value is always PREFIX_UNSPECIFIED, which gives the prefix.
	prefix := strings.TrimSuffix(string(e.Values().ByNumber(0).Name()), "UNSPECIFIED")
	return strings.ToLower(strings.TrimPrefix(string(v.Name()), prefix))
}

// decodeInteger converts an integer and checks the range of the field. TOML integers are signed 64-bit numbers.
func (d *decoder) decodeInteger(f protoreflect.FieldDescriptor, text string, offset int32) (protoreflect.Value, bool) {
	low, high := integerRange(f.Kind())
	digits, base := strings.ReplaceAll(text, "_", ""), 10
	if len(digits) > 2 && digits[0] == '0' {
		base = map[byte]int{'x': 16, 'o': 8, 'b': 2}[digits[1]]
		digits = digits[2:]
	}
	v, err := strconv.ParseInt(digits, base, 64)
	if err != nil || v < low || v > high {
		d.report(offset, "%q must be from %d to %d, not %s", f.Name(), low, high, truncate(text))
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

// decodeNumber converts an integer or a float and rejects negative, infinite and NaN values.
func (d *decoder) decodeNumber(f protoreflect.FieldDescriptor, text string, offset int32) (protoreflect.Value, bool) {
	v, err := strconv.ParseFloat(strings.ReplaceAll(text, "_", ""), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		d.report(offset, "%q must be a number from 0, not %s", f.Name(), truncate(text))
		return protoreflect.Value{}, false
	}
	return protoreflect.ValueOfFloat64(v), true
}

// integerRange returns the range of an integer field. No setting or configuration key accepts negative numbers.
func integerRange(k protoreflect.Kind) (low, high int64) {
	switch k {
	case protoreflect.Int32Kind:
		return 0, math.MaxInt32
	case protoreflect.Uint32Kind:
		return 0, math.MaxUint32
	default:
		return 0, math.MaxInt64
	}
}

// reportMismatch reports a value that has the wrong TOML type for the field.
func (d *decoder) reportMismatch(f protoreflect.FieldDescriptor, n *unstable.Node, fallback int32) {
	target := fmt.Sprintf("%q", f.Name())
	if f.IsList() {
		target = "each item of " + target
	}
	d.report(d.offset(n, fallback), "%s must be %s, not %s", target, typeName(f), tomlTypeName(n))
}

// typeName returns the TOML type of one element of the field, with an article.
func typeName(f protoreflect.FieldDescriptor) string {
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

// pluralTypeName returns the plural of typeName without the article.
func pluralTypeName(f protoreflect.FieldDescriptor) string {
	_, noun, _ := strings.Cut(typeName(f), " ")
	return noun + "s"
}

// tomlTypeName returns the type of a parsed TOML value, with an article.
func tomlTypeName(n *unstable.Node) string {
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
