package router

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cfgsvc"
	"chicoryhoist.example/hoist/event"
)

const (
	// watchTimeout is the length of one long poll of the platform.
	watchTimeout = 25 * hoist.Second
	// retryDelay is the delay after a failed request to the platform.
	retryDelay = 500 * hoist.Millis(1)
)

// follow repeats a watch of the platform until ctx ends. The watch function waits for a version after the given one
// and returns it. A failure is logged only if none was logged since the last new version.
func (r *Router) follow(ctx context.Context, resource string, watch func(after uint64) (uint64, error)) {
	after := uint64(0)
	reported := false
	for ctx.Err() == nil {
		version, err := watch(after)
		switch {
		case err == nil:
			after, reported = version, false
			r.platformResponseAt.Store(int64(r.clock.Now()))
		case errors.Is(err, cfgsvc.ErrUnchanged):
			r.platformResponseAt.Store(int64(r.clock.Now()))
		case ctx.Err() != nil:
		default:
			if !reported {
				r.log.Write(event.PlatformUnreachable, logrus.Fields{"what": resource, "error": err.Error()})
				reported = true
			}
			r.sleep(ctx, retryDelay)
		}
	}
}

// sleep waits for the delay or for the end of ctx.
func (r *Router) sleep(ctx context.Context, delay hoist.Millis) {
	select {
	case <-ctx.Done():
	case <-r.clock.After(delay):
	}
}

// followConfiguration watches the platform's configuration.
func (r *Router) followConfiguration(ctx context.Context) {
	r.follow(ctx, "configuration", func(after uint64) (uint64, error) {
		d, err := r.platform.Watch(ctx, r.settings.Platform().Key(), after, watchTimeout)
		if err == nil {
			r.offerPublished(ctx, d)
		}
		return d.Version(), err
	})
}

// readConfiguration reads the platform's configuration once. An error is ignored, because the configuration sync
// repeats the read.
func (r *Router) readConfiguration(ctx context.Context) {
	if d, err := r.platform.Read(ctx, r.settings.Platform().Key()); err == nil {
		r.offerPublished(ctx, d)
	}
}

// offerPublished offers a published configuration to the configuration sync if it is valid.
func (r *Router) offerPublished(ctx context.Context, d cfgsvc.Document) {
	view, err := r.config.loadPublished(ctx, d.Content())
	if err != nil {
		r.log.Write(event.ConfigRejected, logrus.Fields{"findings": err.Error()})
		return
	}
	r.fleet.configOffered("", view)
}

// followInstances watches the platform's instance list.
func (r *Router) followInstances(ctx context.Context) {
	r.follow(ctx, "instances", func(after uint64) (uint64, error) {
		list, err := r.platform.WatchInstances(ctx, after, watchTimeout)
		if err == nil {
			r.fleet.instancesListed(list)
		}
		return list.Version(), err
	})
}
