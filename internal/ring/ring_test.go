package ring

import "testing"

func TestFullRingRejectsAndCounts(t *testing.T) {
	r := New[int](2)
	if !r.Offer(1) || !r.Offer(2) {
		t.Fatal("Offer rejected a value while there is room")
	}
	if r.Offer(3) {
		t.Fatal("Offer accepted a value although the ring is full")
	}
	if got := r.Refused(); got != 1 {
		t.Fatalf("Refused: got %d, want 1", got)
	}
	if got := <-r.Out(); got != 1 {
		t.Fatalf("first value from Out: got %d, want 1", got)
	}
}
