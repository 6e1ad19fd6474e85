package platform

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

func TestAvailabilityChanges(t *testing.T) {
	at := func(second int) time.Time { return time.Unix(int64(second), 0) }
	var a Availability
	if !a.AvailableSince().IsZero() || !a.UnavailableSince().IsZero() {
		t.Fatalf("got %+v before any call, want zero times", a)
	}
	for _, c := range []struct {
		second      int
		answered    bool
		want        AvailabilityChange
		since, lost int // 0: none
	}{
		{1, true, Unchanged, 1, 0},
		{2, true, Unchanged, 1, 0},
		{3, false, Lost, 0, 3},
		{4, false, Unchanged, 0, 3},
		{5, true, Regained, 5, 0},
		{6, true, Unchanged, 5, 0},
		{7, false, Lost, 0, 7},
	} {
		if got := a.Record(at(c.second), c.answered); got != c.want {
			t.Errorf("second %d: got change %d, want %d", c.second, got, c.want)
		}
		if got := a.AvailableSince(); got.IsZero() != (c.since == 0) || c.since > 0 && !got.Equal(at(c.since)) {
			t.Errorf("second %d: got available since %v, want %d", c.second, got, c.since)
		}
		if got := a.UnavailableSince(); got.IsZero() != (c.lost == 0) || c.lost > 0 && !got.Equal(at(c.lost)) {
			t.Errorf("second %d: got unavailable since %v, want %d", c.second, got, c.lost)
		}
	}
}

func TestIsAnswer(t *testing.T) {
	for err, want := range map[error]bool{
		nil: true, ErrConflict: true, ErrNotFound: true, ErrCompacted: true, ErrTooLarge: true,
		ErrUnknown: false, ErrUnavailable: false, ErrLimited: false, errors.New("other"): false,
	} {
		if got := IsAnswer(err); got != want {
			t.Errorf("%v: got IsAnswer %v", err, got)
		}
		if err != nil && IsAnswer(errors.Wrap(err, "wrapped")) != want {
			t.Errorf("%v wrapped: want IsAnswer %v", err, want)
		}
	}
}
