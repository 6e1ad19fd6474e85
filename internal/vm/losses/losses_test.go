package losses

import (
	"testing"
	"time"
)

var epoch = time.Unix(1000, 0)

// record records outcomes at a rate a second, every period-th of them lost.
func record(t *Tracker, from time.Time, perSecond int, length time.Duration, period int) (end time.Time) {
	now := from
	for i := range int(length.Seconds() * float64(perSecond)) {
		now = from.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		t.Record(now, period > 0 && i%period == 0)
	}
	return now
}

func TestRate(t *testing.T) {
	cases := []struct {
		name     string
		prepare  func(t *Tracker) time.Time
		min, max float64
	}{
		{"nothing seen", func(*Tracker) time.Time { return epoch }, 0, 0},
		{"one of one", func(tr *Tracker) time.Time { tr.Record(epoch, true); return epoch }, 0.2, 0.3},
		{"one of many", func(tr *Tracker) time.Time {
			now := record(tr, epoch, 100, 2*time.Second, 0)
			tr.Record(now, true)
			return now
		}, 0, 0.03},
		{"half of many", func(tr *Tracker) time.Time { return record(tr, epoch, 100, 2*time.Second, 2) }, 0.45, 0.5},
		{"half of many since 0.3 s", func(tr *Tracker) time.Time {
			return record(tr, record(tr, epoch, 100, 2*time.Second, 0), 100, 300*time.Millisecond, 2)
		}, 0.12, 0.25},
		{"none since 2 s", func(tr *Tracker) time.Time {
			return record(tr, record(tr, epoch, 100, 2*time.Second, 2), 100, 2*time.Second, 0)
		}, 0, 0.05},
		{"idle for 3 s", func(tr *Tracker) time.Time { return record(tr, epoch, 100, 2*time.Second, 2).Add(3 * time.Second) }, 0, 0.2},
		{"another instance", func(tr *Tracker) time.Time {
			now := record(tr, epoch, 100, 2*time.Second, 2)
			tr.Reset()
			return now
		}, 0, 0},
	}
	for _, c := range cases {
		var tr Tracker
		now := c.prepare(&tr)
		if got := tr.Rate(now); got < c.min || got > c.max {
			t.Errorf("%s: got %.3f, want %v to %v", c.name, got, c.min, c.max)
		}
	}
}

// TestClockThatStandsStill guards against a decay by a time that does not pass.
func TestClockThatStandsStill(t *testing.T) {
	var tr Tracker
	tr.Record(epoch, true)
	tr.Record(epoch.Add(-time.Second), true)
	if got := tr.Rate(epoch); got < 0.3 || got > 0.5 {
		t.Errorf("got %.3f, want 2 of 5", got)
	}
}
