package router

import (
	"context"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/invar"
	"chicoryhoist.example/hoist/value"
)

// maxRecentViews bounds the configurations that are kept as bases of deltas for peers.
const maxRecentViews = 4

// configuration holds the configuration in force; readers load it without a lock.
type configuration struct {
	*Router
	// recent holds the latest configurations, the one in force first.
	recent atomic.Pointer[value.List[*config.View]]
}

// newConfiguration returns a configuration holder without a configuration.
func newConfiguration(r *Router) *configuration {
	c := &configuration{Router: r}
	c.recent.Store(&value.List[*config.View]{})
	return c
}

// view returns the configuration in force, or nil.
func (c *configuration) view() *config.View {
	recent := c.recent.Load()
	if recent.Len() == 0 {
		return nil
	}
	return recent.At(0)
}

// version returns the version in force, or the zero version.
func (c *configuration) version() config.Version {
	if v := c.view(); v != nil {
		return v.Version()
	}
	return config.Version{}
}

// loadPublished returns the configuration in a published value, which is a snapshot or the manifest of a snapshot
// split into parts.
func (c *configuration) loadPublished(ctx context.Context, content string) (*config.View, error) {
	if !config.IsManifest([]byte(content)) {
		return parseSnapshot([]byte(content))
	}
	m, findings := config.ParseManifest("published", []byte(content))
	if len(findings) > 0 {
		return nil, findings
	}
	var parts [][]byte
	for p := range m.Parts().All() {
		d, err := c.platform.Read(ctx, p.Key())
		if err != nil {
			return nil, err
		}
		parts = append(parts, []byte(d.Content()))
	}
	snapshot, err := config.JoinParts(m, parts)
	if err != nil {
		return nil, err
	}
	return parseSnapshot(snapshot)
}

// parseSnapshot parses and validates a snapshot.
func parseSnapshot(content []byte) (*config.View, error) {
	view, findings := config.LoadView("published", content)
	return view, findings.Err()
}

// fromBundle returns the configuration in a peer's response, or nil if the peer has no newer one.
func (c *configuration) fromBundle(b value.Bundle) (*config.View, error) {
	switch {
	case b.Generation() == 0:
		return nil, nil
	case b.Delta() == "":
		return parseSnapshot([]byte(b.Content()))
	}
	d, err := config.DecodeDelta([]byte(b.Delta()))
	if err != nil {
		return nil, err
	}
	base := c.view()
	if base == nil {
		return nil, config.ErrBaseMismatch
	}
	return config.ApplyDelta(base, d)
}

// bundleFor returns the response to a fetch request of a peer: a delta if the version of the peer is known, otherwise
// the complete snapshot, and an empty bundle if this router has nothing newer.
func (c *configuration) bundleFor(r value.FetchRequest) value.Bundle {
	recent := c.recent.Load()
	peerVersion := config.Version{Generation: r.Generation(), Digest: r.Digest()}
	if recent.Len() == 0 || !recent.At(0).Version().Newer(peerVersion) {
		return value.Bundle{}
	}
	current := recent.At(0)
	b := value.Bundle{}.WithGeneration(current.Version().Generation).WithDigest(current.Version().Digest)
	for base := range recent.All() {
		if base.Version() != peerVersion {
			continue
		}
		if d, err := config.EncodeDelta(config.NewDelta(base, current)); err == nil {
			return b.WithBase(peerVersion.Generation).WithDelta(string(d))
		}
	}
	return b.WithContent(string(config.Format(current.Snapshot)))
}

// adopt puts a valid configuration into force if it is newer than the current one.
func (c *configuration) adopt(view *config.View) {
	for {
		old := c.recent.Load()
		var inForce config.Version
		if old.Len() > 0 {
			inForce = old.At(0).Version()
		}
		code, accepted := verdictEvent(config.Resolve(inForce, view.Version()))
		if !accepted {
			c.logDecision(code, view.Version(), inForce)
			return
		}
		next := *old
		if next.Len() > 0 {
			next = next.With(0, next.At(0).WithoutIndexes())
		}
		next = next.Insert(0, view)
		if next.Len() > maxRecentViews {
			next = next.Without(maxRecentViews)
		}
		if c.recent.CompareAndSwap(old, &next) {
			c.logDecision(code, view.Version(), inForce)
			c.onAdopted(view, inForce)
			return
		}
	}
}

// verdictEvent returns the log event of a verdict and whether the offered configuration comes into force.
func verdictEvent(v config.Verdict) (event.Code, bool) {
	switch v := v.(type) {
	case config.Accept:
		return v.Event, true
	case config.Ignore:
		return v.Event, false
	case config.Conflict:
		return v.Event, v.Accepted
	}
	return event.Code{}, false
}

// logDecision logs the decision about an offered configuration. An offer of the version in force is not logged.
func (c *configuration) logDecision(code event.Code, offered, inForce config.Version) {
	if code.Number == 0 {
		return
	}
	c.log.Write(code, logrus.Fields{
		"generation": offered.Generation, "digest": offered.Digest, "before": inForce.Generation,
	})
}

// onAdopted notifies the other components of the new configuration.
func (c *configuration) onAdopted(view *config.View, previous config.Version) {
	if previous != (config.Version{}) && !view.Version().Newer(previous) {
		invar.Report(invar.ConfigurationOrder, "an older configuration was put into force")
	}
	if previous == (config.Version{}) {
		c.log.Write(event.Ready, logrus.Fields{"generation": view.Version().Generation})
	}
	c.gateway.Configure(view.Policy())
	c.guard.configure(view.Policy())
}
