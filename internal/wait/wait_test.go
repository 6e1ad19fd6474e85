package wait

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

func TestFor(t *testing.T) {
	done, cancel := context.WithCancel(t.Context())
	cancel()
	soon, stop := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer stop()
	cases := []struct {
		name string
		ctx  context.Context
		d    time.Duration
		want error
	}{
		{"full wait", t.Context(), 10 * time.Millisecond, nil},
		{"zero", t.Context(), 0, nil},
		{"negative", t.Context(), -time.Second, nil},
		{"done before", done, time.Hour, context.Canceled},
		{"done during the wait", soon, time.Hour, context.DeadlineExceeded},
	}
	for _, c := range cases {
		began := time.Now()
		if err := For(c.ctx, c.d); !errors.Is(err, c.want) {
			t.Errorf("%s: got error %v, want %v", c.name, err, c.want)
		}
		if took := time.Since(began); took > time.Minute || c.want == nil && took < c.d {
			t.Errorf("%s: took %v", c.name, took)
		}
	}
}

func TestBackoffDoublesUpToMax(t *testing.T) {
	const base, most = 100 * time.Millisecond, 700 * time.Millisecond
	lowest := func(int64) int64 { return 0 }
	highest := func(n int64) int64 { return n - 1 }
	full := []time.Duration{base, 2 * base, 4 * base, most, most}
	for name, c := range map[string]struct {
		int64N  func(int64) int64
		divisor time.Duration
	}{
		"lowest number":  {lowest, 2},
		"highest number": {highest, 1},
	} {
		b := Backoff{Base: base, Max: most, Int64N: c.int64N}
		for i, d := range full {
			if got := b.Next(); got != d/c.divisor {
				t.Errorf("%s: delay %d is %v, want %v", name, i, got, d/c.divisor)
			}
		}
		b.Reset()
		if got := b.Next(); got != base/c.divisor {
			t.Errorf("%s: delay after Reset is %v, want %v", name, got, base/c.divisor)
		}
	}
}

func TestBackoffStaysWithinBounds(t *testing.T) {
	b := Backoff{Base: time.Second, Max: time.Minute}
	for i := range 100 {
		if got := b.Next(); got < time.Second/2 || got > time.Minute {
			t.Fatalf("delay %d is %v, want 500ms to 1m", i, got)
		}
	}
}

func TestRetryEndsWithSuccessOrContext(t *testing.T) {
	tries := 0
	b := Backoff{Base: time.Millisecond, Max: time.Millisecond}
	b.Retry(t.Context(), func() bool { tries++; return tries == 3 })
	if tries != 3 {
		t.Errorf("got %d tries, want 3", tries)
	}
	ctx, cancel := context.WithCancel(t.Context())
	b.Retry(ctx, func() bool { cancel(); tries++; return false })
	if tries != 4 {
		t.Errorf("got %d tries, want 4: none after ctx is done", tries)
	}
}

func TestSignal(t *testing.T) {
	done, cancel := context.WithCancel(t.Context())
	cancel()
	for name, c := range map[string]struct {
		ctx  context.Context
		sent int
		d    time.Duration
		want bool
	}{
		"none":            {t.Context(), 0, time.Millisecond, false},
		"sent before":     {t.Context(), 1, time.Hour, true},
		"sent twice":      {t.Context(), 2, time.Hour, true},
		"context is done": {done, 0, time.Hour, false},
	} {
		s := NewSignal()
		for range c.sent {
			s.Send()
		}
		if got := s.Wait(c.ctx, c.d); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
		if s.Wait(t.Context(), time.Millisecond) {
			t.Errorf("%s: a second signal is pending", name)
		}
	}
}
