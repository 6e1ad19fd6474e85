package retry

import "sync"

// ratioUnit is one retry in the fixed-point numbers of a Ratio.
const ratioUnit = 1 << 20

// Ratio limits retries to a share of the recorded successes. It is a token
// bucket that successes fill and retries drain. It starts full and holds at
// most burst retries, so that a long time without failures does not accumulate
// enough for a retry storm. It needs no clock and is safe for concurrent use.
// The zero Ratio allows no retry.
type Ratio struct {
	mu         sync.Mutex
	perSuccess int64
	burst      int64
	tokens     int64
}

// NewRatio returns a Ratio that allows perSuccess retries per success in the long
// run, and up to burst retries in a row. Negative arguments count as 0.
func NewRatio(perSuccess float64, burst int) *Ratio {
	full := int64(max(burst, 0)) * ratioUnit
	return &Ratio{
		perSuccess: int64(max(perSuccess, 0) * ratioUnit),
		burst:      full,
		tokens:     full,
	}
}

// Success records one complete answer.
func (r *Ratio) Success() {
	r.mu.Lock()
	r.tokens = min(r.tokens+r.perSuccess, r.burst)
	r.mu.Unlock()
}

// Allow takes one retry and reports whether one was available.
func (r *Ratio) Allow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokens < ratioUnit {
		return false
	}
	r.tokens -= ratioUnit
	return true
}
