package upstream

import (
	"context"
	"sync"
	"time"
)

// Held is the share of the memory that the body of an answer keeps after it was
// read, until it has been passed on. It is safe for concurrent use.
type Held struct {
	mu       sync.Mutex
	memory   *memory
	bytes    int64
	released bool
}

// Reserve takes the share of the memory of an answer that is expected to be of n bytes,
// before its request is sent. It reports whether there is one; otherwise room is the
// expected time until there is, 0 if that is not known. Without a Held in ctx nothing is
// reserved.
func (c *Client) Reserve(ctx context.Context, n int64) (room time.Duration, ok bool) {
	h := heldIn(ctx)
	need := min(share(int(n)), c.memory.size)
	if h == nil || need == 0 {
		return 0, true
	}
	if !c.memory.tryAcquire(need) {
		return c.memory.roomIn(need), false
	}
	h.keep(c.memory, need)
	return 0, true
}

// take returns the share that is held for m, which is the caller's from then on.
func (h *Held) take(m *memory) int64 {
	if h == nil {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.memory != m {
		return 0
	}
	h.memory = nil
	return h.bytes
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
			m.release(n)
		}
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.memory != nil {
		h.memory.release(h.bytes)
	}
	h.memory, h.bytes = m, n
	if h.released && m != nil {
		m.release(n)
		h.memory = nil
	}
}
