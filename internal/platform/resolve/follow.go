package resolve

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"heathershed/internal/platform"
	"heathershed/internal/wait"
)

// FollowOptions of Follow. The zero value of each has a default.
type FollowOptions struct {
	// ListEvery is how often the prefix is listed again to find what the watch
	// skipped; default 30 s, with jitter.
	ListEvery time.Duration
	// OnChange is called with the changes, and with none after a list that
	// showed none. Its View must not be kept.
	OnChange func(view *View, changes []platform.Event)
	// OnError is called when a list or a watch fails; may be nil.
	OnError func(err error)
}

// Follow keeps a view of the prefix until the context ends: it lists, watches
// on from the list, and lists again from time to time, after a compaction and
// after failures. It returns the context's error.
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
		err := s.followOnce(ctx, prefix, o, view, pause)
		if err == nil || ctx.Err() != nil {
			pause.Reset()
			continue
		}
		o.OnError(err)
		_ = s.opts.Sleep(ctx, pause.Next())
	}
	return ctx.Err()
}

// followOnce lists once and watches until the next list is due.
func (s *Store) followOnce(ctx context.Context, prefix string, o FollowOptions, view *View, pause *wait.Backoff) error {
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
