package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"heathershed/internal/platform"
)

// trackedStore wraps the store, records whether it answers and counts the calls
// to it. It is safe for concurrent use.
type trackedStore struct {
	inner platform.Store

	mu                     sync.Mutex
	availability           platform.Availability
	lastAnswer             time.Time
	lastError              string
	reads, writes, watches uint64
}

// availableSince returns the time since which the store has answered every
// call, or zero if it did not answer the last one. Calls that this node
// cancelled do not count.
func (s *trackedStore) availableSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.availability.AvailableSince()
}

// record records the result of a call. An error that the store itself returned,
// such as a conflict, counts as an answer.
func (s *trackedStore) record(err error, count *uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*count++
	now := time.Now()
	switch {
	case platform.IsAnswer(err):
		s.lastAnswer = now
		s.availability.Record(now, true)
	case !errors.Is(err, context.Canceled): // cancelled by this node: no evidence about the store
		s.lastError = err.Error()
		s.availability.Record(now, false)
	}
}

// Get implements platform.Store.
func (s *trackedStore) Get(ctx context.Context, key string) (platform.Object, error) {
	o, err := s.inner.Get(ctx, key)
	s.record(err, &s.reads)
	return o, err
}

// List implements platform.Store.
func (s *trackedStore) List(ctx context.Context, prefix string) ([]platform.Object, platform.Version, error) {
	objects, version, err := s.inner.List(ctx, prefix)
	s.record(err, &s.reads)
	return objects, version, err
}

// Put implements platform.Store.
func (s *trackedStore) Put(ctx context.Context, key string, value []byte, base platform.Version, writeID string) (platform.Object, error) {
	o, err := s.inner.Put(ctx, key, value, base, writeID)
	s.record(err, &s.writes)
	return o, err
}

// Delete implements platform.Store.
func (s *trackedStore) Delete(ctx context.Context, key string, base platform.Version) error {
	err := s.inner.Delete(ctx, key, base)
	s.record(err, &s.writes)
	return err
}

// Watch implements platform.Store.
func (s *trackedStore) Watch(ctx context.Context, prefix string, after platform.Version) ([]platform.Event, platform.Version, error) {
	events, next, err := s.inner.Watch(ctx, prefix, after)
	s.record(err, &s.watches)
	return events, next, err
}
