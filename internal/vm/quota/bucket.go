package quota

import "time"

// bucket is a token bucket. Its rate, in tokens per second, is passed with each
// call, so that it follows the catalogue.
type bucket struct {
	tokens float64
	at     time.Time
}

// take takes one token and returns 0, or returns the time until there is one. A
// rate of 0 means no limit.
func (b *bucket) take(now time.Time, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	size := max(1, rate*burst.Seconds())
	if b.at.IsZero() {
		b.tokens = size
	} else if dt := now.Sub(b.at); dt > 0 {
		b.tokens = min(size, b.tokens+dt.Seconds()*rate)
	}
	b.at = now
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	wait := time.Duration((1 - b.tokens) / rate * float64(time.Second))
	return max(wait, time.Millisecond)
}
