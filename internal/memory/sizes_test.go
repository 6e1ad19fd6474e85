package memory

import (
	"testing"
	"time"
)

// Guards against a size that is expected for good, and against one that is that of a single
// answer.
func TestSizes(t *testing.T) {
	var s Sizes
	if got := s.Expected(start, "a"); got != (Expectation{}) {
		t.Errorf("nothing known: got %+v", got)
	}
	s.Observe(start, "a", 1000)
	s.Observe(start, "b", 10)
	if a, b := s.Expected(start, "a").Bytes, s.Expected(start, "b").Bytes; a != 1000 || b != 10 {
		t.Errorf("got %d and %d, want the first sizes", a, b)
	}
	for range 100 {
		s.Observe(start, "a", 200)
	}
	now := start.Add(sizeLife)
	if got := s.Expected(now, "a"); got.Bytes < 200 || got.Bytes > 201 || got.Age != sizeLife {
		t.Errorf("got %+v, want the size of the recent ones", got)
	}
	now = now.Add(time.Second)
	if got := s.Expected(now, "a"); got != (Expectation{}) {
		t.Errorf("long after the last one: got %+v", got)
	}
	s.Observe(now, "a", 5000)
	if got := s.Expected(now, "a").Bytes; got != 5000 {
		t.Errorf("the first one after that: got %d, want its size", got)
	}
}
