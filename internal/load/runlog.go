package load

import (
	"sync"

	"heathershed/internal/contract"
)

// RunLog records what all upstreams ran. It is safe for concurrent use.
type RunLog struct {
	mu     sync.Mutex
	roots  map[uint64]int
	orders map[contract.OrderID]int
	runs   uint64
}

// NewRunLog returns an empty log.
func NewRunLog() *RunLog {
	return &RunLog{roots: make(map[uint64]int), orders: make(map[contract.OrderID]int)}
}

// RecordRun records that an upstream begins to run a request. Only runs of the
// callers' own requests are kept by id; nested calls are counted.
func (l *RunLog) RecordRun(call uint64, depth int, order contract.OrderID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs++
	if depth > 0 {
		return
	}
	l.roots[call]++
	if !order.IsZero() {
		l.orders[order]++
	}
}

// RunsOf returns how often a caller's attempt ran.
func (l *RunLog) RunsOf(call uint64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.roots[call]
}

// RunsOfOrder returns how often an order ran.
func (l *RunLog) RunsOfOrder(id contract.OrderID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.orders[id]
}

// Doubled returns the orders that ran more than once.
func (l *RunLog) Doubled() []contract.OrderID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []contract.OrderID
	for id, n := range l.orders {
		if n > 1 {
			out = append(out, id)
		}
	}
	return out
}

// Total returns the number of runs, including nested calls.
func (l *RunLog) Total() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs
}
