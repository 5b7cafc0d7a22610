package order

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// Share is a shard's share of the weight store's rate.
//
// Every owner computes it from the published instance list. The shares of all shards add up to one,
// so the total rate is kept without messages between owners.
type Share struct {
	fraction, offset float64
}

// ShareOf returns the share of a shard, which is the number of its instances divided by the number of listed engines.
func ShareOf(listed, shard value.List[value.Instance]) Share {
	firstName := ""
	for i := range shard.All() {
		if firstName == "" || i.Name() < firstName {
			firstName = i.Name()
		}
	}
	all, before := 0, 0
	for i := range listed.All() {
		if i.Kind() != "engine" {
			continue
		}
		all++
		if i.Name() < firstName {
			before++
		}
	}
	if all == 0 {
		return Share{}
	}
	return Share{fraction: float64(shard.Len()) / float64(all), offset: float64(before) / float64(all)}
}

// Fraction returns the share as a fraction of the rate, from 0 to 1.
func (s Share) Fraction() float64 { return s.fraction }

// credit is the amount that a shard may fetch from the weight store, in mebibytes.
//
// It accumulates before a fetch and starts at zero or below, so that neither a new owner nor, after a new
// snapshot, all owners together exceed the rate. It does not grow while nothing is to be loaded. The
// shards start at different offsets to spread their fetches over time.
type credit struct {
	mib       float64
	updatedAt hoist.Millis
	growing   bool
}

// started returns the credit that grows from now on for the first weights, unless it is already growing.
func (c credit) started(s Share, mib float64, now hoist.Millis) credit {
	if c.growing {
		return c
	}
	return credit{mib: -s.offset * mib, updatedAt: now, growing: true}
}

// updated returns the credit at the time, limited to the size of the heaviest weights.
func (c credit) updated(perSecond, heaviest float64, now hoist.Millis) credit {
	if c.growing && now > c.updatedAt {
		c.mib = min(heaviest, c.mib+perSecond*float64(now-c.updatedAt)/float64(hoist.Second))
		c.updatedAt = now
	}
	return c
}

// coversAt returns the time at which the credit covers the weights.
func (c credit) coversAt(mib, perSecond float64) hoist.Millis {
	return c.updatedAt + hoist.Millis((mib-c.mib)/perSecond*float64(hoist.Second)) + 1
}
