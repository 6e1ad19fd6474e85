package sidecar

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	store "heathershed/internal/platform"
	"heathershed/internal/settings"
)

// TestOnlyUnansweredCallCountsAsOutage guards against logging an outage of the
// store for each cancelled call and each write that lost a conflict.
func TestOnlyUnansweredCallCountsAsOutage(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		lost bool
	}{
		"answered":             {nil, false},
		"no such object":       {store.ErrNotFound, false},
		"conflict":             {store.ErrConflict, false},
		"cancelled here":       {errors.Wrap(context.Canceled, "get"), false},
		"not reached":          {store.ErrUnavailable, true},
		"answer lost":          {store.ErrUnknown, true},
		"deadline of the call": {context.DeadlineExceeded, true},
	} {
		logs := &logBuffer{}
		n := New(&settings.Sidecar{VM: "own", Upstream: "127.0.0.1:1", Platform: "127.0.0.1:1"}, slog.New(slog.NewJSONHandler(logs, nil)))
		n.observeStoreCall(callRead, time.Now(), nil)
		n.observeStoreCall(callWrite, time.Now(), c.err)
		if got := strings.Contains(logs.String(), "store lost"); got != c.lost {
			t.Errorf("%s: got logged as lost %v, want %v", name, got, c.lost)
		}
		if got := n.store.availableFor(time.Now().Add(time.Second)) == 0; got != c.lost {
			t.Errorf("%s: got unavailable %v, want %v", name, got, c.lost)
		}
	}
}
