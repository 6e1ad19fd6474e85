package link

import (
	"context"
	"sync"
	"time"

	"heathershed/internal/link/liveness"
)

// pulse has the sessions of one end look at their detectors: one timer for all,
// since most sessions find nothing to do. It is safe for concurrent use.
type pulse struct {
	mu       sync.Mutex
	sessions map[*Session]struct{}
}

func newPulse() *pulse { return &pulse{sessions: make(map[*Session]struct{})} }

// run ticks until the context ends.
func (p *pulse) run(ctx context.Context) {
	ticker := time.NewTicker(liveness.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.tick(time.Now())
		}
	}
}

func (p *pulse) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		s.tick(now)
	}
}

// enter has a session ticked until the returned function runs.
func (p *pulse) enter(s *Session) (leave func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sessions[s] = struct{}{}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.sessions, s)
	}
}
