package config

import (
	"strings"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// snapshotCheck checks one snapshot, including the references between its objects.
type snapshotCheck struct {
	*reporter
	snapshot   value.Snapshot
	tiers      nameIndex
	classes    nameIndex
	workspaces nameIndex
	models     nameIndex
	adapters   nameIndex
	pools      nameIndex
}

// checkSnapshot returns the findings about names, ranges and references in a decoded snapshot.
func checkSnapshot(s value.Snapshot, p *positions) hoist.Findings {
	if p.incomplete {
		return nil
	}
	r := &reporter{positions: p}
	c := &snapshotCheck{
		reporter:   r,
		snapshot:   s,
		tiers:      indexNames(r, "tier", "tiers", s.Tiers()),
		classes:    indexNames(r, "class", "classes", s.Classes()),
		workspaces: indexNames(r, "workspace", "workspaces", s.Workspaces()),
		models:     indexNames(r, "model", "models", s.Models()),
		adapters:   indexNames(r, "adapter", "adapters", s.Adapters()),
		pools:      indexNames(r, "pool", "pools", s.Pools()),
	}
	indexNames(r, "credential", "credentials", s.Credentials())
	indexNames(r, "service", "services", s.Services())
	if s.Generation() == 0 {
		r.reportAt(r.key(entry{}, "generation"), `"generation" must be above 0`)
	}
	c.checkTiers()
	c.checkClasses()
	c.checkCredentials()
	c.checkModels()
	forEach(r, "pool", "pools", s.Pools(), c.checkPool)
	forEach(r, "service", "services", s.Services(), c.checkService)
	c.checkPolicy()
	return c.findings
}

// checkTiers checks that ranks are in range and unique.
func (c *snapshotCheck) checkTiers() {
	ranks := map[int32]string{}
	forEach(c.reporter, "tier", "tiers", c.snapshot.Tiers(), func(b objectCheck, t value.Tier) {
		b.checkRange("rank", int64(t.Rank()), 1, maxRank)
		if other, ok := ranks[t.Rank()]; ok {
			b.report("rank", "tier %q already has rank %d", other, t.Rank())
			return
		}
		ranks[t.Rank()] = t.Name()
	})
}

// checkClasses checks each class, and that the floors of all classes add up to at most 100%.
func (c *snapshotCheck) checkClasses() {
	floors := int64(0)
	forEach(c.reporter, "class", "classes", c.snapshot.Classes(), func(b objectCheck, x value.Class) {
		b.checkReference("tier", x.Tier(), c.tiers)
		b.checkRange("floor_permille", int64(x.FloorPermille()), 0, maxPermille)
		before := floors
		floors += int64(x.FloorPermille())
		if before <= maxPermille && floors > maxPermille {
			b.report("floor_permille", "the floors of all classes up to this one add up to %d, more than %d", floors, maxPermille)
		}
		if !x.Batch() {
			b.checkPositive("first_token_ms", x.FirstTokenMs())
		}
	})
}

// checkCredentials checks each credential, and that no two have the same secret.
func (c *snapshotCheck) checkCredentials() {
	secrets := map[string]string{}
	forEach(c.reporter, "credential", "credentials", c.snapshot.Credentials(), func(b objectCheck, x value.Credential) {
		b.checkReference("workspace", x.Workspace(), c.workspaces)
		b.checkReference("class", x.Class(), c.classes)
		b.checkHash("sha256", x.Sha256())
		if other, ok := secrets[x.Sha256()]; ok && x.Sha256() != "" {
			b.report("sha256", "credential %q has the same secret", other)
			return
		}
		secrets[x.Sha256()] = x.Name()
	})
}

// checkModels checks the adapters. Callers name models and adapters in the same field, so their names must differ.
func (c *snapshotCheck) checkModels() {
	forEach(c.reporter, "adapter", "adapters", c.snapshot.Adapters(), func(b objectCheck, x value.Adapter) {
		b.checkReference("model", x.Model(), c.models)
		if _, ok := c.models.index[x.Name()]; ok && x.Name() != "" {
			b.report("name", "a model has the same name")
		}
	})
}

// checkPool checks the slots, models and adapters of one pool.
func (c *snapshotCheck) checkPool(b objectCheck, p value.Pool) {
	b.checkPositive("slots", int64(p.Slots()))
	b.checkRange("long_cap", int64(p.LongCap()), 0, int64(p.Slots()))
	if p.ReservedSlots() > 0 && p.ReservedSlots() >= p.Slots() {
		b.report("reserved_slots", "%q must be below %q, so that other work can run", "reserved_slots", "slots")
	}
	b.checkReferences("models", p.Models(), c.models)
	b.checkReferences("adapters", p.Adapters(), c.adapters)
	switch p.Kind() {
	case value.PoolKindUnspecified:
		b.report("kind", `"kind" is missing`)
	case value.PoolKindEngine:
		c.checkAdapterModels(b, p)
	case value.PoolKindService:
		c.checkServicePool(b, p)
	}
}

// checkAdapterModels checks that an engine pool serves the base model of each of its adapters.
func (c *snapshotCheck) checkAdapterModels(b objectCheck, p value.Pool) {
	served := map[string]bool{}
	for m := range p.Models().All() {
		served[m] = true
	}
	i := -1
	for name := range p.Adapters().All() {
		i++
		index, ok := c.adapters.index[name]
		if !ok {
			continue
		}
		if model := c.snapshot.Adapters().At(index).Model(); model != "" && !served[model] {
			b.reportItem("adapters", i, "adapter %q extends model %q, which the pool does not carry", name, model)
		}
	}
}

// checkServicePool checks that a service pool has no models, adapters or role, which belong to engine pools.
func (c *snapshotCheck) checkServicePool(b objectCheck, p value.Pool) {
	if p.Models().Len() > 0 {
		b.report("models", "a pool of kind service carries no models")
	}
	if p.Adapters().Len() > 0 {
		b.report("adapters", "a pool of kind service carries no adapters")
	}
	if p.Role() != "" {
		b.report("role", "a pool of kind service has no role")
	}
}

// checkService checks the pool, name and unrepeatable methods of a plain service.
func (c *snapshotCheck) checkService(b objectCheck, x value.Service) {
	b.checkReference("pool", x.Pool(), c.pools)
	if i, ok := c.pools.index[x.Pool()]; ok {
		if kind := c.snapshot.Pools().At(i).Kind(); kind == value.PoolKindEngine {
			b.report("pool", "pool %q is of kind %s, not service", x.Pool(), kind)
		}
	}
	if strings.Contains(x.Name(), "/") {
		b.report("name", "the name of a service is one segment of a path and must not contain %q", "/")
	}
	i := 0
	for m := range x.UnrepeatableMethods().All() {
		if m == "" || strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-") != "" {
			b.reportItem("unrepeatable_methods", i, "%q is not an HTTP method in upper case", m)
		}
		i++
	}
}

// checkPolicy checks the ranges of the policy's fractions.
func (c *snapshotCheck) checkPolicy() {
	p := c.snapshot.Policy()
	r := c.reporter
	policy := r.key(entry{}, "policy")
	for _, x := range []struct {
		key string
		n   int32
	}{
		{"retry_budget_permille", p.RetryBudgetPermille()},
		{"hedge_permille", p.HedgePermille()},
		{"eject_permille", p.EjectPermille()},
	} {
		if x.n > maxPermille {
			r.reportAt(r.key(policy, x.key), "%q must be from 0 to %d, not %d", x.key, maxPermille, x.n)
		}
	}
}
