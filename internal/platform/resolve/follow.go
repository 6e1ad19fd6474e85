package resolve

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"heathershed/internal/platform"
	"heathershed/internal/wait"
)

// FollowOptions configures Follow. Fields with the zero value get the default.
type FollowOptions struct {
	// ListEvery is the interval, with jitter, at which the prefix is listed
	// again to find changes that the watch skipped. Default: 30 s.
	ListEvery time.Duration
	// OnChange is called with the changes, and without any after a list that
	// showed none. It must not retain the View.
	OnChange func(view *View, changes []platform.Event)
	// OnError is called when a list or a watch fails. It may be nil.
	OnError func(err error)
}

// Follow maintains a view of the prefix until the context ends, and returns
// the context's error. It lists, watches from the version of the list, and
// lists again at intervals, after a compaction and after failures.
func (s *Store) Follow(ctx context.Context, prefix string, o FollowOptions) error {
	if o.ListEvery <= 0 {
		o.ListEvery = 30 * time.Second
	}
	if o.OnError == nil {
		o.OnError = func(error) {}
	}
	view := NewView()
	pause := s.backoff()
	for ctx.Err() == nil {
		err := s.listAndWatch(ctx, prefix, o, view, pause)
		if err == nil || ctx.Err() != nil {
			pause.Reset()
			continue
		}
		o.OnError(err)
		_ = s.opts.Sleep(ctx, pause.Next())
	}
	return ctx.Err()
}

// listAndWatch lists once and watches until the next list is due.
func (s *Store) listAndWatch(ctx context.Context, prefix string, o FollowOptions, view *View, pause *wait.Backoff) error {
	objects, version, err := s.List(ctx, prefix)
	if err != nil {
		return err
	}
	changes, fresh := view.ApplyList(objects, version)
	if !fresh {
		return platform.ErrStale
	}
	o.OnChange(view, changes)
	pause.Reset()
	jitter := wait.Backoff{Base: o.ListEvery, Max: o.ListEvery, Int64N: s.draw}
	ctx, cancel := context.WithTimeout(ctx, jitter.Next())
	defer cancel()
	for ctx.Err() == nil {
		events, next, err := s.Watch(ctx, prefix, view.Version())
		if errors.Is(err, platform.ErrCompacted) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if changes := view.ApplyEvents(events, next); len(changes) > 0 {
			o.OnChange(view, changes)
		}
	}
	return nil
}
