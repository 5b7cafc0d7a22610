package config

import (
	"fmt"
	"strings"
	"unicode"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// maxRank is the number of service tiers that the router is built for.
const maxRank = 6

// maxPermille is the whole, in thousandths.
const maxPermille = 1000

// hexDigits is the length of a SHA-256 in hexadecimal.
const hexDigits = 64

// report collects findings of values at their places in the document.
type report struct {
	*places
	findings hoist.Findings
}

// at adds a finding unless the decoder has already reported the value there.
func (r *report) at(s spot, format string, args ...any) {
	if r.unread[s.node] {
		return
	}
	r.findings = append(r.findings, hoist.Finding{Position: r.place(s.offset), Message: fmt.Sprintf(format, args...)})
}

// subject is one object of the document in findings.
type subject struct {
	*report
	spot
	kind string
	name string
}

// fault reports a finding about one key of the subject.
func (b subject) fault(key, format string, args ...any) {
	b.at(b.key(b.spot, key), "%s %q: %s", b.kind, clip(b.name), fmt.Sprintf(format, args...))
}

// require reports an empty key that must be written.
func (b subject) require(key, text string) {
	if text == "" {
		b.fault(key, "%q is missing", key)
	}
}

// positive reports a number that must be above zero.
func (b subject) positive(key string, n int64) {
	if n <= 0 {
		b.fault(key, "%q must be above 0", key)
	}
}

// within reports a number outside the range.
func (b subject) within(key string, n, low, high int64) {
	if n < low || n > high {
		b.fault(key, "%q must be from %d to %d, not %d", key, low, high, n)
	}
}

// refer reports a name that no object of the kind has.
func (b subject) refer(key, name string, known names) {
	if name == "" {
		b.fault(key, "%q is missing", key)
		return
	}
	if _, ok := known.index[name]; !ok {
		b.fault(key, "no %s is named %q%s", known.kind, clip(name), nearest(name, known.list))
	}
}

// item reports a finding about one item of a list of the subject.
func (b subject) item(key string, i int, format string, args ...any) {
	b.at(b.places.item(b.spot, key, i), "%s %q: %s", b.kind, clip(b.name), fmt.Sprintf(format, args...))
}

// referAll reports the items of a list that name no object of the kind, or name one twice.
func (b subject) referAll(key string, items value.List[string], known names) {
	seen := map[string]bool{}
	i := 0
	for name := range items.All() {
		switch _, ok := known.index[name]; {
		case !ok:
			b.item(key, i, "no %s is named %q%s", known.kind, clip(name), nearest(name, known.list))
		case seen[name]:
			b.item(key, i, "%q is listed twice", name)
		}
		seen[name] = true
		i++
	}
}

// sha reports a text that is not the SHA-256 of a secret.
func (b subject) sha(key, text string) {
	if text == "" {
		b.fault(key, "%q is missing", key)
		return
	}
	if len(text) != hexDigits || strings.Trim(text, "0123456789abcdef") != "" {
		b.fault(key, "%q must be a SHA-256 in %d lower-case hexadecimal digits; hoistctl secret prints it", key, hexDigits)
	}
}

// names is the set of objects of one kind by name.
type names struct {
	kind  string
	list  []string
	index map[string]int
}

// named is an object with a name.
type named interface{ Name() string }

// collect indexes the objects of a list and reports names that are missing, malformed or duplicate.
func collect[T named](r *report, kind, list string, items value.List[T]) names {
	n := names{kind: kind, index: make(map[string]int, items.Len())}
	i := 0
	for x := range items.All() {
		b := subjectOf(r, kind, list, i, x)
		first, ok := n.index[x.Name()]
		switch {
		case ok && x.Name() != "":
			b.fault("name", "duplicate name; the first is %s", r.place(r.item(spot{}, list, first).offset))
		case nameFault(x.Name()) != "":
			b.fault("name", "%s", nameFault(x.Name()))
		}
		if !ok {
			n.index[x.Name()] = i
			n.list = append(n.list, x.Name())
		}
		i++
	}
	return n
}

// subjectOf returns the subject of the object at index i of the list.
func subjectOf(r *report, kind, list string, i int, x named) subject {
	return subject{r, r.item(spot{}, list, i), kind, x.Name()}
}

// each visits the objects of a list as subjects of findings.
func each[T named](r *report, kind, list string, items value.List[T], visit func(subject, T)) {
	i := 0
	for x := range items.All() {
		visit(subjectOf(r, kind, list, i, x), x)
		i++
	}
}

// nameFault says what is wrong with a name, or nothing. Names appear in headers, paths,
// metric labels and gossip keys, so they hold no spaces, quotes or control characters.
func nameFault(name string) string {
	if name == "" {
		return `"name" is missing`
	}
	if len(name) > maxNameBytes {
		return fmt.Sprintf("a name has at most %d bytes", maxNameBytes)
	}
	for _, c := range name {
		if !unicode.IsLetter(c) && !unicode.IsMark(c) && !unicode.IsDigit(c) && !strings.ContainsRune("._:/@+-", c) {
			return fmt.Sprintf("a name must not contain %q; letters, digits and ._:/@+- are allowed", c)
		}
	}
	return ""
}
