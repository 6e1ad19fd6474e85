// Package ring provides a bounded queue between two tasks of a process. A full
// ring rejects new values and counts them: no value is dropped silently, and no
// producer waits for a slow consumer.
package ring

import "sync/atomic"

// Ring is a bounded queue of values. It is safe for concurrent use.
type Ring[T any] struct {
	ch      chan T
	refused atomic.Uint64
}

// New returns a ring that holds up to size values, at least 1.
func New[T any](size int) *Ring[T] {
	if size < 1 {
		size = 1
	}
	return &Ring[T]{ch: make(chan T, size)}
}

// Offer adds v and reports whether there was room. A rejected value is counted.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Out returns the channel from which the consumer receives.
func (r *Ring[T]) Out() <-chan T { return r.ch }

// Len returns the number of queued values.
func (r *Ring[T]) Len() int { return len(r.ch) }

// Refused returns the number of rejected values since the start.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }
