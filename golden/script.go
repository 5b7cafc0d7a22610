package golden

import (
	"fmt"
	"strconv"
	"strings"
)

// Line is one line of a script: a verb, and arguments of the form name=value or plain words.
type Line struct {
	Verb  string
	Words []string
	named map[string]string
}

// ParseLine splits a line; it reports false for an empty line and a comment.
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

// Text returns the value of a named argument, or an empty text.
func (l Line) Text(name string) string { return l.named[name] }

// Has reports whether the word or the named argument is there.
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

// Int returns the value of a named argument, or zero; it panics on a value that is no number.
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

// RunScript runs each line of a script through step and returns the script with what step has written behind each line.
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
