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
	// watchWait is the length of one long poll of the platform.
	watchWait = 25 * hoist.Second
	// retryWait is the pause after a failed platform call.
	retryWait = 500 * hoist.Millis(1)
)

// follow repeats a watch of the platform until ctx ends; watch returns the version to wait beyond.
func (r *Router) follow(ctx context.Context, what string, watch func(after uint64) (uint64, error)) {
	after := uint64(0)
	reported := false
	for ctx.Err() == nil {
		version, err := watch(after)
		switch {
		case err == nil:
			after, reported = version, false
			r.answered.Store(int64(r.clock.Now()))
		case errors.Is(err, cfgsvc.ErrUnchanged):
			r.answered.Store(int64(r.clock.Now()))
		case ctx.Err() != nil:
		default:
			if !reported {
				r.log.Write(event.PlatformUnreachable, logrus.Fields{"what": what, "error": err.Error()})
				reported = true
			}
			r.pause(ctx, retryWait)
		}
	}
}

// pause waits for the delay or for the end of ctx.
func (r *Router) pause(ctx context.Context, delay hoist.Millis) {
	select {
	case <-ctx.Done():
	case <-r.clock.After(delay):
	}
}

// followConfiguration follows the platform's configuration value.
func (r *Router) followConfiguration(ctx context.Context) {
	r.follow(ctx, "configuration", func(after uint64) (uint64, error) {
		d, err := r.platform.Watch(ctx, r.settings.Platform().Key(), after, watchWait)
		if err == nil {
			r.propose(ctx, d)
		}
		return d.Version(), err
	})
}

// readConfiguration reads the platform's configuration value once; a failure is repeated by the spread.
func (r *Router) readConfiguration(ctx context.Context) {
	if d, err := r.platform.Read(ctx, r.settings.Platform().Key()); err == nil {
		r.propose(ctx, d)
	}
}

// propose offers a published configuration when it is valid.
func (r *Router) propose(ctx context.Context, d cfgsvc.Document) {
	view, err := r.config.published(ctx, d.Content())
	if err != nil {
		r.log.Write(event.ConfigRejected, logrus.Fields{"findings": err.Error()})
		return
	}
	r.fleet.offered("", view)
}

// followInstances follows the platform's instance list.
func (r *Router) followInstances(ctx context.Context) {
	r.follow(ctx, "instances", func(after uint64) (uint64, error) {
		list, err := r.platform.WatchInstances(ctx, after, watchWait)
		if err == nil {
			r.fleet.listed(list)
		}
		return list.Version(), err
	})
}
