// Package resolve makes a platform.Store safe to conclude from. Over a client
// that sends each call once it adds deadlines, retries with backoff and
// jitter, a rate limit per process, the resolution of lost answers, and a
// guard against answers from the past.
//
// # Lost answers
//
// A write whose answer is lost may have taken effect, may take effect later,
// or never. Reading the object back is not enough: the read may be old. So the
// same conditional write is sent again, with the same base and write id. The
// store decides it against the present: where it succeeds, no earlier copy has
// taken effect and none can do so any more, because its base is gone. Where it
// conflicts, the object has left the base, by an earlier copy or by another
// writer; a read that finds the write id proves the former. Where it does not,
// the read is old or another write followed: the changes since the base are
// looked through for ours. If nothing proves either after all attempts, the
// answer is platform.ErrUnknown.
//
// # Answers from the past
//
// Versions grow over all objects. The store remembers the highest version seen
// of each key and of each listed prefix; an answer from before is asked for
// again and, if it stays old, is platform.ErrStale.
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

// Options of a Store. The zero value of each has a default.
type Options struct {
	// Now is the clock of the rate limit; default time.Now.
	Now func() time.Time
	// Sleep waits between attempts; default a timer.
	Sleep func(context.Context, time.Duration) error
	// Seed is the seed of the jitter. Give each process its own.
	Seed int64
	// Rate is the number of calls a second that this process may make, and
	// Burst how many at once; defaults 10 and 20.
	Rate, Burst float64
	// Attempts bounds the calls made for one operation; default 4.
	Attempts int
	// CallTimeout bounds each call but a watch; default 1 s. A write has
	// platform.SendTime beside it.
	CallTimeout time.Duration
	// BackoffBase and BackoffMax bound the waits; defaults 50 ms and 2 s.
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
	seen   marks
	stats  Stats
}

var _ platform.Store = (*Store)(nil)

// Stats counts what the wrapper did since the start.
type Stats struct {
	// Calls were sent, Limited were refused by the own rate limit.
	Calls, Limited uint64
	// Retries are attempts after the first.
	Retries uint64
	// Lost are writes whose answer was lost; Resolved of them were decided.
	Lost, Resolved uint64
	// Stale are answers from the past that were set aside.
	Stale uint64
}

// New wraps inner.
func New(inner platform.Store, opts Options) *Store {
	opts.setDefaults()
	return &Store{
		inner:  inner,
		opts:   opts,
		bucket: NewBucket(opts.Rate, opts.Burst),
		rng:    rand.New(rand.NewSource(opts.Seed)),
		seen:   newMarks(),
	}
}

// Stats returns the counts so far.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// backoff returns a fresh backoff that draws from the process's source.
func (s *Store) backoff() *wait.Backoff {
	return &wait.Backoff{Base: s.opts.BackoffBase, Max: s.opts.BackoffMax, Int64N: s.draw}
}

func (s *Store) draw(n int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Int63n(n)
}

// take takes one call from the process's rate.
func (s *Store) take() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.bucket.Take(s.opts.Now()) {
		s.stats.Limited++
		return platform.ErrLimited
	}
	s.stats.Calls++
	return nil
}

// count changes the stats under the lock.
func (s *Store) count(f func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.stats)
}

// attempt makes one call under the rate limit and the call timeout.
func (s *Store) attempt(ctx context.Context, call func(context.Context) error) error {
	return s.attemptIn(ctx, s.opts.CallTimeout, call)
}

// attemptIn makes one call under the rate limit and a timeout.
func (s *Store) attemptIn(ctx context.Context, timeout time.Duration, call func(context.Context) error) error {
	if err := s.take(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return call(ctx)
}

// retry calls step until it is done, at most Attempts times. step reports
// whether its error is final.
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
