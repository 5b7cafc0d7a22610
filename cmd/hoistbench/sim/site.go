package sim

import (
	"fmt"

	"chicoryhoist.example/hoist/value"
)

// Site is the size and the geometry of one user's deployment.
type Site struct {
	// Name prefixes the figures.
	Name string
	// Datacentres is the number of data centres.
	Datacentres int
	// LinkLatency is the one-way time between two data centres.
	LinkLatency Micros
	// ClientLatency is the one-way time between a client and a router.
	ClientLatency Micros
	// Routers is the number of router instances.
	Routers int
	// Servers is the number of model servers.
	Servers int
}

// Sites are the two users of section 1.1 of the design page.
var Sites = []Site{
	{Name: "siam", Datacentres: 4, LinkLatency: 1500, ClientLatency: 3 * Millisecond, Routers: 6, Servers: 12},
	{Name: "seam", Datacentres: 3, LinkLatency: 500, ClientLatency: 3 * Millisecond, Routers: 6, Servers: 12},
}

// OneWayLatency returns the one-way time between two instances that are numbered across the data centres in turn.
func (s Site) OneWayLatency(a, b int) Micros {
	if a%s.Datacentres == b%s.Datacentres {
		return 0
	}
	return s.LinkLatency
}

// Datacentre returns the name of the data centre of an instance.
func (s Site) Datacentre(i int) string { return fmt.Sprintf("dc%d", i%s.Datacentres+1) }

// ServerName returns the name of a model server.
func ServerName(i int) string { return fmt.Sprintf("engine-%02d", i+1) }

// Instances returns the entries of the model servers in the instance list.
func (s Site) Instances(pool string) value.List[value.Instance] {
	l := make([]value.Instance, s.Servers)
	for i := range l {
		l[i] = value.Instance{}.WithName(ServerName(i)).WithKind("engine").WithPool(pool).
			WithAddress(ServerName(i)).WithRegion("central").WithDatacentre(s.Datacentre(i))
	}
	return value.ListOf(l...)
}
