package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// maxDoublings keeps the shift of a Backoff within a Duration.
const maxDoublings = 20

// Backoff gives the waits between attempts: they double from Base to Max and
// each is drawn evenly from its upper half, so that processes that failed
// together don't come back together. It is not safe for concurrent use.
type Backoff struct {
	Base, Max time.Duration
	// Int64N returns an even draw from [0, n); nil: the process's source.
	Int64N   func(n int64) int64
	failures int
}

// Next returns the wait after one more failure.
func (b *Backoff) Next() time.Duration {
	d := b.Base << min(b.failures, maxDoublings)
	if d > b.Max || d <= 0 {
		d = b.Max
	}
	b.failures++
	draw := b.Int64N
	if draw == nil {
		draw = rand.Int64N
	}
	return d/2 + time.Duration(draw(int64(d/2)+1))
}

// Reset forgets the failures, after a success.
func (b *Backoff) Reset() { b.failures = 0 }

// Retry repeats try until it succeeds or the context ends, with the waits of
// the backoff between.
func (b *Backoff) Retry(ctx context.Context, try func() bool) {
	for ctx.Err() == nil && !try() {
		_ = For(ctx, b.Next())
	}
}
