package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	store "heathershed/internal/platform"
)

// Names of the calls to the object API in logs and metrics.
const (
	callConfiguration = "configuration"
	callList          = "list records"
	callRead          = "read record"
	callWrite         = "write record"
)

// slowCallThreshold is the latency above which a call to the object API is
// slow.
const slowCallThreshold = 100 * time.Millisecond

// storeHealth tracks whether the object API answers and whether it is slow.
// Each loss, recovery and change of speed is logged once.
type storeHealth struct {
	mu           sync.Mutex
	availability store.Availability
	slow         bool
}

// observeStoreCall records the outcome and the latency of a call to the object
// API. began must exclude the wait of a watch.
func (n *Node) observeStoreCall(call string, began time.Time, err error) {
	n.metrics.observeStoreCall(call, err)
	if errors.Is(err, context.Canceled) {
		return // cancelled by this node; says nothing about the store
	}
	n.store.mu.Lock()
	defer n.store.mu.Unlock()
	now := time.Now()
	n.updateAvailability(now, call, err)
	if err == nil {
		n.updateLatency(call, now.Sub(began))
	}
}

// updateAvailability records whether the object API answered. It logs when the
// API is lost and when it is back, and each further unanswered call in
// between. The caller holds the lock.
func (n *Node) updateAvailability(now time.Time, call string, err error) {
	availability := &n.store.availability
	lost, answered := availability.UnavailableSince(), store.IsAnswer(err)
	change := availability.Record(now, answered)
	switch {
	case change == store.Lost:
		n.log.Warn("store lost", "call", call, "err", err)
	case change == store.Regained:
		n.log.Info("store regained", "call", call, "away_ms", now.Sub(lost).Milliseconds())
	case !answered:
		n.log.Info("store still away", "call", call, "away_ms", now.Sub(lost).Milliseconds(), "err", err)
	}
}

// updateLatency logs when the object API becomes slow and when it is fast
// again. The caller holds the lock.
func (n *Node) updateLatency(call string, took time.Duration) {
	slow := took > slowCallThreshold
	if slow == n.store.slow {
		return
	}
	n.store.slow = slow
	n.log.Info("store speed", "call", call, "slow", slow, "took_ms", took.Milliseconds())
}

// availableFor returns for how long every call has been answered.
func (h *storeHealth) availableFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	since := h.availability.AvailableSince()
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}
