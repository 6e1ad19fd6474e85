// Package resolve wraps a platform.Store whose calls are sent once, so that
// callers can rely on the results. It adds timeouts, retries with backoff and
// jitter, a limit on the rate of calls per process, resolution of lost
// answers, and rejection of stale answers.
//
// # Lost answers
//
// A write whose answer is lost may have taken effect, may take effect later,
// or may never do so. Reading the object back is not sufficient, because the
// read may be stale. The same conditional write is therefore sent again, with
// the same base and write id, and the store decides it against the current
// state. If it succeeds, no earlier copy has taken effect and none can do so
// any more, because its base is gone. If it conflicts, the object is no longer
// at the base, because of an earlier copy or of another writer. A read that
// finds the write id shows that it was an earlier copy. If the read does not
// find it, the read is stale or another write followed, and the changes since
// the base are searched for the write id. If neither outcome is established
// after all attempts, the error is platform.ErrUnknown.
//
// # Stale answers
//
// Versions increase over all objects. The store remembers the highest version
// seen of each key and of each listed prefix. A call that gets an older answer
// is repeated; if the answers remain stale, the error is platform.ErrStale.
package resolve

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"heathershed/internal/platform"
	"heathershed/internal/wait"
)

// Options configures a Store. Fields with the zero value get the default.
type Options struct {
	// Now is the clock of the rate limit. Default: time.Now.
	Now func() time.Time
	// Sleep waits between attempts. Default: a timer.
	Sleep func(context.Context, time.Duration) error
	// Seed seeds the jitter. It should differ between processes.
	Seed int64
	// Rate is the number of calls per second that the process may make, and
	// Burst the number that it may make at once. Defaults: 10 and 20.
	Rate, Burst float64
	// Attempts bounds the number of calls made for one operation. Default: 4.
	Attempts int
	// CallTimeout bounds each call except a watch. A write is allowed
	// platform.SendTime in addition. Default: 1 s.
	CallTimeout time.Duration
	// BackoffBase and BackoffMax bound the waits between attempts. Defaults:
	// 50 ms and 2 s.
	BackoffBase, BackoffMax time.Duration
}

func (o *Options) setDefaults() {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Sleep == nil {
		o.Sleep = wait.For
	}
	if o.Rate <= 0 {
		o.Rate = 10
	}
	if o.Burst <= 0 {
		o.Burst = 20
	}
	if o.Attempts <= 0 {
		o.Attempts = 4
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = time.Second
	}
	if o.BackoffBase <= 0 {
		o.BackoffBase = 50 * time.Millisecond
	}
	if o.BackoffMax <= 0 {
		o.BackoffMax = 2 * time.Second
	}
}

// Store wraps a platform.Store. It is safe for concurrent use.
type Store struct {
	inner platform.Store
	opts  Options

	mu     sync.Mutex
	bucket Bucket
	rng    *rand.Rand
	seen   versions
	stats  Stats
}

var _ platform.Store = (*Store)(nil)

// Stats counts the operations of a Store since its creation.
type Stats struct {
	// Calls counts the calls sent, Limited those rejected by the process's own
	// rate limit.
	Calls, Limited uint64
	// Retries counts attempts after the first.
	Retries uint64
	// Lost counts writes whose answer was lost; Resolved counts those of them
	// whose outcome was established.
	Lost, Resolved uint64
	// Stale counts stale answers that were rejected.
	Stale uint64
}

// New returns a Store that wraps inner.
func New(inner platform.Store, opts Options) *Store {
	opts.setDefaults()
	return &Store{
		inner:  inner,
		opts:   opts,
		bucket: NewBucket(opts.Rate, opts.Burst),
		rng:    rand.New(rand.NewSource(opts.Seed)),
		seen:   newVersions(),
	}
}

// Stats returns the counts so far.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// backoff returns a new backoff that draws its jitter from the store's random
// source.
func (s *Store) backoff() *wait.Backoff {
	return &wait.Backoff{Base: s.opts.BackoffBase, Max: s.opts.BackoffMax, Int64N: s.draw}
}

func (s *Store) draw(n int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Int63n(n)
}

// takeToken takes one call from the process's rate limit.
func (s *Store) takeToken() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.bucket.Take(s.opts.Now()) {
		s.stats.Limited++
		return platform.ErrLimited
	}
	s.stats.Calls++
	return nil
}

// count updates the stats while holding the lock.
func (s *Store) count(f func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.stats)
}

// attempt makes one call, subject to the rate limit and CallTimeout.
func (s *Store) attempt(ctx context.Context, call func(context.Context) error) error {
	return s.attemptIn(ctx, s.opts.CallTimeout, call)
}

// attemptIn makes one call, subject to the rate limit and the given timeout.
func (s *Store) attemptIn(ctx context.Context, timeout time.Duration, call func(context.Context) error) error {
	if err := s.takeToken(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return call(ctx)
}

// retry calls step up to Attempts times, with backoff, until step reports that
// its result is final.
func (s *Store) retry(ctx context.Context, step func(attempt int) (done bool, err error)) error {
	pause := s.backoff()
	for i := 0; ; i++ {
		done, err := step(i)
		if done || i+1 >= s.opts.Attempts {
			return err
		}
		if sleepErr := s.opts.Sleep(ctx, pause.Next()); sleepErr != nil {
			return errors.CombineErrors(err, sleepErr)
		}
		s.count(func(st *Stats) { st.Retries++ })
	}
}
