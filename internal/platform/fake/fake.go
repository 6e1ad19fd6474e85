// Package fake is the object API in memory, with its faults on demand. It is
// what tests and the stand-in server use in place of the platform.
//
// It is linearizable where no fault says otherwise: one lock, one version
// counter over all keys. Time comes from an injected clock and chance from a
// seeded source, so that a single-threaded test sees the same faults each run.
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

// defaultLog is the number of changes that watches can resume over.
const defaultLog = 8192

// Store implements platform.Store in memory. It is safe for concurrent use.
type Store struct {
	now   func() time.Time
	sleep func(context.Context, time.Duration) error

	mu      sync.Mutex
	rng     *rand.Rand
	state   *state
	faults  Faults
	counts  Counts
	pending []delayed
	changed chan struct{} // closed and replaced with every change
}

// delayed is a write that takes effect later, if its base still matches.
type delayed struct {
	due   time.Time
	apply func(now time.Time)
}

var _ platform.Store = (*Store)(nil)

// Option changes a Store as it is made.
type Option func(*Store)

// WithClock sets the clock; the default is time.Now.
func WithClock(now func() time.Time) Option { return func(s *Store) { s.now = now } }

// WithSeed sets the seed of the faults' chances; the default is 1.
func WithSeed(seed int64) Option {
	return func(s *Store) { s.rng = rand.New(rand.NewSource(seed)) }
}

// WithSleep sets how latency is waited for; the default is a timer.
func WithSleep(sleep func(context.Context, time.Duration) error) Option {
	return func(s *Store) { s.sleep = sleep }
}

// WithLogSize sets how many changes watches can resume over.
func WithLogSize(changes int) Option { return func(s *Store) { s.state.maxLog = max(changes, 1) } }

// New returns an empty store without faults.
func New(opts ...Option) *Store {
	s := &Store{
		now:     time.Now,
		sleep:   wait.For,
		rng:     rand.New(rand.NewSource(1)),
		state:   newState(defaultLog),
		changed: make(chan struct{}),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Faults returns the faults in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the calls so far.
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

// Compact forgets the changes so far: watches from before must list again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.compact(s.state.version)
	s.wake()
}

// ApplyDueWrites tries the delayed writes that are due by the clock. Every other call
// does so too; a server calls it from time to time for the waiting watches.
func (s *Store) ApplyDueWrites() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
}

func (s *Store) settle() {
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

// wake lets the waiting watches look again.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// chance draws with the given share.
func (s *Store) chance(share float64) bool { return share > 0 && s.rng.Float64() < share }

// errSlow is the end of a call whose context ended within the latency.
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

// lock takes the lock, settles delayed writes and refuses when down.
func (s *Store) lock() error {
	s.mu.Lock()
	if s.faults.Down {
		s.mu.Unlock()
		return errors.Wrap(platform.ErrUnavailable, "down")
	}
	s.settle()
	return nil
}
