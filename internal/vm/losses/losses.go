// Package losses tracks the share of the requests handed to an upstream that it
// does not answer: refused, cut off, answered with other bytes, or not answered in
// time. The node beside the upstream sees all of its requests and so knows the
// share sooner than any node that sends some of them.
package losses

import (
	"math"
	"sync"
	"time"
)

const (
	// halfLife is the time in which an outcome loses half of its weight.
	halfLife = 500 * time.Millisecond
	// prior is the number of answered requests that are assumed beside those that
	// were seen: one lost request out of few says little.
	prior = 3.0
)

// Tracker is the share of lost requests at one upstream. The zero value has seen
// none. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	lost, all float64 // decayed counts, as of at
	at        time.Time
}

// Record records the end of a request.
func (t *Tracker) Record(now time.Time, lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	t.all++
	if lost {
		t.lost++
	}
}

// Rate returns the share of lost requests, from 0 to 1.
func (t *Tracker) Rate(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	return t.lost / (t.all + prior)
}

// Reset forgets all outcomes: another instance of the upstream has started.
func (t *Tracker) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost, t.all = 0, 0
}

// decay moves the counts to now. The caller holds the lock.
func (t *Tracker) decay(now time.Time) {
	if dt := now.Sub(t.at); dt > 0 {
		keep := math.Exp2(-dt.Seconds() / halfLife.Seconds())
		t.lost, t.all, t.at = t.lost*keep, t.all*keep, now
	}
}
