package golden

import (
	"fmt"
	"strconv"
	"strings"
)

// Line is one line of a script: a command, followed by arguments of the form name=value and plain words.
type Line struct {
	Verb  string
	Words []string
	named map[string]string
}

// ParseLine parses a line; it returns false for an empty line or a comment.
func ParseLine(text string) (Line, bool) {
	fields := strings.Fields(text)
	if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
		return Line{}, false
	}
	l := Line{Verb: fields[0], named: map[string]string{}}
	for _, f := range fields[1:] {
		if name, v, ok := strings.Cut(f, "="); ok {
			l.named[name] = v
		} else {
			l.Words = append(l.Words, f)
		}
	}
	return l, true
}

// Text returns the value of a named argument, or an empty string if it is not set.
func (l Line) Text(name string) string { return l.named[name] }

// Has reports whether the line has the word or the named argument.
func (l Line) Has(name string) bool {
	if _, ok := l.named[name]; ok {
		return true
	}
	for _, w := range l.Words {
		if w == name {
			return true
		}
	}
	return false
}

// Int returns the value of a named argument, or zero if it is not set; it panics if the value is not an integer.
func (l Line) Int(name string) int64 {
	v, ok := l.named[name]
	if !ok {
		return 0
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		panic(fmt.Sprintf("golden: argument %s of %s: %v", name, l.Verb, err))
	}
	return n
}

// List returns the comma-separated values of a named argument.
func (l Line) List(name string) []string {
	if l.named[name] == "" {
		return nil
	}
	return strings.Split(l.named[name], ",")
}

// RunScript calls step with each line of a script and returns the script with the result of step after each line.
func RunScript(input string, step func(Line) string) string {
	var out strings.Builder
	for text := range strings.Lines(input) {
		out.WriteString(text)
		l, ok := ParseLine(text)
		if !ok {
			continue
		}
		for result := range strings.Lines(step(l)) {
			out.WriteString("  -> " + strings.TrimSuffix(result, "\n") + "\n")
		}
	}
	return out.String()
}
