package sidecar

import "sync"

// maxDedupIDs bounds the attempt ids in each of two generations.
const maxDedupIDs = 1 << 14

// dedup records the attempt ids of orders that were sent to the local
// upstream, so that no order is sent to it twice. It forgets ids by
// generation: the older one is dropped when the current one is full.
type dedup struct {
	mu                sync.Mutex
	current, previous map[string]struct{}
}

func newDedup() *dedup { return &dedup{current: make(map[string]struct{})} }

// add records an id and reports whether it is new.
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

// remove deletes the id of an order that has not run.
func (d *dedup) remove(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.current, id)
	delete(d.previous, id)
}
