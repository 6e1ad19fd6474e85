package sidecar

import (
	"sync"
	"time"

	store "heathershed/internal/platform"
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
	mu        sync.Mutex
	answering store.Answering
	slow      bool
}

// called takes in the outcome of a call that waits for nothing else.
func (n *Node) called(call string, began time.Time, err error) {
	n.metrics.called(call, err)
	h := &n.store
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	lost := h.answering.Lost()
	change := h.answering.Note(now, err == nil)
	switch {
	case change == store.Lost:
		n.log.Warn("store lost", "call", call, "err", err)
	case change == store.Regained:
		n.log.Info("store regained", "call", call, "away_ms", now.Sub(lost).Milliseconds())
	case err != nil:
		n.log.Info("store still away", "call", call, "away_ms", now.Sub(lost).Milliseconds(), "err", err)
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
	since := h.answering.Since()
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}
