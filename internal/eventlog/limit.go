package eventlog

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// rate and burst bound the lines of one message, a second and at once.
	rate  = 20.0
	burst = 60.0
	// maxKinds bounds the messages that are told apart.
	maxKinds = 256
)

// Limiter is a slog.Handler that passes on a bounded rate of each message.
// Warnings and errors have rates of their own, so that lines of what went well
// never crowd them out. The next line of a message tells how many were left
// out before it.
type Limiter struct {
	next  slog.Handler
	state *limits
}

type limits struct {
	mu    sync.Mutex
	kinds map[string]*bucket
}

type bucket struct {
	tokens     float64
	at         time.Time
	suppressed uint64
}

// NewLimiter returns a Limiter before next.
func NewLimiter(next slog.Handler) *Limiter {
	return &Limiter{next: next, state: &limits{kinds: make(map[string]*bucket)}}
}

// Enabled implements slog.Handler.
func (l *Limiter) Enabled(ctx context.Context, level slog.Level) bool {
	return l.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (l *Limiter) Handle(ctx context.Context, r slog.Record) error {
	suppressed, ok := l.state.take(r.Time, r.Level.String()+r.Message)
	if !ok {
		return nil
	}
	if suppressed > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Uint64("suppressed", suppressed))
	}
	return l.next.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (l *Limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Limiter{next: l.next.WithAttrs(attrs), state: l.state}
}

// WithGroup implements slog.Handler.
func (l *Limiter) WithGroup(name string) slog.Handler {
	return &Limiter{next: l.next.WithGroup(name), state: l.state}
}

// take takes a line of the kind from its rate. It returns how many were left
// out before, and whether this one passes.
func (s *limits) take(now time.Time, kind string) (suppressed uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.kinds[kind]
	if b == nil {
		if len(s.kinds) >= maxKinds {
			return 0, false
		}
		b = &bucket{tokens: burst, at: now}
		s.kinds[kind] = b
	}
	b.tokens = min(b.tokens+rate*max(now.Sub(b.at).Seconds(), 0), burst)
	b.at = now
	if b.tokens < 1 {
		b.suppressed++
		return 0, false
	}
	b.tokens--
	suppressed, b.suppressed = b.suppressed, 0
	return suppressed, true
}
