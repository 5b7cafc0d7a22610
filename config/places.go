package config

import (
	"sort"

	"chicoryhoist.example/hoist"
)

// spot is a position in the decoded document: a table, a key or an item of a list.
type spot struct {
	node   int32
	offset int32
}

// spotKey names a child of a table; item counts from 0 and is -1 for the key itself.
type spotKey struct {
	parent int32
	name   string
	item   int32
}

// places records where each table, key and list item of one document stands.
type places struct {
	file  string
	lines []int32
	spots map[spotKey]spot
	nodes int32
	// Unread holds the keys whose values have findings already; checks stay silent about them.
	unread map[int32]bool
	// Broken says that syntax errors hide parts of the document, so its content cannot be judged.
	broken bool
}

// newPlaces returns an empty record for the content; the root table is node 0.
func newPlaces(file string, content []byte) *places {
	p := &places{file: file, spots: map[spotKey]spot{}, unread: map[int32]bool{}}
	if content == nil {
		return p
	}
	p.lines = append(p.lines, 0)
	for i, b := range content {
		if b == '\n' {
			p.lines = append(p.lines, int32(i+1))
		}
	}
	return p
}

// place returns the file, line and column of the offset; columns count bytes, so that each look-up stays logarithmic.
func (p *places) place(offset int32) hoist.Position {
	if len(p.lines) == 0 {
		return hoist.Position{File: p.file}
	}
	i := sort.Search(len(p.lines), func(i int) bool { return p.lines[i] > offset }) - 1
	return hoist.Position{File: p.file, Line: i + 1, Column: int(offset-p.lines[i]) + 1}
}

// add records a child and reports the earlier one when the child exists already.
func (p *places) add(k spotKey, offset int32) (spot, bool) {
	if s, ok := p.spots[k]; ok {
		return s, false
	}
	p.nodes++
	s := spot{node: p.nodes, offset: offset}
	p.spots[k] = s
	return s, true
}

// key returns the child of the table, or the table itself when the document does not write the key.
func (p *places) key(s spot, name string) spot {
	if c, ok := p.spots[spotKey{s.node, name, -1}]; ok {
		return c
	}
	return s
}

// item returns the item of the list, or the list's own spot when the document does not write the item.
func (p *places) item(s spot, name string, i int) spot {
	if c, ok := p.spots[spotKey{s.node, name, int32(i)}]; ok {
		return c
	}
	return p.key(s, name)
}
