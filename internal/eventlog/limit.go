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
	kinds map[kind]*bucket
}

// kind is what has a rate of its own.
type kind struct {
	level   slog.Level
	message string
}

type bucket struct {
	tokens     float64
	at         time.Time
	suppressed uint64
}

// NewLimiter returns a Limiter before next.
func NewLimiter(next slog.Handler) *Limiter {
	return &Limiter{next: next, state: &limits{kinds: make(map[kind]*bucket)}}
}

// Enabled implements slog.Handler.
func (l *Limiter) Enabled(ctx context.Context, level slog.Level) bool {
	return l.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (l *Limiter) Handle(ctx context.Context, r slog.Record) error {
	suppressed, ok := l.state.take(r.Time, kind{r.Level, r.Message})
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

// Allowed reports whether a line of the message at the Info level would be
// written now, and counts it as left out where not. A caller whose line comes
// often asks before it puts the line together.
func Allowed(log *slog.Logger, message string) bool {
	l, ok := log.Handler().(*Limiter)
	return !ok || l.state.hasRoom(time.Now(), kind{slog.LevelInfo, message})
}

// hasRoom counts a line that has no room as left out, and takes nothing.
func (s *limits) hasRoom(now time.Time, k kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.bucket(now, k)
	if b == nil {
		return false
	}
	if b.tokens < 1 {
		b.suppressed++
		return false
	}
	return true
}

// take takes a line of the kind from its rate. It returns how many were left
// out before, and whether this one passes.
func (s *limits) take(now time.Time, k kind) (suppressed uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.bucket(now, k)
	if b == nil {
		return 0, false
	}
	if b.tokens < 1 {
		b.suppressed++
		return 0, false
	}
	b.tokens--
	suppressed, b.suppressed = b.suppressed, 0
	return suppressed, true
}

// bucket returns the kind's bucket, filled up to now; nil where there are too
// many kinds.
func (s *limits) bucket(now time.Time, k kind) *bucket {
	b := s.kinds[k]
	if b == nil {
		if len(s.kinds) >= maxKinds {
			return nil
		}
		b = &bucket{tokens: burst, at: now}
		s.kinds[k] = b
	}
	b.tokens = min(b.tokens+rate*max(now.Sub(b.at).Seconds(), 0), burst)
	b.at = now
	return b
}
