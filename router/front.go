package router

import (
	"math/rand/v2"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"chicoryhoist.example/hoist/admin"
	"chicoryhoist.example/hoist/config"
)

// View implements front.Router.
func (r *Router) View() *config.View { return r.config.view() }

// Ready reports whether the router can serve: it has a configuration, its membership view contains a shard, and it is
// not draining.
func (r *Router) Ready() bool {
	return r.View() != nil && len(r.fleet.view().Shards()) > 0 && !r.Draining()
}

// Draining implements front.Router.
func (r *Router) Draining() bool { return r.draining.Load() }

// Shard implements front.Router: it picks two shards of the local region at random and returns the one with the lower
// load per slot.
func (r *Router) Shard(pools []string) (string, bool) {
	view := r.fleet.view()
	var keys []string
	for _, p := range pools {
		for _, s := range view.PoolShards(p) {
			if s.Region == r.settings.Region() {
				keys = append(keys, s.Key)
			}
		}
	}
	if len(keys) == 0 {
		return "", false
	}
	first, second := keys[rand.N(len(keys))], keys[rand.N(len(keys))]
	if r.fleet.loadPerSlot(second) < r.fleet.loadPerSlot(first) {
		return second, true
	}
	return first, true
}

// Quarantined implements front.Router.
func (r *Router) Quarantined(fingerprint uint64) bool { return r.guard.refuses(fingerprint) }

// Window implements front.Router.
func (r *Router) Window() uint64 { return r.calls.window() }

// adminHandler returns the handler of the administration interface.
func (r *Router) adminHandler() http.Handler {
	return admin.New(admin.Options{
		Router:    r,
		Key:       r.settings.Platform().Key(),
		Operators: r.settings.Operators(),
		Metrics:   promhttp.HandlerFor(r.metrics.Registry, promhttp.HandlerOpts{}),
		Log:       r.log,
	})
}
