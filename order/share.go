package order

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// Share is a shard's part of the weight store's rate.
//
// Every owner computes it from the published instance list. The parts of all shards add up to
// one, so the sum of the rates holds without messages between owners.
type Share struct {
	part, phase float64
}

// ShareOf returns the part of the shard's instances among all engines that are listed.
func ShareOf(listed, shard value.List[value.Instance]) Share {
	first := ""
	for i := range shard.All() {
		if first == "" || i.Name() < first {
			first = i.Name()
		}
	}
	all, before := 0, 0
	for i := range listed.All() {
		if i.Kind() != "engine" {
			continue
		}
		all++
		if i.Name() < first {
			before++
		}
	}
	if all == 0 {
		return Share{}
	}
	return Share{part: float64(shard.Len()) / float64(all), phase: float64(before) / float64(all)}
}

// Fraction returns the part of the rate, from 0 to 1.
func (s Share) Fraction() float64 { return s.part }

// credit is what a shard may fetch from the weight store, in mebibytes.
//
// It is saved up before a fetch and starts at nothing, so that neither a new owner nor all
// owners together, after a new snapshot, fetch more than the rate. It does not grow while
// nothing is to be loaded. The shards begin at different phases to spread their fetches.
type credit struct {
	mib   float64
	at    hoist.Millis
	grows bool
}

// begun returns the credit that starts to grow now for the first weights, unless it does already.
func (c credit) begun(s Share, mib float64, now hoist.Millis) credit {
	if c.grows {
		return c
	}
	return credit{mib: -s.phase * mib, at: now, grows: true}
}

// grown returns the credit now, at most the heaviest weights.
func (c credit) grown(perSecond, heaviest float64, now hoist.Millis) credit {
	if c.grows && now > c.at {
		c.mib = min(heaviest, c.mib+perSecond*float64(now-c.at)/float64(hoist.Second))
		c.at = now
	}
	return c
}

// reached returns the time at which the credit covers the weights.
func (c credit) reached(mib, perSecond float64) hoist.Millis {
	return c.at + hoist.Millis((mib-c.mib)/perSecond*float64(hoist.Second)) + 1
}
