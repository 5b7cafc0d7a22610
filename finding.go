package hoist

import (
	"fmt"
	"slices"
	"strings"
)

// Position is a position in an input file; line and column count from 1, zero means unknown.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns the place as file:line:column.
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Finding is one problem found in an input, with its place.
type Finding struct {
	Position
	Message string
}

// String returns the finding as file:line:column: message.
func (f Finding) String() string { return f.Position.String() + ": " + f.Message }

// Findings collects problems so that all of them are reported together.
type Findings []Finding

// With returns the findings with one more.
func (f Findings) With(place Position, format string, args ...any) Findings {
	return append(slices.Clone(f), Finding{place, fmt.Sprintf(format, args...)})
}

// Sorted returns the findings in the order of their places.
func (f Findings) Sorted() Findings {
	s := slices.Clone(f)
	slices.SortStableFunc(s, func(a, b Finding) int {
		if c := strings.Compare(a.File, b.File); c != 0 {
			return c
		}
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return s
}

// Err returns the findings as an error, or nil when there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Error returns all findings, one a line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}
