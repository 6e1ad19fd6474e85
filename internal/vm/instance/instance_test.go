package instance

import (
	"testing"
	"time"
)

const address = "10.0.0.1:80"

func beat(id string, seq uint64) Heartbeat {
	return Heartbeat{ID: id, Service: "span", Address: address, Slots: 4, Seq: seq}
}

// step is one message and what it must do.
type step struct {
	what  string
	do    func(b *Tracker) Change
	want  Change
	id    string
	ready bool
}

func play(t *testing.T, steps []step) {
	t.Helper()
	b := NewTracker(address)
	for i, s := range steps {
		if got := s.do(b); got != s.want {
			t.Fatalf("step %d, %s: %v, want %v", i, s.what, got, s.want)
		}
		if got := b.State(); got.ID != s.id || got.Ready != s.ready {
			t.Fatalf("step %d, %s: state %+v, want %q ready %v", i, s.what, got, s.id, s.ready)
		}
	}
}

func beats(h Heartbeat) func(*Tracker) Change {
	return func(b *Tracker) Change { return b.HandleHeartbeat(time.Unix(0, 0), h) }
}

func TestLateAndForeignHeartbeatsChangeNothing(t *testing.T) {
	draining := beat("a", 3)
	draining.Draining = true
	foreign := beat("c", 1)
	foreign.Address = "10.0.0.2:80"
	play(t, []step{
		{"first", beats(beat("a", 1)), Started, "a", true},
		{"next", beats(beat("a", 2)), Same, "a", true},
		{"drains", beats(draining), Leaving, "a", false},
		{"late beat of before the drain", beats(beat("a", 2)), Ignored, "a", false},
		{"other address", beats(foreign), Ignored, "a", false},
		{"new start", beats(beat("b", 1)), Started, "b", true},
		{"late beat of the old start", beats(beat("a", 9)), Ignored, "b", true},
	})
}

func TestDeregisteredStartNeverReturns(t *testing.T) {
	leave := func(id string) func(*Tracker) Change {
		return func(b *Tracker) Change { return b.Deregister(id) }
	}
	play(t, []step{
		{"first", beats(beat("a", 1)), Started, "a", true},
		{"leaves", leave("a"), Leaving, "a", false},
		{"late beat", beats(beat("a", 2)), Ignored, "a", false},
		{"leave of an unknown start", leave("x"), Ignored, "a", false},
		{"late beat of that start", beats(beat("x", 1)), Ignored, "a", false},
		{"new start", beats(beat("b", 1)), Started, "b", true},
	})
}

func TestUpstreamsOwnWordIsStronger(t *testing.T) {
	misdirected := func(expected, actual string) func(*Tracker) Change {
		return func(b *Tracker) Change { return b.Misdirected(expected, actual) }
	}
	refused := func(id string) func(*Tracker) Change {
		return func(b *Tracker) Change { return b.ConnectionRefused(id) }
	}
	play(t, []step{
		{"record of before", func(b *Tracker) Change { return b.Restore("old", "span", 4) }, Started, "old", true},
		{"another answers", misdirected("old", "new"), Lost, "", false},
		{"late beat of the old one", beats(beat("old", 7)), Ignored, "", false},
		{"the new one beats", beats(beat("new", 1)), Started, "new", true},
		{"late beat of an unknown start", beats(beat("ghost", 3)), Started, "ghost", true},
		{"the new one answers", misdirected("ghost", "new"), Lost, "", false},
		{"and beats again", beats(beat("new", 2)), Started, "new", true},
		{"nothing listens", refused("new"), Lost, "new", false},
		{"refused again", refused("new"), Same, "new", false},
		{"beats again", beats(beat("new", 3)), Returned, "new", true},
	})
}

func TestRecordIsNotBelievedOverAHeartbeat(t *testing.T) {
	play(t, []step{
		{"first", beats(beat("a", 1)), Started, "a", true},
		{"record", func(b *Tracker) Change { return b.Restore("old", "span", 4) }, Ignored, "a", true},
	})
}

func TestEndedStartsAreBounded(t *testing.T) {
	b := NewTracker(address)
	for i := range 10 * maxEnded {
		b.Deregister(time.Duration(i).String())
	}
	if len(b.ended) > maxEnded {
		t.Fatalf("%d ended starts remembered, want at most %d", len(b.ended), maxEnded)
	}
}
