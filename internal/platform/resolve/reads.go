package resolve

import (
	"context"

	"github.com/cockroachdb/errors"

	"heathershed/internal/platform"
)

// Get implements platform.Store. It returns platform.ErrStale for an object
// older than one already seen. For an object that was seen before and is
// missing now it returns platform.ErrNotFound only if a later list confirms
// that the object does not exist.
func (s *Store) Get(ctx context.Context, key string) (platform.Object, error) {
	var out platform.Object
	err := s.retry(ctx, func(int) (bool, error) {
		err := s.attempt(ctx, func(ctx context.Context) (err error) {
			out, err = s.inner.Get(ctx, key)
			return err
		})
		switch {
		case err == nil:
			return s.checkObject(out)
		case errors.Is(err, platform.ErrNotFound):
			return s.checkMissing(ctx, key)
		default:
			return errors.Is(err, platform.ErrLimited), err
		}
	})
	if err != nil {
		return platform.Object{}, err
	}
	return out, nil
}

func (s *Store) checkObject(o platform.Object) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.seen.addObject(o) {
		s.stats.Stale++
		return false, platform.ErrStale
	}
	return true, nil
}

// checkMissing decides whether a key that a read did not find no longer
// exists.
func (s *Store) checkMissing(ctx context.Context, key string) (bool, error) {
	s.mu.Lock()
	highest := s.seen.highest(key)
	s.mu.Unlock()
	if highest == 0 {
		return true, platform.ErrNotFound
	}
	var objects []platform.Object
	var version platform.Version
	err := s.attempt(ctx, func(ctx context.Context) (err error) {
		objects, version, err = s.inner.List(ctx, key)
		return err
	})
	if err != nil {
		return false, err
	}
	for _, o := range objects {
		if o.Key == key {
			return false, platform.ErrStale
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < highest {
		s.stats.Stale++
		return false, platform.ErrStale
	}
	s.seen.forget(key)
	return true, platform.ErrNotFound
}

// List implements platform.Store. It returns platform.ErrStale for a list
// older than one already seen.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Object, platform.Version, error) {
	var out []platform.Object
	var version platform.Version
	err := s.retry(ctx, func(int) (bool, error) {
		err := s.attempt(ctx, func(ctx context.Context) (err error) {
			out, version, err = s.inner.List(ctx, prefix)
			return err
		})
		if err != nil {
			return errors.Is(err, platform.ErrLimited), err
		}
		return s.checkList(prefix, out, version)
	})
	if err != nil {
		return nil, 0, err
	}
	return out, version, nil
}

func (s *Store) checkList(prefix string, objects []platform.Object, v platform.Version) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.seen.addList(prefix, objects, v) {
		s.stats.Stale++
		return false, platform.ErrStale
	}
	return true, nil
}

// Watch implements platform.Store. It makes one call without retries and drops
// events that are not newer than the given version. To follow a prefix
// reliably, use Follow.
func (s *Store) Watch(ctx context.Context, prefix string, after platform.Version) ([]platform.Event, platform.Version, error) {
	if err := s.takeToken(); err != nil {
		return nil, after, err
	}
	events, next, err := s.inner.Watch(ctx, prefix, after)
	if err != nil {
		return nil, after, err
	}
	newer := events[:0]
	for _, e := range events {
		if e.Object.Version > after {
			newer = append(newer, e)
		}
	}
	return newer, max(next, after), nil
}
