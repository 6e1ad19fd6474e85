package eventlog

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// rate and burst are the parameters of the token bucket of one message:
	// lines per second, and lines at a time.
	rate  = 20.0
	burst = 60.0
	// maxKeys bounds the messages with a bucket. Lines of further messages are
	// not written.
	maxKeys = 256
)

// Limiter is a slog.Handler that limits the rate of each message. Each level of
// a message has its own limit, so that frequent Info lines never suppress
// warnings and errors. The attribute "suppressed" of a line is the number of
// lines suppressed before it.
type Limiter struct {
	next  slog.Handler
	state *limits
}

type limits struct {
	mu      sync.Mutex
	buckets map[key]*bucket
}

// key identifies the lines that share a bucket.
type key struct {
	level   slog.Level
	message string
}

type bucket struct {
	tokens     float64
	at         time.Time
	suppressed uint64
}

// NewLimiter returns a Limiter that passes lines on to next.
func NewLimiter(next slog.Handler) *Limiter {
	return &Limiter{next: next, state: &limits{buckets: make(map[key]*bucket)}}
}

// Enabled implements slog.Handler.
func (l *Limiter) Enabled(ctx context.Context, level slog.Level) bool {
	return l.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (l *Limiter) Handle(ctx context.Context, r slog.Record) error {
	suppressed, ok := l.state.take(r.Time, key{r.Level, r.Message})
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

// Allowed reports whether an Info line of the message would be written now, and
// counts it as suppressed if not. Callers with frequent lines use it to avoid
// the cost of composing them. It returns true if log has no Limiter.
func Allowed(log *slog.Logger, message string) bool {
	l, ok := log.Handler().(*Limiter)
	return !ok || l.state.allowed(time.Now(), key{slog.LevelInfo, message})
}

// allowed reports whether a token is available, without taking it. If none is,
// it counts a line as suppressed.
func (s *limits) allowed(now time.Time, k key) bool {
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

// take takes a token for a line and reports whether there was one. suppressed is
// the number of lines suppressed since the last line that was written.
func (s *limits) take(now time.Time, k key) (suppressed uint64, ok bool) {
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

// bucket returns the bucket of a key, refilled up to now, or nil if there are too
// many keys.
func (s *limits) bucket(now time.Time, k key) *bucket {
	b := s.buckets[k]
	if b == nil {
		if len(s.buckets) >= maxKeys {
			return nil
		}
		b = &bucket{tokens: burst, at: now}
		s.buckets[k] = b
	}
	b.tokens = min(b.tokens+rate*max(now.Sub(b.at).Seconds(), 0), burst)
	b.at = now
	return b
}
