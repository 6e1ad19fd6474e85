package sidecar

import "sync"

// maxHanded bounds the attempt ids that are remembered in each of two
// generations.
const maxHanded = 1 << 14

// handed remembers the ids of orders that this door has handed to its upstream,
// so that none is handed over twice.
type handed struct {
	mu       sync.Mutex
	now, old map[string]struct{}
}

func newHanded() *handed { return &handed{now: make(map[string]struct{})} }

// take notes an id and reports whether it is new.
func (h *handed) take(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.now[id]; known {
		return false
	}
	if _, known := h.old[id]; known {
		return false
	}
	if len(h.now) >= maxHanded {
		h.now, h.old = make(map[string]struct{}), h.now
	}
	h.now[id] = struct{}{}
	return true
}

// give takes an id back that has not run.
func (h *handed) give(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.now, id)
	delete(h.old, id)
}
