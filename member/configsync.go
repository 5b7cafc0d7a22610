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
	// fetchRetry is the time for which a peer is passed over after a fetch from it failed.
	fetchRetry = 1 * hoist.Second
	// fetchTimeout is the time after which a fetch without a result counts as failed.
	fetchTimeout = 2 * hoist.Second
	// readRetry is the interval at which a router without a configuration reads the platform;
	// at 520 routers that start at once it stays far below the platform's 2,000 reads a second.
	readRetry = 2 * hoist.Second
)

// ConfigSyncEvent is something that happened to the spread of the configuration.
//
//sumtype:decl
type ConfigSyncEvent interface{ isSpreadEvent() }

// ViewChanged is a new membership view; its members carry the configuration that they have in force.
type ViewChanged struct{ View *View }

// Offered is a configuration that the platform or a peer holds out; From is empty for the platform.
type Offered struct {
	From    string
	Version config.Version
}

// FetchFailed means that a fetch from the peer failed.
type FetchFailed struct{ From string }

// TimerFired means that time has passed.
type TimerFired struct{}

func (ViewChanged) isSpreadEvent() {}
func (Offered) isSpreadEvent()     {}
func (FetchFailed) isSpreadEvent() {}
func (TimerFired) isSpreadEvent()  {}

// ConfigSyncEffect is something that the runtime does for the spread of the configuration.
//
//sumtype:decl
type ConfigSyncEffect interface{ isSpreadEffect() }

// Watch starts or ends the long poll on the platform's configuration.
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

func (Watch) isSpreadEffect() {}
func (Read) isSpreadEffect()  {}
func (Fetch) isSpreadEffect() {}
func (Adopt) isSpreadEffect() {}

// ConfigSync is the immutable state of how one router gets configurations.
//
// One router of each data centre watches the platform. The others, and all while the
// platform is away, fetch from a peer whose heartbeat shows a newer version.
type ConfigSync struct {
	held     config.Version
	view     *View
	watching bool
	from     string
	begun    hoist.Millis
	read     hoist.Millis
	avoid    map[string]hoist.Millis
}

// NewConfigSync returns the state of a router that holds a configuration, or the zero version.
func NewConfigSync(held config.Version) ConfigSync { return ConfigSync{held: held} }

// Held returns the version in force.
func (s ConfigSync) Held() config.Version { return s.held }

// Watching reports whether the router holds its data centre's watch.
func (s ConfigSync) Watching() bool { return s.watching }

// Decide returns the state after the event and the effects that it causes.
func (s ConfigSync) Decide(event ConfigSyncEvent, now hoist.Millis) (ConfigSync, []ConfigSyncEffect) {
	var effects []ConfigSyncEffect
	switch e := event.(type) {
	case ViewChanged:
		s.view = e.View
	case Offered:
		s, effects = s.offer(e)
	case FetchFailed:
		s = s.pass(e.From, now)
	case TimerFired:
	}
	if s.from != "" && now-s.begun >= fetchTimeout {
		s = s.pass(s.from, now)
	}
	if s.view == nil {
		return s, effects
	}
	s, effects = s.watch(effects)
	if s.held == (config.Version{}) && !s.watching && now-s.read >= readRetry {
		s.read = now
		effects = append(effects, Read{})
	}
	return s.fetch(effects, now)
}

// offer adopts a version that is newer than the one held; an older one never replaces it.
func (s ConfigSync) offer(e Offered) (ConfigSync, []ConfigSyncEffect) {
	if e.From != "" && e.From == s.from {
		s.from = ""
	}
	if !e.Version.Newer(s.held) {
		return s, nil
	}
	s.held = e.Version
	return s, []ConfigSyncEffect{Adopt{e.Version}}
}

// pass gives up a fetch and passes the peer over for a time.
func (s ConfigSync) pass(from string, now hoist.Millis) ConfigSync {
	if s.from == from {
		s.from = ""
	}
	s.avoid = maps.Clone(s.avoid)
	if s.avoid == nil {
		s.avoid = map[string]hoist.Millis{}
	}
	maps.DeleteFunc(s.avoid, func(_ string, until hoist.Millis) bool { return until <= now })
	s.avoid[from] = now + fetchRetry
	return s
}

// watch starts or ends the watch; a stale view changes nothing, because it may name two watchers.
func (s ConfigSync) watch(effects []ConfigSyncEffect) (ConfigSync, []ConfigSyncEffect) {
	if s.view.Stale() {
		return s, effects
	}
	w, ok := s.view.Watcher()
	on := ok && w.Name() == s.view.Self().Name()
	if on == s.watching {
		return s, effects
	}
	s.watching = on
	return s, append(effects, Watch{on})
}

// fetch asks a peer that holds a newer version; one fetch runs at a time.
func (s ConfigSync) fetch(effects []ConfigSyncEffect, now hoist.Millis) (ConfigSync, []ConfigSyncEffect) {
	if s.from != "" {
		return s, effects
	}
	var newer []value.Member
	for _, m := range s.view.Members() {
		v := config.Version{Generation: m.Generation(), Digest: m.Digest()}
		if m.Name() != s.view.Self().Name() && v.Newer(s.held) && now >= s.avoid[m.Name()] {
			newer = append(newer, m)
		}
	}
	if len(newer) == 0 {
		return s, effects
	}
	m := slices.MinFunc(newer, s.nearest)
	s.from, s.begun = m.Name(), now
	return s, append(effects, Fetch{m, s.held})
}

// nearest orders peers by distance, then by a hash that differs between requesters, so
// that those who hold a new version share the work of passing it on.
func (s ConfigSync) nearest(a, b value.Member) int {
	return cmp.Or(
		cmp.Compare(s.distance(a), s.distance(b)),
		cmp.Compare(s.rank(b), s.rank(a)),
		cmp.Compare(a.Name(), b.Name()),
	)
}

// distance is 0 in the own data centre, 1 in the own region and 2 elsewhere.
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

// rank returns the rendezvous weight of a peer for this router and version.
func (s ConfigSync) rank(m value.Member) uint64 {
	key := s.view.Self().Name() + " " + strconv.FormatUint(s.held.Generation, 10)
	return weight(xxhash.Sum64String(m.Name()), xxhash.Sum64String(key))
}
