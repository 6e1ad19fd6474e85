package sidecar

import "sync"

// maxDedupIDs bounds the attempt ids that are remembered in each of two
// generations.
const maxDedupIDs = 1 << 14

// dedup remembers the ids of orders that this door has handed to its upstream,
// so that none is handed over twice.
type dedup struct {
	mu                sync.Mutex
	current, previous map[string]struct{}
}

func newDedup() *dedup { return &dedup{current: make(map[string]struct{})} }

// take notes an id and reports whether it is new.
func (d *dedup) add(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.current[id]; known {
		return false
	}
	if _, known := d.previous[id]; known {
		return false
	}
	if len(d.current) >= maxDedupIDs {
		d.current, d.previous = make(map[string]struct{}), d.current
	}
	d.current[id] = struct{}{}
	return true
}

// give takes an id back that has not run.
func (d *dedup) remove(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.current, id)
	delete(d.previous, id)
}
