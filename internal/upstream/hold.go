package upstream

import (
	"context"
	"sync"
)

// Held is the share of the memory that the body of an answer keeps after it was
// read, until it has been passed on. It is safe for concurrent use.
type Held struct {
	mu       sync.Mutex
	memory   *memory
	bytes    int64
	released bool
}

type heldKey struct{}

// WithHeld returns a context in which the answer of a request keeps its share of the
// memory until Release. Release must be called.
func WithHeld(ctx context.Context) (context.Context, *Held) {
	h := &Held{}
	return context.WithValue(ctx, heldKey{}, h), h
}

// heldIn returns the Held of a context, or nil.
func heldIn(ctx context.Context) *Held {
	h, _ := ctx.Value(heldKey{}).(*Held)
	return h
}

// Release gives back the share. An answer that is read later keeps none.
func (h *Held) Release() {
	h.keep(nil, 0)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = true
}

// keep replaces what is held by n bytes of m. A nil Held keeps nothing.
func (h *Held) keep(m *memory, n int64) {
	if h == nil {
		if m != nil {
			m.left.Release(n)
		}
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.memory != nil {
		h.memory.left.Release(h.bytes)
	}
	h.memory, h.bytes = m, n
	if h.released && m != nil {
		m.left.Release(n)
		h.memory = nil
	}
}
