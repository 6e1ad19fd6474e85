package memory

import "sync"

const (
	// sizeWeight is the weight of a new size in the mean.
	sizeWeight = 1.0 / 8
	// maxNames bounds the names whose sizes are kept.
	maxNames = 1 << 12
)

// Sizes tells how large the answers of a kind of request are to be expected: as the mean
// of the recent ones. It is safe for concurrent use. The zero value is ready to use.
type Sizes struct {
	mu    sync.Mutex
	means map[string]float64 // in bytes
}

// Observe records the size of an answer in bytes.
func (s *Sizes) Observe(name string, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.means == nil || len(s.means) >= maxNames {
		s.means = make(map[string]float64)
	}
	mean, known := s.means[name]
	if !known {
		mean = float64(n)
	}
	s.means[name] = mean + sizeWeight*(float64(n)-mean)
}

// Expected returns the size in bytes to expect of the next answer; 0 if none is known.
func (s *Sizes) Expected(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.means[name])
}
