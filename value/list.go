// Package value holds the immutable values that decisions work on; all but List are generated from the schema.
package value

import (
	"iter"
	"slices"
)

// List is an immutable list; its zero value is empty.
type List[T any] struct {
	items []T
}

// ListOf returns a list that holds a copy of the items.
func ListOf[T any](items ...T) List[T] {
	return List[T]{slices.Clone(items)}
}

// Len returns the number of items.
func (l List[T]) Len() int { return len(l.items) }

// At returns the item at index i; it panics when i is out of range.
func (l List[T]) At(i int) T { return l.items[i] }

// All yields the items in order.
func (l List[T]) All() iter.Seq[T] { return slices.Values(l.items) }

// With returns a list with the item at index i replaced.
func (l List[T]) With(i int, item T) List[T] {
	items := slices.Clone(l.items)
	items[i] = item
	return List[T]{items}
}

// Append returns a list with the items added at the end.
func (l List[T]) Append(items ...T) List[T] {
	return List[T]{slices.Concat(l.items, items)}
}

// Without returns a list without the item at index i.
func (l List[T]) Without(i int) List[T] {
	return List[T]{slices.Concat(l.items[:i], l.items[i+1:])}
}

// Insert returns a list with the item placed before index i.
func (l List[T]) Insert(i int, item T) List[T] {
	items := make([]T, 0, len(l.items)+1)
	items = append(items, l.items[:i]...)
	items = append(items, item)
	return List[T]{append(items, l.items[i:]...)}
}
