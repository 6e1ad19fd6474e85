package freshness

import (
	"testing"
	"time"
)

func TestNewestConfirmationCounts(t *testing.T) {
	start := time.Unix(1000, 0)
	var tracker Tracker
	if _, ok := tracker.Newest(); ok {
		t.Fatal("confirmed before any confirmation")
	}
	tracker.Confirm(Confirmation{At: start, By: "read"})
	tracker.Confirm(Confirmation{At: start.Add(2 * time.Second), By: "vm-2"})
	tracker.Confirm(Confirmation{At: start.Add(time.Second), By: "late"})
	got, _ := tracker.Newest()
	if want := (Confirmation{At: start.Add(2 * time.Second), By: "vm-2"}); got != want {
		t.Errorf("newest: got %+v, want %+v", got, want)
	}
	if age := got.Age(start.Add(5 * time.Second)); age != 3*time.Second {
		t.Errorf("age: got %v, want 3s", age)
	}
	if age := got.Age(start); age != 0 {
		t.Errorf("age before the confirmation: got %v, want 0", age)
	}
}
