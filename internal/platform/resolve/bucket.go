package resolve

import "time"

// Bucket is a token bucket that limits the rate of calls of one process. It
// takes the time as an argument and is not safe for concurrent use.
type Bucket struct {
	rate   float64 // tokens per second
	burst  float64
	tokens float64
	at     time.Time
}

// NewBucket returns a full bucket with the given rate, in tokens per second,
// and burst.
func NewBucket(rate, burst float64) Bucket {
	return Bucket{rate: rate, burst: burst, tokens: burst}
}

// Take removes one token and reports whether one was available.
func (b *Bucket) Take(now time.Time) bool {
	if !b.at.IsZero() && now.After(b.at) {
		b.tokens = min(b.burst, b.tokens+now.Sub(b.at).Seconds()*b.rate)
	}
	if b.at.IsZero() || now.After(b.at) {
		b.at = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
