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

func TestSizes(t *testing.T) {
	var s Sizes
	if got := s.Expected("a"); got != 0 {
		t.Errorf("nothing known: got %d, want 0", got)
	}
	s.Observe("a", 1000)
	s.Observe("b", 10)
	if a, b := s.Expected("a"), s.Expected("b"); a != 1000 || b != 10 {
		t.Errorf("got %d and %d, want the first sizes", a, b)
	}
	for range 100 {
		s.Observe("a", 200)
	}
	if got := s.Expected("a"); got < 200 || got > 201 {
		t.Errorf("got %d, want the size of the recent ones", got)
	}
}
