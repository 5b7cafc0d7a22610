package config

import (
	"fmt"
	"strings"
	"unicode"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// maxRank is the number of service tiers that the router supports.
const maxRank = 6

// maxPermille is 100% in thousandths.
const maxPermille = 1000

// hashDigits is the number of hexadecimal digits of a SHA-256 hash.
const hashDigits = 64

// reporter collects findings about the values of one document.
type reporter struct {
	*positions
	findings hoist.Findings
}

// reportAt adds a finding at the entry unless the decoder has already reported its value.
func (r *reporter) reportAt(e entry, format string, args ...any) {
	if r.undecoded[e.id] {
		return
	}
	r.findings = append(r.findings, hoist.Finding{Position: r.position(e.offset), Message: fmt.Sprintf(format, args...)})
}

// objectCheck checks one object of the document and reports findings under its kind and name.
type objectCheck struct {
	*reporter
	entry
	kind string
	name string
}

// report adds a finding about one key of the object.
func (b objectCheck) report(key, format string, args ...any) {
	b.reportAt(b.key(b.entry, key), "%s %q: %s", b.kind, truncate(b.name), fmt.Sprintf(format, args...))
}

// checkPresent reports a required key that is empty.
func (b objectCheck) checkPresent(key, text string) {
	if text == "" {
		b.report(key, "%q is missing", key)
	}
}

// checkPositive reports a number that is not above zero.
func (b objectCheck) checkPositive(key string, n int64) {
	if n <= 0 {
		b.report(key, "%q must be above 0", key)
	}
}

// checkRange reports a number outside the range.
func (b objectCheck) checkRange(key string, n, low, high int64) {
	if n < low || n > high {
		b.report(key, "%q must be from %d to %d, not %d", key, low, high, n)
	}
}

// checkReference reports a missing name, or a name that no object of the referenced kind has.
func (b objectCheck) checkReference(key, name string, known nameIndex) {
	if name == "" {
		b.report(key, "%q is missing", key)
		return
	}
	if _, ok := known.index[name]; !ok {
		b.report(key, "no %s is named %q%s", known.kind, truncate(name), suggestion(name, known.ordered))
	}
}

// reportItem adds a finding about one item of a list of the object.
func (b objectCheck) reportItem(key string, i int, format string, args ...any) {
	b.reportAt(b.item(b.entry, key, i), "%s %q: %s", b.kind, truncate(b.name), fmt.Sprintf(format, args...))
}

// checkReferences reports the items of a list that no object of the referenced kind has as its name, and duplicates.
func (b objectCheck) checkReferences(key string, items value.List[string], known nameIndex) {
	seen := map[string]bool{}
	i := 0
	for name := range items.All() {
		switch _, ok := known.index[name]; {
		case !ok:
			b.reportItem(key, i, "no %s is named %q%s", known.kind, truncate(name), suggestion(name, known.ordered))
		case seen[name]:
			b.reportItem(key, i, "%q is listed twice", name)
		}
		seen[name] = true
		i++
	}
}

// checkHash reports a string that is not a SHA-256 hash in lower-case hexadecimal.
func (b objectCheck) checkHash(key, text string) {
	if text == "" {
		b.report(key, "%q is missing", key)
		return
	}
	if len(text) != hashDigits || strings.Trim(text, "0123456789abcdef") != "" {
		b.report(key, "%q must be a SHA-256 in %d lower-case hexadecimal digits; hoistctl secret prints it", key, hashDigits)
	}
}

// nameIndex maps the names of the objects of one kind to their indexes in the list.
type nameIndex struct {
	kind    string
	ordered []string
	index   map[string]int
}

// named is an object with a name.
type named interface{ Name() string }

// indexNames indexes the objects of a list and reports names that are missing, malformed or duplicate.
func indexNames[T named](r *reporter, kind, list string, items value.List[T]) nameIndex {
	n := nameIndex{kind: kind, index: make(map[string]int, items.Len())}
	i := 0
	for x := range items.All() {
		b := newObjectCheck(r, kind, list, i, x)
		first, ok := n.index[x.Name()]
		switch {
		case ok && x.Name() != "":
			b.report("name", "duplicate name; the first is %s", r.position(r.item(entry{}, list, first).offset))
		case checkName(x.Name()) != "":
			b.report("name", "%s", checkName(x.Name()))
		}
		if !ok {
			n.index[x.Name()] = i
			n.ordered = append(n.ordered, x.Name())
		}
		i++
	}
	return n
}

// newObjectCheck returns the check of the object at index i of the list.
func newObjectCheck(r *reporter, kind, list string, i int, x named) objectCheck {
	return objectCheck{r, r.item(entry{}, list, i), kind, x.Name()}
}

// forEach calls visit with each object of a list and its check.
func forEach[T named](r *reporter, kind, list string, items value.List[T], visit func(objectCheck, T)) {
	i := 0
	for x := range items.All() {
		visit(newObjectCheck(r, kind, list, i, x), x)
		i++
	}
}

// checkName returns what is wrong with a name, or an empty string. Names appear in headers, paths,
// metric labels and gossip keys, so they must not contain spaces, quotes or control characters.
func checkName(name string) string {
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
