// Package wait provides waits that end with a context: for a duration, for a
// signal, and between failed attempts.
package wait

import (
	"context"
	"time"
)

// For sleeps for d. It returns the context's error if ctx is done before, or was
// done already.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 || ctx.Err() != nil {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
