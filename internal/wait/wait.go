// Package wait waits for as long as a context lasts: for a time, for a signal,
// and between attempts that fail.
package wait

import (
	"context"
	"time"
)

// For sleeps for d. It returns the context's error where that ends first, or
// has ended already.
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
