package freshness

import (
	"testing"
	"time"
)

const limit = 500 * time.Millisecond

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func TestNewestConfirmationCounts(t *testing.T) {
	tracker := New(limit, start)
	if _, ok := tracker.Newest(); ok {
		t.Fatal("confirmed before any confirmation")
	}
	tracker.Read(at(time.Second))
	tracker.Heard(Confirmation{At: at(2 * time.Second), By: "vm-2"})
	tracker.Heard(Confirmation{At: at(1500 * time.Millisecond), By: "late"})
	got, _ := tracker.Newest()
	if want := (Confirmation{At: at(2 * time.Second), By: "vm-2"}); got != want {
		t.Errorf("newest: got %+v, want %+v", got, want)
	}
	if age := got.Age(at(5 * time.Second)); age != 3*time.Second {
		t.Errorf("age: got %v, want 3s", age)
	}
	if age := got.Age(start); age != 0 {
		t.Errorf("age before the confirmation: got %v, want 0", age)
	}
}

func TestOnlyOwnReadsAreReported(t *testing.T) {
	tracker := New(limit, start)
	tracker.Heard(Confirmation{At: at(time.Second), By: "vm-2"})
	if _, ok := tracker.LastRead(); ok {
		t.Error("read reported that another node has made")
	}
	tracker.Read(at(2 * time.Second))
	tracker.Heard(Confirmation{At: at(3 * time.Second), By: "vm-2"})
	if got, ok := tracker.LastRead(); !ok || got != at(2*time.Second) {
		t.Errorf("last read: got %v, %v, want that of 2 s", got, ok)
	}
}

func TestReadIsDueAfterTheLimit(t *testing.T) {
	cases := []struct {
		name           string
		change         func(*Tracker)
		earliest, last time.Duration
	}{
		{"start", func(*Tracker) {}, limit, 2 * limit},
		{"read", func(tr *Tracker) { tr.Read(at(time.Second)) }, time.Second + limit, time.Second + 2*limit},
		{"heard", func(tr *Tracker) { tr.Heard(Confirmation{At: at(time.Second)}) }, time.Second + limit, time.Second + 2*limit},
		{"heard late", func(tr *Tracker) {
			tr.Read(at(2 * time.Second))
			tr.Heard(Confirmation{At: at(time.Second)})
		}, 2*time.Second + limit, 2*time.Second + 2*limit},
		{"required", func(tr *Tracker) {
			tr.Read(at(time.Second))
			tr.RequireRead(at(time.Second))
		}, time.Second, time.Second + limit},
		{"required when already due", func(tr *Tracker) { tr.RequireRead(at(3 * time.Second)) }, limit, 2 * limit},
		{"other limit", func(tr *Tracker) {
			tr.SetLimit(2 * limit)
			tr.Read(at(time.Second))
		}, time.Second + 2*limit, time.Second + 4*limit},
	}
	for _, c := range cases {
		for range 100 {
			tracker := New(limit, start)
			c.change(tracker)
			if due := tracker.Due().Sub(start); due < c.earliest || due > c.last {
				t.Fatalf("%s: due after %v, want %v to %v", c.name, due, c.earliest, c.last)
			}
		}
	}
}

// TestFewOfManyNodesRead simulates fleets in which each read is reported to the
// linked nodes after a delay. Node i is linked with those around it in a ring.
func TestFewOfManyNodesRead(t *testing.T) {
	const (
		delay  = 2 * time.Millisecond
		length = 10 * time.Second
	)
	for _, c := range []struct{ nodes, links int }{{1, 0}, {6, 5}, {60, 59}, {300, 299}, {300, 48}, {600, 48}} {
		trackers := make([]*Tracker, c.nodes)
		for i := range trackers {
			trackers[i] = New(limit, start)
		}
		reads := 0
		for now := start; now.Before(start.Add(length)); now = now.Add(time.Millisecond) {
			for i, tr := range trackers {
				if now.Before(tr.Due()) {
					continue
				}
				reads++
				tr.Read(now)
				for k := 1; k <= c.links; k++ {
					other := trackers[(i+c.nodes-c.links/2+k)%c.nodes]
					if other != tr && now.Add(delay).Before(other.Due()) {
						other.Heard(Confirmation{At: now})
					}
				}
			}
		}
		rate := float64(reads) / length.Seconds()
		t.Logf("%d nodes with %d links: %.1f reads a second", c.nodes, c.links, rate)
		groups := float64(c.nodes) / float64(c.links+1)
		if most := 3 * groups / limit.Seconds(); rate > most {
			t.Errorf("%d nodes with %d links: got %.1f reads a second, want at most %.0f", c.nodes, c.links, rate, most)
		}
	}
}
