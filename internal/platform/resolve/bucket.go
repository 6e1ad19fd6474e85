package resolve

import "time"

// Bucket is a token bucket: the rate of calls that one process may make. It is
// pure and not safe for concurrent use.
type Bucket struct {
	rate   float64 // tokens a second
	burst  float64
	tokens float64
	at     time.Time
}

// NewBucket returns a full bucket of the given rate (a second) and burst.
func NewBucket(rate, burst float64) Bucket {
	return Bucket{rate: rate, burst: burst, tokens: burst}
}

// Take takes one token and reports whether there was one.
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
