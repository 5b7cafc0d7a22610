package member

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"chicoryhoist.example/hoist/value"
)

const (
	// MinShardServers is the number of servers below which a queue is too short to even out bursts.
	MinShardServers = 12
	// MaxShardServers is the number of servers beyond which a longer queue gains little and costs its owner more.
	MaxShardServers = 32
)

// Shard is a set of backend servers of one pool and region that share one queue.
type Shard struct {
	// Key of the shard: "pool/region/index".
	Key string
	// Pool of the servers.
	Pool string
	// Region of the servers.
	Region string
	// Servers are the servers, in the order of their names.
	Servers value.List[value.Instance]
}

// entry is one server with the hash of its name.
type entry struct {
	hash     uint64
	instance value.Instance
}

// place identifies the servers that may share a shard.
type place struct{ pool, region string }

// Layout divides the backend servers of the instance list into shards, in the order of their keys.
//
// It depends on the list alone, so routers with the same list agree. Leaving servers
// keep their place until they disappear from the list, so that a drain moves no border.
func Layout(instances value.List[value.Instance]) []Shard {
	groups := map[place][]entry{}
	for i := range instances.All() {
		if i.Kind() == KindRouter || i.Pool() == "" {
			continue
		}
		p := place{i.Pool(), i.Region()}
		groups[p] = append(groups[p], entry{xxhash.Sum64String(i.Name()), i})
	}
	var shards []Shard
	for p, g := range groups {
		slices.SortFunc(g, compareEntries)
		shards = append(shards, p.cut("", g)...)
	}
	slices.SortFunc(shards, func(a, b Shard) int { return cmp.Compare(a.Key, b.Key) })
	return shards
}

// compareEntries orders servers by the hash of the name, then by the name.
func compareEntries(a, b entry) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.instance.Name(), b.instance.Name()))
}

// cut divides a group that is too large at data-centre borders where it can, then by hash.
func (p place) cut(prefix string, g []entry) []Shard {
	if len(g) > MaxShardServers {
		if parts := partition(g); len(parts) > 1 {
			var shards []Shard
			for _, t := range parts {
				shards = append(shards, p.cut(t.name+".", t.entries)...)
			}
			return shards
		}
	}
	return p.halve(prefix, 0, hashRange{}, g)
}

// part is the servers of one data centre, or of several small ones.
type part struct {
	name    string
	entries []entry
}

// partition groups servers by data centre; centres below MinShardServers are joined until every part has that many.
func partition(g []entry) []part {
	centres := map[string][]entry{}
	for _, e := range g {
		c := e.instance.Datacentre()
		centres[c] = append(centres[c], e)
	}
	var parts []part
	rest := part{}
	for name, es := range centres {
		if len(es) >= MinShardServers {
			parts = append(parts, part{name, es})
			continue
		}
		rest.entries = append(rest.entries, es...)
		if rest.name == "" || name < rest.name {
			rest.name = name
		}
	}
	slices.SortFunc(parts, func(a, b part) int { return cmp.Compare(a.name, b.name) })
	switch {
	case len(rest.entries) >= MinShardServers:
		parts = append(parts, rest)
	case len(rest.entries) > 0 && len(parts) > 0:
		parts[0].entries = slices.Concat(parts[0].entries, rest.entries)
	}
	for _, t := range parts {
		slices.SortFunc(t.entries, compareEntries)
	}
	return parts
}

// halve divides a group that is larger than MaxShardServers at the middle of its hash range.
//
// The border is a fixed hash, so a server that comes or goes moves no other server,
// unless a half would fall below MinShardServers. Bit d of the index is set for the upper half
// of the division at depth d; the lower half keeps the index, so its servers do not move.
func (p place) halve(prefix string, index uint64, h hashRange, g []entry) []Shard {
	if len(g) <= MaxShardServers {
		return []Shard{p.shard(prefix, index, g)}
	}
	at, _ := slices.BinarySearchFunc(g, h.middle(), func(e entry, border uint64) int {
		return cmp.Compare(e.hash, border)
	})
	at = min(max(at, MinShardServers), len(g)-MinShardServers)
	low := p.halve(prefix, index, h.lower(), g[:at])
	return append(low, p.halve(prefix, index|1<<h.depth, h.upper(), g[at:])...)
}

// hashRange is the part of the hash space that is left after depth halvings.
type hashRange struct {
	start uint64
	depth uint
}

// middle returns the border between the halves of the range.
func (h hashRange) middle() uint64 { return h.start | 1<<63>>h.depth }

// lower returns the lower half of the range.
func (h hashRange) lower() hashRange { return hashRange{h.start, h.depth + 1} }

// upper returns the upper half of the range.
func (h hashRange) upper() hashRange { return hashRange{h.middle(), h.depth + 1} }

// shard returns the shard of the servers, ordered by name.
func (p place) shard(prefix string, index uint64, g []entry) Shard {
	instances := make([]value.Instance, len(g))
	for i, e := range g {
		instances[i] = e.instance
	}
	slices.SortFunc(instances, func(a, b value.Instance) int { return cmp.Compare(a.Name(), b.Name()) })
	return Shard{
		Key:     p.pool + "/" + p.region + "/" + prefix + strconv.FormatUint(index, 10),
		Pool:    p.pool,
		Region:  p.region,
		Servers: value.ListOf(instances...),
	}
}
