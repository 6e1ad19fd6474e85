package memory

import (
	"sync"
	"time"
)

const (
	// sizeWeight is the weight of a new size in the mean.
	sizeWeight = 1.0 / 8
	// sizeLife is how long after the last answer of a name its size is expected.
	sizeLife = time.Minute
	// maxNames bounds the names whose sizes are kept.
	maxNames = 1 << 12
)

// Sizes tells how large the answers of a kind of request are to be expected: as the mean
// of the recent ones. It is safe for concurrent use. The zero value is ready to use.
type Sizes struct {
	mu     sync.Mutex
	byName map[string]meanSize
}

// meanSize is the mean size of answers in bytes, and when the last one was observed.
type meanSize struct {
	bytes float64
	at    time.Time
}

// Expectation is the size to expect of an answer.
type Expectation struct {
	Bytes int64 // 0 if nothing is known
	// Age is the time since the last answer that it was learnt from.
	Age time.Duration
}

// Observe records the size of an answer in bytes.
func (s *Sizes) Observe(now time.Time, name string, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byName == nil || len(s.byName) >= maxNames {
		s.byName = make(map[string]meanSize)
	}
	mean, known := s.byName[name]
	if !known || now.Sub(mean.at) > sizeLife {
		mean.bytes = float64(n)
	}
	mean.bytes += sizeWeight * (float64(n) - mean.bytes)
	mean.at = now
	s.byName[name] = mean
}

// Expected returns what to expect of the next answer.
func (s *Sizes) Expected(now time.Time, name string) Expectation {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, known := s.byName[name]
	age := now.Sub(mean.at)
	if !known || age > sizeLife {
		return Expectation{}
	}
	return Expectation{Bytes: int64(mean.bytes), Age: age}
}
