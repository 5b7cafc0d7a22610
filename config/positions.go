package config

import (
	"sort"

	"chicoryhoist.example/hoist"
)

// entry identifies a table, a key or a list item of the decoded document and holds its offset.
type entry struct {
	id     int32
	offset int32
}

// entryKey identifies a child of a table. The item index starts at 0 and is -1 for the key itself.
type entryKey struct {
	parent int32
	name   string
	item   int32
}

// positions records the offset of each table, key and list item of one document.
type positions struct {
	file    string
	lines   []int32
	entries map[entryKey]entry
	lastID  int32
	// undecoded holds the IDs of keys whose values could not be decoded; checks add no second finding to them.
	undecoded map[int32]bool
	// incomplete is set after a syntax error: parts of the document are missing, so its content cannot be checked.
	incomplete bool
}

// newPositions returns the positions of a document without entries; the root table has ID 0.
func newPositions(file string, content []byte) *positions {
	p := &positions{file: file, entries: map[entryKey]entry{}, undecoded: map[int32]bool{}}
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

// position returns the file, line and column of the offset. Columns count bytes, so that a look-up is a binary search over the lines.
func (p *positions) position(offset int32) hoist.Position {
	if len(p.lines) == 0 {
		return hoist.Position{File: p.file}
	}
	i := sort.Search(len(p.lines), func(i int) bool { return p.lines[i] > offset }) - 1
	return hoist.Position{File: p.file, Line: i + 1, Column: int(offset-p.lines[i]) + 1}
}

// add records a child and returns true. If the child exists, it returns the existing entry and false.
func (p *positions) add(k entryKey, offset int32) (entry, bool) {
	if e, ok := p.entries[k]; ok {
		return e, false
	}
	p.lastID++
	e := entry{id: p.lastID, offset: offset}
	p.entries[k] = e
	return e, true
}

// key returns the entry of the key, or that of the table if the key is not set in the document.
func (p *positions) key(e entry, name string) entry {
	if child, ok := p.entries[entryKey{e.id, name, -1}]; ok {
		return child
	}
	return e
}

// written reports whether the document sets the key of the table.
func (p *positions) written(e entry, name string) bool {
	_, ok := p.entries[entryKey{e.id, name, -1}]
	return ok
}

// item returns the entry of the list item, or that of the list if the document has no such item.
func (p *positions) item(e entry, name string, i int) entry {
	if child, ok := p.entries[entryKey{e.id, name, int32(i)}]; ok {
		return child
	}
	return p.key(e, name)
}
