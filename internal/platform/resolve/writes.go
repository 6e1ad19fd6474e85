package resolve

import (
	"context"

	"github.com/cockroachdb/errors"

	"heathershed/internal/platform"
)

// Put implements platform.Store. Its error is either decided, see
// platform.IsDecided, or platform.ErrUnknown.
func (s *Store) Put(ctx context.Context, key string, value []byte, base platform.Version, writeID string) (platform.Object, error) {
	var out platform.Object
	lost := false
	timeout := s.opts.CallTimeout + platform.SendTime(len(value))
	err := s.retry(ctx, func(int) (bool, error) {
		err := s.attemptIn(ctx, timeout, func(ctx context.Context) (err error) {
			out, err = s.inner.Put(ctx, key, value, base, writeID)
			return err
		})
		switch {
		case err == nil:
			return true, nil
		case errors.Is(err, platform.ErrConflict) && lost:
			out, err = s.readBack(ctx, key, base, writeID)
			return err == nil || errors.Is(err, platform.ErrConflict), err
		case errors.Is(err, platform.ErrUnavailable):
			return false, unknownIfLost(err, lost)
		case platform.IsDecided(err):
			return !lost || errors.Is(err, platform.ErrTooLarge), unknownIfLost(err, lost)
		default:
			lost = s.recordLost(lost)
			return false, errors.Mark(err, platform.ErrUnknown)
		}
	})
	if err != nil {
		return platform.Object{}, err
	}
	s.recordWritten(out, lost)
	return out, nil
}

// unknownIfLost returns the error of a write whose last attempt was rejected.
// If the answer of an earlier attempt was lost, that attempt may still have
// taken effect, and the error is marked platform.ErrUnknown.
func unknownIfLost(err error, lost bool) error {
	if lost {
		return errors.Mark(errors.Wrap(err, "after a lost answer"), platform.ErrUnknown)
	}
	return err
}

func (s *Store) recordLost(already bool) bool {
	if !already {
		s.count(func(st *Stats) { st.Lost++ })
	}
	return true
}

func (s *Store) recordWritten(o platform.Object, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen.addObject(o)
	if lost {
		s.stats.Resolved++
	}
}

// readBack returns the object that this write created, or platform.ErrUnknown.
// It is called when the object is known to be no longer at the base.
func (s *Store) readBack(ctx context.Context, key string, base platform.Version, writeID string) (platform.Object, error) {
	var o platform.Object
	err := s.attempt(ctx, func(ctx context.Context) (err error) {
		o, err = s.inner.Get(ctx, key)
		return err
	})
	if err == nil && o.WriteID == writeID {
		return o, nil
	}
	// The read is stale, or another write followed.
	return s.findInChanges(ctx, key, base, writeID)
}

// findInChanges searches the changes since the base for this write, which
// another write may have replaced. A watch may skip events, so not finding the
// write proves nothing.
func (s *Store) findInChanges(ctx context.Context, key string, base platform.Version, writeID string) (platform.Object, error) {
	var events []platform.Event
	err := s.attempt(ctx, func(ctx context.Context) (err error) {
		events, _, err = s.inner.Watch(ctx, key, base)
		return err
	})
	if err != nil {
		return platform.Object{}, errors.Mark(err, platform.ErrUnknown)
	}
	for _, e := range events {
		if e.Object.Key == key && e.Object.WriteID == writeID {
			return e.Object, nil
		}
	}
	return platform.Object{}, errors.Wrap(platform.ErrUnknown, "another write followed")
}

// Delete implements platform.Store. If an answer was lost and the object does
// not exist afterwards, Delete succeeds: the version named no longer exists.
func (s *Store) Delete(ctx context.Context, key string, base platform.Version) error {
	lost := false
	err := s.retry(ctx, func(int) (bool, error) {
		err := s.attempt(ctx, func(ctx context.Context) error { return s.inner.Delete(ctx, key, base) })
		switch {
		case err == nil:
			return true, nil
		case errors.Is(err, platform.ErrNotFound) && lost:
			return true, nil
		case errors.Is(err, platform.ErrUnavailable):
			return false, unknownIfLost(err, lost)
		case platform.IsDecided(err):
			return !lost || errors.Is(err, platform.ErrConflict), unknownIfLost(err, lost)
		default:
			lost = s.recordLost(lost)
			return false, errors.Mark(err, platform.ErrUnknown)
		}
	})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen.forget(key)
	if lost {
		s.stats.Resolved++
	}
	return nil
}
