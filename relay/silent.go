package relay

import (
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/feed"
)

const (
	// maxLost bounds the lost attempts that are remembered.
	maxLost = 512
	// lostTime is the time within which a server that has crashed silently is back.
	lostTime = 10 * hoist.Second
	// maxSilentCrashes is the number of servers that may be back at once; more have an outside cause in common, like the
	// return of a data centre.
	maxSilentCrashes = 2
)

// lostAttempt is an attempt whose response was lost while its server accepted connections, or did not answer at all.
type lostAttempt struct {
	check crashCheck
	at    hoist.Millis
}

// rememberLost remembers an attempt whose response was lost, in case its server turns out to have started anew. The server may
// have crashed without a refused connection: silently, or for a shorter time than the check takes.
func (r *Relay) rememberLost(c crashCheck) {
	if c.server.Born() == 0 || c.server.Leaving() || r.notices.Load().Leaving(c.server) {
		return // A server that leaves starts anew as planned.
	}
	now := r.Clock.Now()
	hoist.Update(&r.lost, func(list []lostAttempt) []lostAttempt {
		list = append(slices.Clone(list), lostAttempt{c, now})
		return list[max(len(list)-maxLost, 0):]
	})
	r.attributeLost(r.Follower.View())
}

// attributeLost attributes the crashes of servers that have started anew, according to the view, to the contents of the
// attempts that were lost with them.
func (r *Relay) attributeLost(v *feed.View) {
	remembered := *r.lost.Load()
	if len(remembered) == 0 {
		return
	}
	// A service may have thousands of servers, but few of them have lost attempts.
	born := map[string]int64{}
	for _, l := range remembered {
		born[l.check.server.Id()] = 0
	}
	for s := range v.Servers.All() {
		if _, ok := born[s.Id()]; ok {
			born[s.Id()] = s.Born()
		}
	}
	now := r.Clock.Now()
	var crashed []lostAttempt
	hoist.Update(&r.lost, func(list []lostAttempt) []lostAttempt {
		crashed = nil
		var rest []lostAttempt
		for _, l := range list {
			switch {
			case born[l.check.server.Id()] > l.check.server.Born():
				crashed = append(crashed, l)
			case now-l.at < lostTime:
				rest = append(rest, l)
			}
		}
		return rest
	})
	servers := map[string]bool{}
	for _, l := range crashed {
		servers[l.check.server.Id()] = true
	}
	if len(servers) > maxSilentCrashes {
		return
	}
	for _, l := range crashed {
		r.Log.Write(event.CrashAttributed, l.check.fields)
		l.check.dispatcher.crashed(l.check.server, l.check.contents)
	}
}
