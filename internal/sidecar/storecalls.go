package sidecar

import (
	"sync"
	"time"
)

// Calls of the object API, as logs and metrics name them.
const (
	callConfiguration = "configuration"
	callList          = "list records"
	callRead          = "read record"
	callWrite         = "write record"
)

// slowCall is the time from which on the object API counts as slow.
const slowCall = 100 * time.Millisecond

// storeHealth knows whether the object API answers, to tell once when it is
// lost and once when it is back.
type storeHealth struct {
	mu    sync.Mutex
	since time.Time // of the first failure; zero while it answers
	// answering is since when all calls were answered.
	answering time.Time
	slow      bool
}

// called takes in the outcome of a call that waits for nothing else.
func (n *Node) called(call string, began time.Time, err error) {
	n.metrics.called(call, err)
	h := &n.store
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil || h.answering.IsZero() {
		h.answering = now
	}
	switch {
	case err != nil && h.since.IsZero():
		h.since = now
		n.log.Warn("store lost", "call", call, "err", err)
	case err != nil:
		n.log.Info("store still away", "call", call, "away_ms", now.Sub(h.since).Milliseconds(), "err", err)
	case !h.since.IsZero():
		n.log.Info("store regained", "call", call, "away_ms", now.Sub(h.since).Milliseconds())
		h.since = time.Time{}
	}
	if slow := err == nil && now.Sub(began) > slowCall; slow != h.slow && err == nil {
		h.slow = slow
		n.log.Info("store speed", "call", call, "slow", slow, "took_ms", now.Sub(began).Milliseconds())
	}
}

// answeredFor is how long all calls have been answered.
func (h *storeHealth) answeredFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.answering.IsZero() || !h.since.IsZero() {
		return 0
	}
	return now.Sub(h.answering)
}
