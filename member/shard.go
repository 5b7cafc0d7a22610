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
	// MaxShardServers is the number of servers above which a longer queue gains little and costs its owner more.
	MaxShardServers = 32
)

// Shard is a set of backend servers of one pool and region that share a queue.
type Shard struct {
	// Key of the shard: "pool/region/index".
	Key string
	// Pool of the servers.
	Pool string
	// Region of the servers.
	Region string
	// Servers of the shard, ordered by name.
	Servers value.List[value.Instance]
}

// hashedServer is a backend server with the hash of its name.
type hashedServer struct {
	hash     uint64
	instance value.Instance
}

// shardGroup identifies the servers that may share a shard.
type shardGroup struct{ pool, region string }

// Layout divides the backend servers of the instance list into shards, ordered by key.
//
// The result depends on the list alone, so routers with the same list agree. Leaving servers remain in their shard until they
// disappear from the list, so that a drain moves no boundary.
func Layout(instances value.List[value.Instance]) []Shard {
	byGroup := map[shardGroup][]hashedServer{}
	for i := range instances.All() {
		if i.Kind() == KindRouter || i.Pool() == "" {
			continue
		}
		group := shardGroup{i.Pool(), i.Region()}
		byGroup[group] = append(byGroup[group], hashedServer{xxhash.Sum64String(i.Name()), i})
	}
	var shards []Shard
	for group, servers := range byGroup {
		slices.SortFunc(servers, compareServers)
		shards = append(shards, group.split("", servers)...)
	}
	slices.SortFunc(shards, func(a, b Shard) int { return cmp.Compare(a.Key, b.Key) })
	return shards
}

// compareServers orders servers by the hash of their name, then by name.
func compareServers(a, b hashedServer) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.instance.Name(), b.instance.Name()))
}

// split divides a group that is too large: at data-centre boundaries if possible, then by hash.
func (sg shardGroup) split(prefix string, servers []hashedServer) []Shard {
	if len(servers) > MaxShardServers {
		if groups := groupByDatacentre(servers); len(groups) > 1 {
			var shards []Shard
			for _, group := range groups {
				shards = append(shards, sg.split(group.name+".", group.servers)...)
			}
			return shards
		}
	}
	return sg.splitByHash(prefix, 0, hashRange{}, servers)
}

// datacentreGroup holds the servers of one data centre, or of several small ones.
type datacentreGroup struct {
	name    string
	servers []hashedServer
}

// groupByDatacentre groups servers by data centre; data centres below MinShardServers are merged until every group has that
// many.
func groupByDatacentre(all []hashedServer) []datacentreGroup {
	byDatacentre := map[string][]hashedServer{}
	for _, e := range all {
		datacentre := e.instance.Datacentre()
		byDatacentre[datacentre] = append(byDatacentre[datacentre], e)
	}
	var groups []datacentreGroup
	merged := datacentreGroup{}
	for name, servers := range byDatacentre {
		if len(servers) >= MinShardServers {
			groups = append(groups, datacentreGroup{name, servers})
			continue
		}
		merged.servers = append(merged.servers, servers...)
		if merged.name == "" || name < merged.name {
			merged.name = name
		}
	}
	slices.SortFunc(groups, func(a, b datacentreGroup) int { return cmp.Compare(a.name, b.name) })
	switch {
	case len(merged.servers) >= MinShardServers:
		groups = append(groups, merged)
	case len(merged.servers) > 0 && len(groups) > 0:
		groups[0].servers = slices.Concat(groups[0].servers, merged.servers)
	}
	for _, group := range groups {
		slices.SortFunc(group.servers, compareServers)
	}
	return groups
}

// splitByHash divides a group above MaxShardServers at the middle of its hash range.
//
// The boundary is a fixed hash, so a server that is added or removed moves no other server, unless a half would fall below
// MinShardServers. Bit d of the index is set for the upper half of the division at depth d; the lower half keeps the index,
// so its servers do not move.
func (sg shardGroup) splitByHash(prefix string, index uint64, h hashRange, servers []hashedServer) []Shard {
	if len(servers) <= MaxShardServers {
		return []Shard{sg.newShard(prefix, index, servers)}
	}
	split, _ := slices.BinarySearchFunc(servers, h.middle(), func(e hashedServer, boundary uint64) int {
		return cmp.Compare(e.hash, boundary)
	})
	split = min(max(split, MinShardServers), len(servers)-MinShardServers)
	shards := sg.splitByHash(prefix, index, h.lower(), servers[:split])
	return append(shards, sg.splitByHash(prefix, index|1<<h.depth, h.upper(), servers[split:])...)
}

// hashRange is the part of the hash space that remains after depth divisions.
type hashRange struct {
	start uint64
	depth uint
}

// middle returns the boundary between the halves of the range.
func (h hashRange) middle() uint64 { return h.start | 1<<63>>h.depth }

// lower returns the lower half of the range.
func (h hashRange) lower() hashRange { return hashRange{h.start, h.depth + 1} }

// upper returns the upper half of the range.
func (h hashRange) upper() hashRange { return hashRange{h.middle(), h.depth + 1} }

// newShard returns the shard of the servers.
func (sg shardGroup) newShard(prefix string, index uint64, servers []hashedServer) Shard {
	instances := make([]value.Instance, len(servers))
	for i, e := range servers {
		instances[i] = e.instance
	}
	slices.SortFunc(instances, func(a, b value.Instance) int { return cmp.Compare(a.Name(), b.Name()) })
	return Shard{
		Key:     sg.pool + "/" + sg.region + "/" + prefix + strconv.FormatUint(index, 10),
		Pool:    sg.pool,
		Region:  sg.region,
		Servers: value.ListOf(instances...),
	}
}
