package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// maxDoublings bounds the shift in Backoff.Next, to prevent an overflow of
// time.Duration.
const maxDoublings = 20

// Backoff computes the delays between attempts. They double from Base to Max, and
// each is randomised between half of that and all of it, so that processes that
// failed at the same time don't retry at the same time. It is not safe for
// concurrent use.
type Backoff struct {
	Base, Max time.Duration
	// Int64N returns a uniform random number in [0, n); rand.Int64N if nil.
	Int64N   func(n int64) int64
	failures int
}

// Next returns the delay after one more failure.
func (b *Backoff) Next() time.Duration {
	d := b.Base << min(b.failures, maxDoublings)
	if d > b.Max || d <= 0 {
		d = b.Max
	}
	b.failures++
	int64N := b.Int64N
	if int64N == nil {
		int64N = rand.Int64N
	}
	return d/2 + time.Duration(int64N(int64(d/2)+1))
}

// Reset resets the delay to Base, after a success.
func (b *Backoff) Reset() { b.failures = 0 }

// Retry calls try until it returns true or ctx is done, with the delays of the
// backoff between calls. It does not reset the backoff.
func (b *Backoff) Retry(ctx context.Context, try func() bool) {
	for ctx.Err() == nil && !try() {
		_ = For(ctx, b.Next())
	}
}
