package member

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/value"
)

const (
	// fetchRetryDelay is the time for which a peer is backed off after a fetch from it failed.
	fetchRetryDelay = 1 * hoist.Second
	// fetchTimeout is the time after which a fetch without a result has failed.
	fetchTimeout = 2 * hoist.Second
	// readInterval is the interval at which a router without a configuration reads the platform; when 520 routers start at
	// once, their reads stay far below the platform's limit of 2,000 a second.
	readInterval = 2 * hoist.Second
)

// ConfigSyncEvent is an input of ConfigSync.
//
//sumtype:decl
type ConfigSyncEvent interface{ isConfigSyncEvent() }

// ViewChanged is a new membership view; its members state the configuration version that they have in force.
type ViewChanged struct{ View *View }

// Offered is a configuration version available from a peer, or from the platform if From is empty.
type Offered struct {
	From    string
	Version config.Version
}

// FetchFailed means that a fetch from the peer failed.
type FetchFailed struct{ From string }

// TimerFired means that time has passed.
type TimerFired struct{}

func (ViewChanged) isConfigSyncEvent() {}
func (Offered) isConfigSyncEvent()     {}
func (FetchFailed) isConfigSyncEvent() {}
func (TimerFired) isConfigSyncEvent()  {}

// ConfigSyncEffect is an action that the runtime performs for ConfigSync.
//
//sumtype:decl
type ConfigSyncEffect interface{ isConfigSyncEffect() }

// Watch starts or stops the long poll on the platform's configuration.
type Watch struct{ On bool }

// Read reads the platform's configuration once.
type Read struct{}

// Fetch asks a peer for a configuration newer than Held; the result comes back as Offered or FetchFailed.
type Fetch struct {
	From value.Member
	Held config.Version
}

// Adopt puts the configuration that was just offered into force.
type Adopt struct{ Version config.Version }

func (Watch) isConfigSyncEffect() {}
func (Read) isConfigSyncEffect()  {}
func (Fetch) isConfigSyncEffect() {}
func (Adopt) isConfigSyncEffect() {}

// ConfigSync is the immutable state by which one router obtains configurations.
//
// One router of each data centre watches the platform. The others, and all while the platform is unreachable, fetch from a
// peer whose heartbeat shows a newer version.
type ConfigSync struct {
	// held is the version in force.
	held     config.Version
	view     *View
	watching bool
	// fetchPeer is the peer of the current fetch, or empty.
	fetchPeer      string
	fetchStartedAt hoist.Millis
	lastReadAt     hoist.Millis
	// backedOffUntil holds the peers from which a fetch failed, with the time until which they are backed off.
	backedOffUntil map[string]hoist.Millis
}

// NewConfigSync returns the state of a router with the configuration version in force, or the zero version.
func NewConfigSync(held config.Version) ConfigSync { return ConfigSync{held: held} }

// Held returns the configuration version in force.
func (s ConfigSync) Held() config.Version { return s.held }

// Watching reports whether the router watches the platform for its data centre.
func (s ConfigSync) Watching() bool { return s.watching }

// Decide returns the state after the event, and the effects of the event.
func (s ConfigSync) Decide(event ConfigSyncEvent, now hoist.Millis) (ConfigSync, []ConfigSyncEffect) {
	var effects []ConfigSyncEffect
	switch e := event.(type) {
	case ViewChanged:
		s.view = e.View
	case Offered:
		s, effects = s.acceptOffer(e)
	case FetchFailed:
		s = s.backOff(e.From, now)
	case TimerFired:
	}
	if s.fetchPeer != "" && now-s.fetchStartedAt >= fetchTimeout {
		s = s.backOff(s.fetchPeer, now)
	}
	if s.view == nil {
		return s, effects
	}
	s, effects = s.updateWatch(effects)
	if s.held == (config.Version{}) && !s.watching && now-s.lastReadAt >= readInterval {
		s.lastReadAt = now
		effects = append(effects, Read{})
	}
	return s.startFetch(effects, now)
}

// acceptOffer adopts a version that is newer than the one in force; an older one never replaces it.
func (s ConfigSync) acceptOffer(e Offered) (ConfigSync, []ConfigSyncEffect) {
	if e.From != "" && e.From == s.fetchPeer {
		s.fetchPeer = ""
	}
	if !e.Version.Newer(s.held) {
		return s, nil
	}
	s.held = e.Version
	return s, []ConfigSyncEffect{Adopt{e.Version}}
}

// backOff ends the fetch from the peer as failed and backs the peer off.
func (s ConfigSync) backOff(from string, now hoist.Millis) ConfigSync {
	if s.fetchPeer == from {
		s.fetchPeer = ""
	}
	s.backedOffUntil = maps.Clone(s.backedOffUntil)
	if s.backedOffUntil == nil {
		s.backedOffUntil = map[string]hoist.Millis{}
	}
	maps.DeleteFunc(s.backedOffUntil, func(_ string, until hoist.Millis) bool { return until <= now })
	s.backedOffUntil[from] = now + fetchRetryDelay
	return s
}

// updateWatch starts or stops the watch; a stale view changes nothing, because two routers may then consider themselves
// the watcher.
func (s ConfigSync) updateWatch(effects []ConfigSyncEffect) (ConfigSync, []ConfigSyncEffect) {
	if s.view.Stale() {
		return s, effects
	}
	watcher, ok := s.view.Watcher()
	on := ok && watcher.Name() == s.view.Self().Name()
	if on == s.watching {
		return s, effects
	}
	s.watching = on
	return s, append(effects, Watch{on})
}

// startFetch fetches from a peer with a newer version in force; one fetch runs at a time.
func (s ConfigSync) startFetch(effects []ConfigSyncEffect, now hoist.Millis) (ConfigSync, []ConfigSyncEffect) {
	if s.fetchPeer != "" {
		return s, effects
	}
	var newer []value.Member
	for _, m := range s.view.Members() {
		v := config.Version{Generation: m.Generation(), Digest: m.Digest()}
		if m.Name() != s.view.Self().Name() && v.Newer(s.held) && now >= s.backedOffUntil[m.Name()] {
			newer = append(newer, m)
		}
	}
	if len(newer) == 0 {
		return s, effects
	}
	m := slices.MinFunc(newer, s.compareSources)
	s.fetchPeer, s.fetchStartedAt = m.Name(), now
	return s, append(effects, Fetch{m, s.held})
}

// compareSources orders peers by distance, then by a hash that differs between requesters, so that the peers with the new
// version share the fetches.
func (s ConfigSync) compareSources(a, b value.Member) int {
	return cmp.Or(
		cmp.Compare(s.distance(a), s.distance(b)),
		cmp.Compare(s.sourceWeight(b), s.sourceWeight(a)),
		cmp.Compare(a.Name(), b.Name()),
	)
}

// distance is 0 in the local data centre, 1 in the local region and 2 elsewhere.
func (s ConfigSync) distance(m value.Member) int {
	self := s.view.Self()
	switch {
	case m.Datacentre() == self.Datacentre():
		return 0
	case m.Region() == self.Region():
		return 1
	}
	return 2
}

// sourceWeight returns the rendezvous weight of a peer for this router and the version in force.
func (s ConfigSync) sourceWeight(m value.Member) uint64 {
	key := s.view.Self().Name() + " " + strconv.FormatUint(s.held.Generation, 10)
	return weight(xxhash.Sum64String(m.Name()), xxhash.Sum64String(key))
}
