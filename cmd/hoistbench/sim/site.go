package sim

import (
	"fmt"

	"chicoryhoist.example/hoist/value"
)

// Site is the size and the network latency of one user's deployment.
type Site struct {
	// Name is the prefix of the names of the site's figures.
	Name string
	// Datacentres is the number of data centres.
	Datacentres int
	// LinkLatency is the one-way network latency between two data centres.
	LinkLatency Micros
	// ClientLatency is the one-way network latency between a client and a router.
	ClientLatency Micros
	// Routers is the number of router instances.
	Routers int
	// Servers is the number of model servers.
	Servers int
}

// Sites are the deployments of the two users in section 1.1 of the design page.
var Sites = []Site{
	{Name: "siam", Datacentres: 4, LinkLatency: 1500, ClientLatency: 3 * Millisecond, Routers: 6, Servers: 12},
	{Name: "seam", Datacentres: 3, LinkLatency: 500, ClientLatency: 3 * Millisecond, Routers: 6, Servers: 12},
}

// OneWayLatency returns the network latency between two instances; instances are assigned to the data centres round robin.
func (s Site) OneWayLatency(a, b int) Micros {
	if a%s.Datacentres == b%s.Datacentres {
		return 0
	}
	return s.LinkLatency
}

// Datacentre returns the name of the data centre of the instance with number i.
func (s Site) Datacentre(i int) string { return fmt.Sprintf("dc%d", i%s.Datacentres+1) }

// ServerName returns the name of the model server with number i.
func ServerName(i int) string { return fmt.Sprintf("engine-%02d", i+1) }

// Instances returns the entries of the model servers in the instance list.
func (s Site) Instances(pool string) value.List[value.Instance] {
	instances := make([]value.Instance, s.Servers)
	for i := range instances {
		instances[i] = value.Instance{}.WithName(ServerName(i)).WithKind("engine").WithPool(pool).
			WithAddress(ServerName(i)).WithRegion("central").WithDatacentre(s.Datacentre(i))
	}
	return value.ListOf(instances...)
}
