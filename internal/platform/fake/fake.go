// Package fake implements the object API in memory, with faults that can be
// injected. Tests and the stand-in server use it in place of the platform.
//
// It is linearizable unless a fault says otherwise: there is one lock, and one
// version counter over all keys. The clock and the sleep function can be
// replaced, and faults are drawn from a seeded random source, so that a
// single-threaded test sees the same faults in each run.
package fake

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"heathershed/internal/platform"
	"heathershed/internal/wait"
)

// defaultLogSize is the default number of changes over which watches can
// resume.
const defaultLogSize = 8192

// Store implements platform.Store in memory. It is safe for concurrent use.
type Store struct {
	now   func() time.Time
	sleep func(context.Context, time.Duration) error

	mu      sync.Mutex
	rng     *rand.Rand
	state   *state
	era     uint64 // number of restores
	faults  Faults
	counts  Counts
	pending []delayed
	changed chan struct{} // closed and replaced on every change
}

// delayed is a write that is applied later, if its base still matches then.
type delayed struct {
	due   time.Time
	apply func(now time.Time)
}

var _ platform.Store = (*Store)(nil)

// Option configures a Store on creation.
type Option func(*Store)

// WithClock sets the clock. Default: time.Now.
func WithClock(now func() time.Time) Option { return func(s *Store) { s.now = now } }

// WithSeed sets the seed of the random source that faults are drawn from.
// Default: 1.
func WithSeed(seed int64) Option {
	return func(s *Store) { s.rng = rand.New(rand.NewSource(seed)) }
}

// WithSleep sets the function that waits for Faults.Latency. Default: a timer.
func WithSleep(sleep func(context.Context, time.Duration) error) Option {
	return func(s *Store) { s.sleep = sleep }
}

// WithLogSize sets the number of changes over which watches can resume, at
// least 1.
func WithLogSize(changes int) Option { return func(s *Store) { s.state.maxLog = max(changes, 1) } }

// New returns an empty store without faults.
func New(opts ...Option) *Store {
	s := &Store{
		now:     time.Now,
		sleep:   wait.For,
		rng:     rand.New(rand.NewSource(1)),
		state:   newState(defaultLogSize),
		changed: make(chan struct{}),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetFaults replaces the active faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Faults returns the active faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Rejects draws whether a server must reject the next call, see
// Faults.Rejected.
func (s *Store) Rejects() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chance(s.faults.Rejected)
}

// Counts returns the number of calls so far and the size of the content.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	for key := range s.state.history {
		if o, ok := s.state.current(key); ok {
			c.Objects++
			c.Bytes += uint64(len(o.Value))
		}
	}
	return c
}

// Compact discards the change log. Watches from an earlier version must list
// again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.compact(s.state.version)
	s.wake()
}

// Restore returns to a copy of the content that is age old: later writes are
// lost, their versions are assigned again, and the era rises by one. Blocked
// watches fail, and watches from a version that the copy lacks must list again.
func (s *Store) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.rewind(s.now().Add(-age))
	s.pending = nil
	s.era++
	s.wake()
}

// Era returns the number of restores so far.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// ApplyDueWrites applies the delayed writes that are due according to the
// clock. Every other call does so, too; a server calls it periodically so that
// blocked watches see the changes.
func (s *Store) ApplyDueWrites() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyDue()
}

// applyDue implements ApplyDueWrites. The caller holds the lock.
func (s *Store) applyDue() {
	now := s.now()
	var later []delayed
	for _, d := range s.pending {
		if d.due.After(now) {
			later = append(later, d)
			continue
		}
		d.apply(now)
	}
	s.pending = later
}

// wake makes the blocked watches check for changes again.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// chance returns true with probability p.
func (s *Store) chance(p float64) bool { return p > 0 && s.rng.Float64() < p }

// errSlow is the error of a call whose context ended during the latency.
var errSlow = errors.New("platform: slower than the deadline")

// enter counts a call and waits for the latency.
func (s *Store) enter(ctx context.Context, count *uint64) error {
	if err := ctx.Err(); err != nil {
		return errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	s.mu.Lock()
	*count++
	latency := s.faults.Latency
	s.mu.Unlock()
	if latency <= 0 {
		return nil
	}
	if err := s.sleep(ctx, latency); err != nil {
		return errors.Mark(errSlow, platform.ErrUnavailable)
	}
	return nil
}

// lock acquires the lock and applies the delayed writes that are due. If the
// store is down, it returns an error without holding the lock.
func (s *Store) lock() error {
	s.mu.Lock()
	if s.faults.Down {
		s.mu.Unlock()
		return errors.Wrap(platform.ErrUnavailable, "down")
	}
	s.applyDue()
	return nil
}
