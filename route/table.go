// Package route matches requests to routes, services and workspaces.
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
	// routesByHost holds the routes of each host, those with the longest prefix first.
	routesByHost map[string][]value.Route
	holdersByKey map[string]value.KeyHolder
	// workspaceRanks and routeRanks hold the distinct ranks of workspaces and of routes in ascending order; the
	// lowest number is the highest rank.
	workspaceRanks, routeRanks []int32
}

// NewTable returns an index of the published routes and keys.
func NewTable(t value.RouteTable) *Table {
	x := &Table{source: t, routesByHost: map[string][]value.Route{}, holdersByKey: map[string]value.KeyHolder{}}
	for r := range t.Routes().All() {
		host := strings.ToLower(r.Host())
		x.routesByHost[host] = append(x.routesByHost[host], r)
	}
	for _, routes := range x.routesByHost {
		slices.SortStableFunc(routes, func(a, b value.Route) int { return len(b.Prefix()) - len(a.Prefix()) })
	}
	for h := range t.Holders().All() {
		for k := range h.Keys().All() {
			// Requests without a key have an empty one.
			if k != "" {
				x.holdersByKey[k] = h
			}
		}
	}
	x.workspaceRanks = distinctRanks(t.Holders(), func(h value.KeyHolder) int32 { return h.Rank() })
	x.routeRanks = distinctRanks(t.Routes(), func(r value.Route) int32 { return r.Rank() })
	return x
}

// distinctRanks returns the ranks of a list, sorted and without duplicates.
func distinctRanks[T any](l value.List[T], rank func(T) int32) []int32 {
	var ranks []int32
	for x := range l.All() {
		ranks = append(ranks, rank(x))
	}
	slices.Sort(ranks)
	return slices.Compact(ranks)
}

// Version returns the version of the published table.
func (t *Table) Version() uint64 { return t.source.Version() }

// WorkspaceCount returns the number of workspaces in the table.
func (t *Table) WorkspaceCount() int { return t.source.Holders().Len() }

// BodyBytes returns the maximum size of a request body in bytes, or zero if the table sets none.
func (t *Table) BodyBytes() int64 { return t.source.BodyBytes() }

// HeaderBytes returns the maximum size of a request header in bytes, or zero if the table sets none.
func (t *Table) HeaderBytes() int64 { return t.source.HeaderBytes() }

// HeaderTimeoutMs returns the time within which a request header must end in milliseconds, or zero if the table sets none.
func (t *Table) HeaderTimeoutMs() int64 { return t.source.HeaderTimeoutMs() }

// Match returns the route of the host with the longest matching path prefix. The host is compared without its port
// and without regard to case.
func (t *Table) Match(host, path string) (value.Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return lo.Find(t.routesByHost[strings.ToLower(host)], func(r value.Route) bool { return strings.HasPrefix(path, r.Prefix()) })
}

// ChecksKey reports whether a request of the route with the key, empty for none, may run only if a workspace has the key.
//
// Without a list of workspaces, requests need no key, but one that they have may be a key of an earlier table.
func (t *Table) ChecksKey(r value.Route, key string) bool {
	return !r.Anonymous() && (!t.source.Keyless() || key != "")
}

// WorkspaceByKey returns the workspace that the key belongs to.
func (t *Table) WorkspaceByKey(key string) (value.KeyHolder, bool) {
	h, ok := t.holdersByKey[key]
	return h, ok
}

// Services returns the names of the services that the routes target, sorted and without duplicates.
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

// Specs returns the descriptions of services that the table has.
func (t *Table) Specs() value.List[value.ServiceSpec] { return t.source.Services() }

// SelectService selects a service of the route by weight. The same request ID always selects the same service while
// the weights stay the same.
func SelectService(r value.Route, id string) string {
	var total uint64
	for t := range r.Targets().All() {
		total += uint64(max(t.Weight(), 0))
	}
	if total == 0 {
		return ""
	}
	point := xxhash.Sum64String(id) % total
	for t := range r.Targets().All() {
		w := uint64(max(t.Weight(), 0))
		if point < w {
			return t.Service()
		}
		point -= w
	}
	return ""
}

// Rank returns the rank of a request, from 0 for the highest. The rank of the workspace takes precedence; the rank of
// the route decides between workspaces of equal rank.
func (t *Table) Rank(r value.Route, h value.KeyHolder) int32 {
	routeRank, _ := slices.BinarySearch(t.routeRanks, r.Rank())
	if h.Name() == "" {
		return int32(routeRank)
	}
	workspaceRank, _ := slices.BinarySearch(t.workspaceRanks, h.Rank())
	return int32(workspaceRank*len(t.routeRanks) + routeRank)
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
