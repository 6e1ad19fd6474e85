// Package freshness tracks how old a node's knowledge is that its copy of a
// versioned document is the newest one. The age separates a node whose copy has
// not changed from one that has heard nothing.
package freshness

import (
	"sync"
	"time"
)

// Tracker tracks the newest confirmation of one document: proof that no version
// newer than the node's copy had been accepted at a given time. It reads no
// clock. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	newest Confirmation
}

// Confirmation is proof that the copy was the newest version at the time At. By
// names the source of the proof. The zero value stands for no proof.
type Confirmation struct {
	At time.Time
	By string
}

// Age returns the time since the confirmation.
func (c Confirmation) Age(now time.Time) time.Duration { return max(now.Sub(c.At), 0) }

// Confirm records a confirmation unless a newer one is known.
func (t *Tracker) Confirm(c Confirmation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.At.After(t.newest.At) {
		t.newest = c
	}
}

// Newest returns the newest confirmation, and false if there is none.
func (t *Tracker) Newest() (Confirmation, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest, !t.newest.At.IsZero()
}
