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

// keptViews is the number of configurations that deltas for peers start from.
const keptViews = 4

// configuration holds the snapshot in force; readers load it without a lock.
type configuration struct {
	*Router
	// recent holds the latest configurations, the one in force first.
	recent atomic.Pointer[value.List[*config.View]]
}

// newConfiguration returns a configuration that holds no snapshot yet.
func newConfiguration(r *Router) *configuration {
	c := &configuration{Router: r}
	c.recent.Store(&value.List[*config.View]{})
	return c
}

// view returns the snapshot in force, or nil.
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

// published returns the configuration that a value of the platform holds: a snapshot, or the manifest of a split one.
func (c *configuration) published(ctx context.Context, content string) (*config.View, error) {
	if !config.IsManifest([]byte(content)) {
		return load([]byte(content))
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
	whole, err := config.JoinParts(m, parts)
	if err != nil {
		return nil, err
	}
	return load(whole)
}

// load parses and checks a snapshot.
func load(content []byte) (*config.View, error) {
	view, findings := config.LoadView("published", content)
	return view, findings.Err()
}

// received returns the configuration of a peer's answer, or nil when the peer has none that is newer.
func (c *configuration) received(b value.Bundle) (*config.View, error) {
	switch {
	case b.Generation() == 0:
		return nil, nil
	case b.Delta() == "":
		return load([]byte(b.Content()))
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

// bundleFor returns what a peer needs to follow: a delta from its version where that is known, or the whole content.
func (c *configuration) bundleFor(r value.FetchRequest) value.Bundle {
	recent := c.recent.Load()
	theirs := config.Version{Generation: r.Generation(), Digest: r.Digest()}
	if recent.Len() == 0 || !recent.At(0).Version().Newer(theirs) {
		return value.Bundle{}
	}
	current := recent.At(0)
	b := value.Bundle{}.WithGeneration(current.Version().Generation).WithDigest(current.Version().Digest)
	for base := range recent.All() {
		if base.Version() != theirs {
			continue
		}
		if d, err := config.EncodeDelta(config.NewDelta(base, current)); err == nil {
			return b.WithBase(theirs.Generation).WithDelta(string(d))
		}
	}
	return b.WithContent(string(config.Format(current.Snapshot)))
}

// offer puts a valid configuration into force when it is newer than the one held.
func (c *configuration) offer(view *config.View) {
	for {
		old := c.recent.Load()
		var inForce config.Version
		if old.Len() > 0 {
			inForce = old.At(0).Version()
		}
		code, accepted := decided(config.Resolve(inForce, view.Version()))
		if !accepted {
			c.report(code, view.Version(), inForce)
			return
		}
		next := *old
		if next.Len() > 0 {
			next = next.With(0, next.At(0).WithoutIndexes())
		}
		next = next.Insert(0, view)
		if next.Len() > keptViews {
			next = next.Without(keptViews)
		}
		if c.recent.CompareAndSwap(old, &next) {
			c.report(code, view.Version(), inForce)
			c.enforced(view, inForce)
			return
		}
	}
}

// decided returns the event of a verdict and whether the offer comes into force.
func decided(v config.Verdict) (event.Code, bool) {
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

// report logs the decision about an offer; an offer of the version in force is not worth a line.
func (c *configuration) report(code event.Code, offered, inForce config.Version) {
	if code.Number == 0 {
		return
	}
	c.log.Write(code, logrus.Fields{
		"generation": offered.Generation, "digest": offered.Digest, "before": inForce.Generation,
	})
}

// enforced tells the other parts about the new configuration.
func (c *configuration) enforced(view *config.View, before config.Version) {
	if before != (config.Version{}) && !view.Version().Newer(before) {
		invar.Report(invar.ConfigurationOrder, "an older configuration was put into force")
	}
	if before == (config.Version{}) {
		c.log.Write(event.Ready, logrus.Fields{"generation": view.Version().Generation})
	}
	c.gateway.Configure(view.Policy())
	c.guard.configure(view.Policy())
}
