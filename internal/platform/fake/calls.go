package fake

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"heathershed/internal/platform"
)

// repeatedEvents is the number of old events with which the answer of a watch
// begins under Faults.RepeatEvent.
const repeatedEvents = 3

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Object, error) {
	if err := s.enter(ctx, &s.counts.Get); err != nil {
		return platform.Object{}, err
	}
	if err := s.lock(); err != nil {
		return platform.Object{}, err
	}
	defer s.mu.Unlock()
	o, ok := s.reader()(key)
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return clone(o), nil
}

// reader returns the function with which this read looks up a key: in the
// current state or, under Faults.StaleRead, in an old one.
func (s *Store) reader() func(string) (platform.Object, bool) {
	if !s.chance(s.faults.StaleRead) {
		return s.state.current
	}
	t := s.now().Add(-s.faults.StaleBy)
	return func(key string) (platform.Object, bool) { return s.state.at(key, t) }
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Object, platform.Version, error) {
	if err := s.enter(ctx, &s.counts.List); err != nil {
		return nil, 0, err
	}
	if err := s.lock(); err != nil {
		return nil, 0, err
	}
	defer s.mu.Unlock()
	if !s.chance(s.faults.StaleRead) {
		return s.state.list(prefix, s.state.current), s.state.version, nil
	}
	t := s.now().Add(-s.faults.StaleBy)
	old := func(key string) (platform.Object, bool) { return s.state.at(key, t) }
	return s.state.list(prefix, old), s.state.versionAt(t), nil
}

// Put implements platform.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, base platform.Version, writeID string) (platform.Object, error) {
	var out platform.Object
	value = append([]byte{}, value...)
	err := s.write(ctx, &s.counts.Put, func(now time.Time) error {
		o, err := s.state.put(now, key, value, base, writeID)
		out = o
		return err
	})
	if err != nil {
		return platform.Object{}, err
	}
	return out, nil
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, key string, base platform.Version) error {
	return s.write(ctx, &s.counts.Delete, func(now time.Time) error {
		return s.state.remove(now, key, base)
	})
}

// write applies one write, subject to the active faults.
func (s *Store) write(ctx context.Context, count *uint64, apply func(time.Time) error) error {
	slow := s.enter(ctx, count)
	if slow != nil && !errors.Is(slow, errSlow) {
		return slow
	}
	if err := s.lock(); err != nil {
		return err
	}
	defer s.mu.Unlock()
	if s.chance(s.faults.DroppedWrite) {
		return errors.Wrap(platform.ErrUnknown, "no answer")
	}
	if slow != nil {
		return s.delay(s.faults.Latency, apply)
	}
	if s.chance(s.faults.DelayedWrite) {
		return s.delay(s.faults.WriteDelay, apply)
	}
	err := s.applyAndWake(s.now(), apply)
	if s.chance(s.faults.LostAnswer) {
		return errors.Wrap(platform.ErrUnknown, "answer lost")
	}
	return err
}

// delay schedules a write to be applied later and returns platform.ErrUnknown.
func (s *Store) delay(d time.Duration, apply func(time.Time) error) error {
	later := func(now time.Time) { _ = s.applyAndWake(now, apply) }
	s.pending = append(s.pending, delayed{due: s.now().Add(d), apply: later})
	return errors.Wrap(platform.ErrUnknown, "no answer yet")
}

func (s *Store) applyAndWake(now time.Time, apply func(time.Time) error) error {
	err := apply(now)
	if err == nil {
		s.wake()
	}
	return err
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after platform.Version) ([]platform.Event, platform.Version, error) {
	if err := s.enter(ctx, &s.counts.Watch); err != nil {
		return nil, 0, err
	}
	began := s.Era()
	for {
		if err := s.lock(); err != nil {
			return nil, 0, err
		}
		if s.era != began {
			s.mu.Unlock()
			return nil, 0, errors.Wrap(platform.ErrUnavailable, "restored from a copy")
		}
		events, next, err := s.poll(prefix, after)
		after = max(after, next) // this watch never returns the events it skipped
		changed := s.changed
		if err != nil || len(events) > 0 {
			s.mu.Unlock()
			return events, next, err
		}
		s.counts.Waiting++
		s.mu.Unlock()
		err = awaitChange(ctx, changed)
		s.mu.Lock()
		s.counts.Waiting--
		s.mu.Unlock()
		if err != nil {
			return nil, after, err
		}
	}
}

func awaitChange(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// poll returns the current result of a watch.
func (s *Store) poll(prefix string, after platform.Version) ([]platform.Event, platform.Version, error) {
	if after < s.state.compacted || after > s.state.version {
		return nil, 0, platform.ErrCompacted
	}
	events := s.state.since(prefix, after)
	if len(events) == 0 {
		return nil, after, nil
	}
	next := s.state.version
	var kept []platform.Event
	for _, e := range events {
		if !s.chance(s.faults.SkipEvent) {
			kept = append(kept, e)
		}
	}
	if s.chance(s.faults.RepeatEvent) {
		old := s.state.since(prefix, s.state.compacted)
		old = old[:len(old)-len(events)]
		kept = append(append([]platform.Event{}, old[max(0, len(old)-repeatedEvents):]...), kept...)
	}
	return kept, next, nil
}
