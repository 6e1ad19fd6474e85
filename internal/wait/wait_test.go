package wait

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

func TestFor(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	soon, stop := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer stop()
	cases := []struct {
		name string
		ctx  context.Context
		d    time.Duration
		want error
	}{
		{"whole", t.Context(), 10 * time.Millisecond, nil},
		{"nothing", t.Context(), 0, nil},
		{"negative", t.Context(), -time.Second, nil},
		{"ended before", ended, time.Hour, context.Canceled},
		{"ended meanwhile", soon, time.Hour, context.DeadlineExceeded},
	}
	for _, c := range cases {
		began := time.Now()
		if err := For(c.ctx, c.d); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
		if took := time.Since(began); took > time.Minute || c.want == nil && took < c.d {
			t.Errorf("%s: took %v", c.name, took)
		}
	}
}
