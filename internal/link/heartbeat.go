package link

import (
	"context"
	"sync"
	"time"

	"heathershed/internal/link/liveness"
)

// heartbeatLoop ticks the failure detectors of all sessions of a Set or Server.
// One timer serves them all, because most sessions have nothing to do at a
// tick. It is safe for concurrent use.
type heartbeatLoop struct {
	mu       sync.Mutex
	sessions map[*Session]struct{}
}

func newHeartbeatLoop() *heartbeatLoop { return &heartbeatLoop{sessions: make(map[*Session]struct{})} }

// run ticks until the context ends.
func (h *heartbeatLoop) run(ctx context.Context) {
	ticker := time.NewTicker(liveness.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.tick(time.Now())
		}
	}
}

func (h *heartbeatLoop) tick(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.sessions {
		s.tick(now)
	}
}

// register adds a session, which is ticked until the returned function runs.
func (h *heartbeatLoop) register(s *Session) (unregister func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sessions[s] = struct{}{}
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.sessions, s)
	}
}
