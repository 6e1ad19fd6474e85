package admission

import "time"

const (
	// baseRetryMean is the mean retry time at the edge of overload. The mean
	// grows with the overload up to maxRetryMean.
	baseRetryMean = 100 * time.Millisecond
	maxRetryMean  = 2 * time.Second
)

// rng is a seeded random source (splitmix64).
type rng struct{ state uint64 }

// unit returns a random number in [0, 1).
func (s *rng) unit() float64 {
	s.state += 0x9e3779b97f4a7c15
	z := s.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

// retryAfter returns the retry time of a refusal: uniform between half and one
// and a half times a mean that is proportional to the overload, the ratio of
// the offered rate to the capacity. Each refusal draws its own, so that requests
// do not return at the same time.
func (s *rng) retryAfter(overload float64) time.Duration {
	mean := min(float64(baseRetryMean)*overload, float64(maxRetryMean))
	return time.Duration(mean * (0.5 + s.unit()))
}
