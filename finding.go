package hoist

import (
	"fmt"
	"slices"
	"strings"
)

// Position is a position in an input file; lines and columns are counted from 1.
//
// A zero line means that the position in the file is unknown; a zero column has no such meaning.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns the position as file:line:column, or the file alone if the line is zero; a zero column is written as 0.
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Finding is a problem in an input, with its position.
type Finding struct {
	Position
	Message string
}

// String returns the finding as file:line:column: message.
func (f Finding) String() string { return f.Position.String() + ": " + f.Message }

// Findings is a list of findings that are reported together.
type Findings []Finding

// With returns a copy with a finding appended.
func (f Findings) With(position Position, format string, args ...any) Findings {
	return append(slices.Clone(f), Finding{position, fmt.Sprintf(format, args...)})
}

// Sorted returns a copy sorted by position.
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

// Err returns the findings as an error, or nil if there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Error returns all findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}
