package sidecar

import (
	"sync"
	"time"
)

const (
	// clientRetryCost is what a repeat of a client's request costs: the calls that its
	// run makes again are repeats too.
	clientRetryCost = 4
	// safetyFactor is the part of the bound that is used.
	safetyFactor = 0.5
)

// budget bounds what this node sends beyond first attempts: a part of its
// requests, and its share of a slack that all nodes have together.
type budget struct {
	ratio  float64
	slack  float64
	window time.Duration

	mu     sync.Mutex
	nodes  int
	tokens float64
	last   time.Time
}

func newBudget(ratio float64, slack int, window time.Duration) *budget {
	return &budget{ratio: ratio * safetyFactor, slack: float64(slack) * safetyFactor, window: window, nodes: 1}
}

// setBound takes in another bound.
func (b *budget) setBound(ratio float64, slack int, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack, b.window = ratio*safetyFactor, float64(slack)*safetyFactor, window
}

// setNodes takes in how many nodes share the slack.
func (b *budget) setNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(n, 1)
}

// request adds to the budget what a request allows.
func (b *budget) deposit(now time.Time, inner bool) {
	if inner {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens += b.ratio
}

// repeat takes what a repeat costs, and reports whether there was enough.
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

// refill adds the share of the slack that the time since the last look allows.
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
