package resolve

import (
	"context"
	"testing"
	"time"

	"heathershed/internal/platform"
	"heathershed/internal/platform/fake"
)

// slowWrites takes a fixed time for each write.
type slowWrites struct {
	platform.Store
	takes time.Duration
}

func (s slowWrites) Put(ctx context.Context, key string, value []byte, base platform.Version, writeID string) (platform.Object, error) {
	select {
	case <-ctx.Done():
		return platform.Object{}, ctx.Err()
	case <-time.After(s.takes):
		return s.Store.Put(ctx, key, value, base, writeID)
	}
}

func TestWriteHasTimeForItsSize(t *testing.T) {
	const timeout, takes = 50 * time.Millisecond, 300 * time.Millisecond
	s := New(slowWrites{fake.New(), takes}, Options{CallTimeout: timeout, Attempts: 1})
	if _, err := s.Put(t.Context(), "large", make([]byte, platform.MaxValue), 0, "w1"); err != nil {
		t.Errorf("large value: %v", err)
	}
	if _, err := s.Put(t.Context(), "small", []byte("1"), 0, "w2"); err == nil {
		t.Error("a small value was waited for")
	}
}
