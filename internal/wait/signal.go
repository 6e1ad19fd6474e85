package wait

import (
	"context"
	"time"
)

// Signal wakes one goroutine; what is sent while one is pending joins it. It
// is safe for concurrent use.
type Signal chan struct{}

// NewSignal returns a signal with none pending.
func NewSignal() Signal { return make(Signal, 1) }

// Send leaves a signal pending.
func (s Signal) Send() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// Wait waits for a signal, for d at most, and reports whether one came. The
// end of the context ends the wait.
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
