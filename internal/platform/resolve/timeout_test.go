package resolve

import (
	"context"
	"testing"
	"time"

	"heathershed/internal/platform"
	"heathershed/internal/platform/fake"
)

// slowWrites delays each write by a fixed time.
type slowWrites struct {
	platform.Store
	delay time.Duration
}

func (s slowWrites) Put(ctx context.Context, key string, value []byte, base platform.Version, writeID string) (platform.Object, error) {
	select {
	case <-ctx.Done():
		return platform.Object{}, ctx.Err()
	case <-time.After(s.delay):
		return s.Store.Put(ctx, key, value, base, writeID)
	}
}

func TestWriteTimeoutGrowsWithSize(t *testing.T) {
	const timeout, delay = 50 * time.Millisecond, 300 * time.Millisecond
	s := New(slowWrites{fake.New(), delay}, Options{CallTimeout: timeout, Attempts: 1})
	if _, err := s.Put(t.Context(), "large", make([]byte, platform.MaxValue), 0, "w1"); err != nil {
		t.Errorf("write of a large value: got %v, want no error", err)
	}
	if _, err := s.Put(t.Context(), "small", []byte("1"), 0, "w2"); err == nil {
		t.Error("write of a small value: got no error, want a timeout")
	}
}
