package memory

import (
	"testing"
	"time"
)

func TestRate(t *testing.T) {
	var r Rate
	if got := r.TimeFor(start, 100); got != 0 {
		t.Errorf("nothing known: got %v, want 0", got)
	}
	r.Add(start, 100)
	r.Add(start.Add(rateWindow), 300)
	now := start.Add(2*rateWindow - 1)
	if got := r.TimeFor(now, 800); got < 3*rateWindow || got > 4*rateWindow {
		t.Errorf("400 bytes in two windows: got %v for 800", got)
	}
	if got := r.TimeFor(now, 0); got != 0 {
		t.Errorf("no bytes: got %v, want 0", got)
	}
	if got := r.TimeFor(start.Add(time.Hour), 800); got != 0 {
		t.Errorf("long ago: got %v, want 0", got)
	}
}
