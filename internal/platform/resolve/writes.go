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
			return false, undecided(err, lost)
		case platform.IsDecided(err):
			return !lost || errors.Is(err, platform.ErrTooLarge), undecided(err, lost)
		default:
			lost = s.noteLost(lost)
			return false, errors.Mark(err, platform.ErrUnknown)
		}
	})
	if err != nil {
		return platform.Object{}, err
	}
	s.noteWritten(out, lost)
	return out, nil
}

// undecided is the error of a write whose later attempt was refused: an
// earlier attempt that was lost may still have taken effect.
func undecided(err error, lost bool) error {
	if lost {
		return errors.Mark(errors.Wrap(err, "after a lost answer"), platform.ErrUnknown)
	}
	return err
}

func (s *Store) noteLost(already bool) bool {
	if !already {
		s.count(func(st *Stats) { st.Lost++ })
	}
	return true
}

func (s *Store) noteWritten(o platform.Object, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen.object(o)
	if lost {
		s.stats.Resolved++
	}
}

// readBack is called once the object is known to have left the base. It
// returns the object that this write made, or platform.ErrUnknown.
func (s *Store) readBack(ctx context.Context, key string, base platform.Version, writeID string) (platform.Object, error) {
	var o platform.Object
	err := s.attempt(ctx, func(ctx context.Context) (err error) {
		o, err = s.inner.Get(ctx, key)
		return err
	})
	if err == nil && o.WriteID == writeID {
		return o, nil
	}
	// The read is old, or another write followed.
	return s.lookThrough(ctx, key, base, writeID)
}

// lookThrough searches the changes since the base for this write, which
// another one may have replaced already. A watch may skip, so that not finding
// it proves nothing.
func (s *Store) lookThrough(ctx context.Context, key string, base platform.Version, writeID string) (platform.Object, error) {
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

// Delete implements platform.Store. After a lost answer, an object that is
// gone counts as deleted: the version named does not exist any more.
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
			return false, undecided(err, lost)
		case platform.IsDecided(err):
			return !lost || errors.Is(err, platform.ErrConflict), undecided(err, lost)
		default:
			lost = s.noteLost(lost)
			return false, errors.Mark(err, platform.ErrUnknown)
		}
	})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen.gone(key)
	if lost {
		s.stats.Resolved++
	}
	return nil
}
