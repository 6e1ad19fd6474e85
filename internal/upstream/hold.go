package upstream

import (
	"context"
	"sync"
	"time"
)

// Held is the share of the memory that the body of an answer keeps after it was
// read, until it has been passed on. It is safe for concurrent use.
type Held struct {
	mu     sync.Mutex
	memory *memory // nil if nothing is held
	bytes  int64
	// reserved says that the bytes are for an answer that is expected.
	reserved bool
	released bool
}

// Reserve takes the share of the memory of an answer that is expected to be of n bytes,
// before its request is sent, if there is one. If there is none because answers hold the
// memory, ok is false, and room the expected time until there is; 0 if that is not known.
// Without a Held in ctx nothing is reserved.
func (c *Client) Reserve(ctx context.Context, n int64) (room time.Duration, ok bool) {
	h := heldIn(ctx)
	need := min(share(int(n)), c.memory.size)
	if h == nil || need == 0 {
		return 0, true
	}
	if !c.memory.tryAcquire(need) {
		return c.memory.roomIn(need), c.memory.mostlyFree()
	}
	const reserved = true
	h.set(c.memory, need, reserved)
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
	h.forget()
	return h.bytes
}

// forget passes what is held to the caller.
func (h *Held) forget() {
	if h.reserved {
		h.memory.addReserved(-h.bytes)
	}
	h.memory, h.reserved = nil, false
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

// keep replaces what is held by n bytes of m that an answer has. A nil Held keeps nothing.
func (h *Held) keep(m *memory, n int64) {
	if h == nil {
		if m != nil {
			m.release(n)
		}
		return
	}
	const reserved = false
	h.set(m, n, reserved)
}

// set replaces what is held by n bytes of m.
func (h *Held) set(m *memory, n int64, reserved bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.memory; old != nil {
		h.forget()
		old.release(h.bytes)
	}
	if m == nil {
		return
	}
	if h.released {
		m.release(n)
		return
	}
	h.memory, h.bytes, h.reserved = m, n, reserved
	if reserved {
		m.addReserved(n)
	}
}
