package sidecar

import (
	"sync"
	"time"
)

const (
	// clientRetryCost is the cost of retrying a client's request, in tokens; a
	// nested call costs one. It is higher because the nested calls that the
	// second run makes are retries too.
	clientRetryCost = 4
	// safetyFactor is the part of the configured bound that is used.
	safetyFactor = 0.5
)

// budget is a token bucket that bounds what this node sends beyond first
// attempts: a ratio of its clients' requests, and its share of a slack per
// window that all nodes have in common.
type budget struct {
	ratio  float64
	slack  float64
	window time.Duration

	mu     sync.Mutex
	nodes  int
	tokens float64
	last   time.Time
}

func newBudget(ratio, slack float64, window time.Duration) *budget {
	return &budget{ratio: ratio * safetyFactor, slack: slack * safetyFactor, window: window, nodes: 1}
}

// setBound replaces the bound.
func (b *budget) setBound(ratio, slack float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack, b.window = ratio*safetyFactor, slack*safetyFactor, window
}

// setNodes sets the number of nodes that share the slack.
func (b *budget) setNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(n, 1)
}

// deposit adds the tokens that one request earns. Nested calls earn none.
func (b *budget) deposit(now time.Time, inner bool) {
	if inner {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens += b.ratio
}

// withdraw takes the cost of a retry and reports whether there were enough
// tokens.
func (b *budget) withdraw(now time.Time, inner bool) bool {
	cost := float64(clientRetryCost)
	if inner {
		cost = 1
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < cost {
		return false
	}
	b.tokens -= cost
	return true
}

// refill adds the share of the slack that the time since the last refill
// allows. The caller holds b.mu.
func (b *budget) refill(now time.Time) {
	share := b.slack / float64(b.nodes)
	if b.last.IsZero() {
		b.last = now
		b.tokens = share
	}
	part := min(now.Sub(b.last).Seconds()/b.window.Seconds(), 1)
	b.last = now
	b.tokens = min(b.tokens+part*share, max(share, clientRetryCost)*2)
}
