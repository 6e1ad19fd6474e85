package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	store "heathershed/internal/platform"
)

// Calls of the object API, as logs and metrics name them.
const (
	callConfiguration = "configuration"
	callList          = "list records"
	callRead          = "read record"
	callWrite         = "write record"
)

// slowCallThreshold is the time from which on the object API counts as slow.
const slowCallThreshold = 100 * time.Millisecond

// storeHealth knows whether the object API answers, to tell once when it is
// lost and once when it is back.
type storeHealth struct {
	mu        sync.Mutex
	answering store.Availability
	slow      bool
}

// observeStoreCall takes in the outcome of a call that waits for nothing else.
func (n *Node) observeStoreCall(call string, began time.Time, err error) {
	n.metrics.observeStoreCall(call, err)
	if errors.Is(err, context.Canceled) {
		return // this node gave the call up
	}
	n.store.mu.Lock()
	defer n.store.mu.Unlock()
	now := time.Now()
	n.updateAvailability(now, call, err)
	if err == nil {
		n.updateLatency(call, now.Sub(began))
	}
}

// updateAvailability tells when the object API is lost and when it is back; the
// caller holds the lock.
func (n *Node) updateAvailability(now time.Time, call string, err error) {
	answering := &n.store.answering
	lost, answered := answering.UnavailableSince(), store.IsAnswer(err)
	change := answering.Record(now, answered)
	switch {
	case change == store.Lost:
		n.log.Warn("store lost", "call", call, "err", err)
	case change == store.Regained:
		n.log.Info("store regained", "call", call, "away_ms", now.Sub(lost).Milliseconds())
	case !answered:
		n.log.Info("store still away", "call", call, "away_ms", now.Sub(lost).Milliseconds(), "err", err)
	}
}

// updateLatency tells when the object API becomes slow and when it is no longer;
// the caller holds the lock.
func (n *Node) updateLatency(call string, took time.Duration) {
	slow := took > slowCallThreshold
	if slow == n.store.slow {
		return
	}
	n.store.slow = slow
	n.log.Info("store speed", "call", call, "slow", slow, "took_ms", took.Milliseconds())
}

// availableFor is how long all calls have been answered.
func (h *storeHealth) availableFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	since := h.answering.AvailableSince()
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}
