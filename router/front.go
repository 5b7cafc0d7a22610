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

// Ready reports whether the router can serve: it holds a configuration and an instance list and does not drain.
func (r *Router) Ready() bool {
	return r.View() != nil && len(r.fleet.view().Shards()) > 0 && !r.Draining()
}

// Draining implements front.Router.
func (r *Router) Draining() bool { return r.draining.Load() }

// Shard implements front.Router: of two shards of the own region, chosen at random, the one with less work.
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
	if r.fleet.pressure(second) < r.fleet.pressure(first) {
		return second, true
	}
	return first, true
}

// Quarantined implements front.Router.
func (r *Router) Quarantined(fingerprint uint64) bool { return r.guard.quarantined(fingerprint) }

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
