// Package route decides which route, service and workspace a request belongs to.
package route

import (
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"chicoryhoist.example/hoist/value"
)

// Table is an immutable, indexed route table.
type Table struct {
	source value.RouteTable
	// hosts holds the routes of each host, the longest prefix first.
	hosts map[string][]value.Route
	keys  map[string]value.KeyHolder
	// holderRanks and routeRanks hold the distinct ranks of workspaces and of routes, the highest first.
	holderRanks, routeRanks []int32
}

// NewTable indexes the published routes and keys.
func NewTable(t value.RouteTable) *Table {
	x := &Table{source: t, hosts: map[string][]value.Route{}, keys: map[string]value.KeyHolder{}}
	for r := range t.Routes().All() {
		host := strings.ToLower(r.Host())
		x.hosts[host] = append(x.hosts[host], r)
	}
	for _, routes := range x.hosts {
		slices.SortStableFunc(routes, func(a, b value.Route) int { return len(b.Prefix()) - len(a.Prefix()) })
	}
	for h := range t.Holders().All() {
		for k := range h.Keys().All() {
			x.keys[k] = h
		}
	}
	x.holderRanks = distinct(t.Holders(), func(h value.KeyHolder) int32 { return h.Rank() })
	x.routeRanks = distinct(t.Routes(), func(r value.Route) int32 { return r.Rank() })
	return x
}

// distinct returns the ranks of a list in order and without repeats.
func distinct[T any](l value.List[T], rank func(T) int32) []int32 {
	var ranks []int32
	for x := range l.All() {
		ranks = append(ranks, rank(x))
	}
	slices.Sort(ranks)
	return slices.Compact(ranks)
}

// Version returns the version of the published table.
func (t *Table) Version() uint64 { return t.source.Version() }

// WorkspaceCount returns the number of workspaces that hold keys.
func (t *Table) WorkspaceCount() int { return t.source.Holders().Len() }

// BodyBytes returns the largest body that a caller may send, in bytes, or zero when the table sets none.
func (t *Table) BodyBytes() int64 { return t.source.BodyBytes() }

// Match returns the route with the longest prefix that begins the path.
func (t *Table) Match(host, path string) (value.Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return lo.Find(t.hosts[strings.ToLower(host)], func(r value.Route) bool { return strings.HasPrefix(path, r.Prefix()) })
}

// RequiresKey reports whether requests of the route must present a key.
func (t *Table) RequiresKey(r value.Route) bool {
	return t.source.Holders().Len() > 0 && !r.Anonymous()
}

// WorkspaceByKey returns the workspace that holds the key.
func (t *Table) WorkspaceByKey(key string) (value.KeyHolder, bool) {
	h, ok := t.keys[key]
	return h, ok
}

// Services returns the services that the routes name, in order and without repeats.
func (t *Table) Services() []string {
	var names []string
	for r := range t.source.Routes().All() {
		for s := range r.Targets().All() {
			names = append(names, s.Service())
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// SelectService returns the service that takes the request; the same id always falls to the same service.
func SelectService(r value.Route, id string) string {
	var total uint64
	for t := range r.Targets().All() {
		total += uint64(max(t.Weight(), 0))
	}
	if total == 0 {
		return ""
	}
	at := xxhash.Sum64String(id) % total
	for t := range r.Targets().All() {
		w := uint64(max(t.Weight(), 0))
		if at < w {
			return t.Service()
		}
		at -= w
	}
	return ""
}

// Rank returns the rank of a request, from 0 for the highest: that of its workspace goes before that of its route,
// which decides among requests of workspaces with the same rank.
func (t *Table) Rank(r value.Route, h value.KeyHolder) int32 {
	at, _ := slices.BinarySearch(t.routeRanks, r.Rank())
	if h.Name() == "" {
		return int32(at)
	}
	above, _ := slices.BinarySearch(t.holderRanks, h.Rank())
	return int32(above*len(t.routeRanks) + at)
}

// Repeatable reports whether a request of the route may run more than once.
func Repeatable(r value.Route) bool {
	switch r.Kind() {
	case value.RouteKindIdempotent:
		return true
	case value.RouteKindStream:
		return r.Resumable()
	default:
		return false
	}
}
