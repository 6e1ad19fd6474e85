package wait

import (
	"context"
	"time"
)

// Signal wakes one waiting goroutine. Signals sent while one is pending are
// merged with it. It is safe for concurrent use.
type Signal chan struct{}

// NewSignal returns a Signal with none pending.
func NewSignal() Signal { return make(Signal, 1) }

// Send makes a signal pending. It never blocks.
func (s Signal) Send() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// Wait waits until a signal is pending, d has passed or ctx is done. It reports
// whether it received a signal.
func (s Signal) Wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	case <-s:
		return true
	}
}
