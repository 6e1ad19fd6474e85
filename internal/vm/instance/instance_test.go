package instance

import (
	"testing"
	"time"
)

const address = "10.0.0.1:80"

func heartbeat(id string, seq uint64) Heartbeat {
	return Heartbeat{ID: id, Service: "span", Address: address, Slots: 4, Seq: seq}
}

// step is one message and the Change and State that it must lead to.
type step struct {
	what  string
	do    func(tr *Tracker) Change
	want  Change
	id    string
	ready bool
}

func run(t *testing.T, steps []step) {
	t.Helper()
	tr := NewTracker(address)
	for i, s := range steps {
		if got := s.do(tr); got != s.want {
			t.Fatalf("step %d, %s: got %v, want %v", i, s.what, got, s.want)
		}
		if got := tr.State(); got.ID != s.id || got.Ready != s.ready {
			t.Fatalf("step %d, %s: got state %+v, want %q ready %v", i, s.what, got, s.id, s.ready)
		}
	}
}

func handle(h Heartbeat) func(*Tracker) Change {
	return func(tr *Tracker) Change { return tr.HandleHeartbeat(time.Unix(0, 0), h) }
}

func TestLateAndForeignHeartbeatsAreIgnored(t *testing.T) {
	draining := heartbeat("a", 3)
	draining.Draining = true
	foreign := heartbeat("c", 1)
	foreign.Address = "10.0.0.2:80"
	run(t, []step{
		{"first", handle(heartbeat("a", 1)), Started, "a", true},
		{"next", handle(heartbeat("a", 2)), Same, "a", true},
		{"drains", handle(draining), Leaving, "a", false},
		{"late heartbeat from before the drain", handle(heartbeat("a", 2)), Ignored, "a", false},
		{"other address", handle(foreign), Ignored, "a", false},
		{"new instance", handle(heartbeat("b", 1)), Started, "b", true},
		{"late heartbeat of the old instance", handle(heartbeat("a", 9)), Ignored, "b", true},
	})
}

func TestDeregisteredInstanceNeverReturns(t *testing.T) {
	deregister := func(id string) func(*Tracker) Change {
		return func(tr *Tracker) Change { return tr.Deregister(id) }
	}
	run(t, []step{
		{"first", handle(heartbeat("a", 1)), Started, "a", true},
		{"deregisters", deregister("a"), Leaving, "a", false},
		{"late heartbeat", handle(heartbeat("a", 2)), Ignored, "a", false},
		{"an unknown instance deregisters", deregister("x"), Ignored, "a", false},
		{"late heartbeat of that instance", handle(heartbeat("x", 1)), Ignored, "a", false},
		{"new instance", handle(heartbeat("b", 1)), Started, "b", true},
	})
}

func TestAnswersTakePrecedenceOverHeartbeats(t *testing.T) {
	misdirected := func(expected, actual string) func(*Tracker) Change {
		return func(tr *Tracker) Change { return tr.Misdirected(expected, actual) }
	}
	refused := func(id string) func(*Tracker) Change {
		return func(tr *Tracker) Change { return tr.ConnectionRefused(id) }
	}
	run(t, []step{
		{"record of an earlier process", func(tr *Tracker) Change { return tr.Restore("old", "span", 4) }, Started, "old", true},
		{"another instance answers", misdirected("old", "new"), Lost, "", false},
		{"late heartbeat of the old instance", handle(heartbeat("old", 7)), Ignored, "", false},
		{"heartbeat of the new instance", handle(heartbeat("new", 1)), Started, "new", true},
		{"late heartbeat of an unknown instance", handle(heartbeat("ghost", 3)), Started, "ghost", true},
		{"the new instance answers", misdirected("ghost", "new"), Lost, "", false},
		{"next heartbeat of the new instance", handle(heartbeat("new", 2)), Started, "new", true},
		{"connection refused", refused("new"), Lost, "new", false},
		{"connection refused again", refused("new"), Same, "new", false},
		{"heartbeat after the refusals", handle(heartbeat("new", 3)), Returned, "new", true},
	})
}

func TestLostUntilTheNextHeartbeat(t *testing.T) {
	tr := NewTracker(address)
	for _, s := range []struct {
		what  string
		apply func(*Tracker) Change
		want  bool
	}{
		{"first", handle(heartbeat("a", 1)), false},
		{"connection refused", func(tr *Tracker) Change { return tr.ConnectionRefused("a") }, true},
		{"new instance", handle(heartbeat("b", 1)), false},
		{"deregisters", func(tr *Tracker) Change { return tr.Deregister("b") }, false},
		{"connection refused once it has left", func(tr *Tracker) Change { return tr.ConnectionRefused("b") }, false},
	} {
		s.apply(tr)
		if got := tr.State().Lost; got != s.want {
			t.Errorf("%s: got lost %v, want %v", s.what, got, s.want)
		}
	}
}

func TestRestoreAfterAHeartbeatIsIgnored(t *testing.T) {
	run(t, []step{
		{"first", handle(heartbeat("a", 1)), Started, "a", true},
		{"record", func(tr *Tracker) Change { return tr.Restore("old", "span", 4) }, Ignored, "a", true},
	})
}

func TestEndedInstancesAreBounded(t *testing.T) {
	tr := NewTracker(address)
	for i := range 10 * maxEnded {
		tr.Deregister(time.Duration(i).String())
	}
	if len(tr.ended) > maxEnded {
		t.Fatalf("got %d ended instances remembered, want at most %d", len(tr.ended), maxEnded)
	}
}
