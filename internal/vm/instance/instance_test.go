package instance

import (
	"math"
	"testing"
	"time"
)

const address = "10.0.0.1:80"

func heartbeat(id string, seq uint64) Heartbeat {
	return Heartbeat{ID: id, Service: "span", Address: address, Slots: 4, Seq: seq}
}

func stored(id string) Stored { return Stored{ID: id, Service: "span", Slots: 4} }

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
	tr := NewTracker(address, "span")
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
		{"other address", handle(foreign), Refused, "a", false},
		{"new instance", handle(heartbeat("b", 1)), Started, "b", true},
		{"late heartbeat of the old instance", handle(heartbeat("a", 9)), Disputed, "b", true},
	})
}

func TestDeregisteredInstanceNeverReturns(t *testing.T) {
	deregister := func(id string) func(*Tracker) Change {
		return func(tr *Tracker) Change { return tr.Deregister(Deregistration{ID: id}) }
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
		{"record of an earlier process", func(tr *Tracker) Change { return tr.Restore(stored("old")) }, Started, "old", false},
		{"another instance answers", misdirected("old", "new"), Lost, "", false},
		{"late heartbeat of the old instance", handle(heartbeat("old", 7)), Disputed, "", false},
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
	tr := NewTracker(address, "span")
	for _, s := range []struct {
		what  string
		apply func(*Tracker) Change
		want  bool
	}{
		{"first", handle(heartbeat("a", 1)), false},
		{"connection refused", func(tr *Tracker) Change { return tr.ConnectionRefused("a") }, true},
		{"new instance", handle(heartbeat("b", 1)), false},
		{"deregisters", func(tr *Tracker) Change { return tr.Deregister(Deregistration{ID: "b"}) }, false},
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
		{"record", func(tr *Tracker) Change { return tr.Restore(stored("old")) }, Ignored, "a", true},
	})
}

// TestLeavingSurvivesTheProcess guards against an instance that told an earlier process
// that it leaves, and gets requests from the next one.
func TestLeavingSurvivesTheProcess(t *testing.T) {
	restore := func(s Stored) func(*Tracker) Change {
		return func(tr *Tracker) Change { return tr.Restore(s) }
	}
	deregister := func(tr *Tracker) Change { return tr.Deregister(Deregistration{ID: "a"}) }
	draining := func(seq uint64) Heartbeat {
		h := heartbeat("a", seq)
		h.Draining = true
		return h
	}
	healthy := func(tr *Tracker) Change { return tr.Healthy("a") }
	left, drained := stored("a"), stored("a")
	left.Leaving = true
	drained.Leaving, drained.DrainSeq = true, 5
	cases := map[string][]step{
		"left for good": {
			{"record", restore(left), Started, "a", false},
			{"health check", healthy, Same, "a", false},
			{"late heartbeat", handle(heartbeat("a", 9)), Started, "a", false},
			{"next instance", handle(heartbeat("b", 1)), Started, "b", true},
		},
		"drained": {
			{"record", restore(drained), Started, "a", false},
			{"health check", healthy, Same, "a", false},
			{"late heartbeat", handle(heartbeat("a", 4)), Ignored, "a", false},
			{"heartbeat after the drain", handle(heartbeat("a", 6)), Started, "a", true},
		},
		"late heartbeat before the record": {
			{"late heartbeat", handle(heartbeat("a", 4)), Started, "a", true},
			{"record", restore(drained), Leaving, "a", false},
		},
		"heartbeat after the drain, then the record": {
			{"heartbeat", handle(heartbeat("a", 6)), Started, "a", true},
			{"record", restore(drained), Same, "a", true},
		},
		"left for good, known after a heartbeat": {
			{"heartbeat", handle(heartbeat("a", 6)), Started, "a", true},
			{"record", restore(left), Leaving, "a", false},
		},
		"deregisters before the record is read": {
			{"deregisters", deregister, Ignored, "", false},
			{"record", restore(stored("a")), Started, "a", false},
			{"health check", healthy, Same, "a", false},
		},
		"replaced before the record is read": {
			{"next instance", handle(heartbeat("b", 1)), Started, "b", true},
			{"record", restore(left), Ignored, "b", true},
		},
		"expected until it has spoken": {
			{"record", restore(stored("a")), Started, "a", false},
			{"health check of another instance", func(tr *Tracker) Change { return tr.Healthy("b") }, Same, "a", false},
			{"drains", handle(draining(2)), Started, "a", false},
		},
		"told by another node after an answer": {
			{"heartbeat", handle(heartbeat("a", 6)), Started, "a", true},
			{"answer", func(tr *Tracker) Change { return tr.HandleAnswer(time.Unix(0, 0), Answer{Instance: "a"}) }, Same, "a", true},
			{"another node", func(tr *Tracker) Change {
				return tr.Recall(time.Unix(0, 0), Report{Instance: "a", Notice: Notice{Leaving: true}})
			}, Leaving, "a", false},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) { run(t, steps) })
	}
}

// TestLostInstanceReturnsBehindALargerSequence guards against an instance that is silenced
// by one heartbeat with a large number, or by a start under the same id.
func TestLostInstanceReturnsBehindALargerSequence(t *testing.T) {
	run(t, []step{
		{"largest number", handle(heartbeat("a", math.MaxUint64)), Started, "a", true},
		{"connection refused", func(tr *Tracker) Change { return tr.ConnectionRefused("a") }, Lost, "a", false},
		{"heartbeat", handle(heartbeat("a", 2)), Returned, "a", true},
	})
}

// TestDrainBehindALargerSequenceIsObeyed guards against a drain that is acknowledged and
// ignored, after a heartbeat with a large number or a start under the same id.
func TestDrainBehindALargerSequenceIsObeyed(t *testing.T) {
	drain := heartbeat("a", 3)
	drain.Draining = true
	again := drain
	again.Seq = 4
	run(t, []step{
		{"largest number", handle(heartbeat("a", math.MaxUint64)), Started, "a", true},
		{"late heartbeat", handle(heartbeat("a", 2)), Ignored, "a", true},
		{"drain", handle(drain), Leaving, "a", false},
		{"drains still", handle(again), Ignored, "a", false},
		{"late heartbeat", handle(heartbeat("a", 5)), Ignored, "a", false},
		{"next instance", handle(heartbeat("b", 1)), Started, "b", true},
	})
}

func TestStoredSaysHowTheInstanceLeaves(t *testing.T) {
	draining := heartbeat("a", 3)
	draining.Draining = true
	again := draining
	again.Seq = 4
	tr := NewTracker(address, "span")
	for _, s := range []struct {
		what     string
		do       func(*Tracker) Change
		leaving  bool
		drainSeq uint64
	}{
		{"ready", handle(heartbeat("a", 2)), false, 0},
		{"drains", handle(draining), true, 3},
		{"drains still", handle(again), true, 3},
		{"returns", handle(heartbeat("a", 5)), false, 0},
		{"deregisters", func(tr *Tracker) Change { return tr.Deregister(Deregistration{ID: "a"}) }, true, 0},
	} {
		s.do(tr)
		if got := tr.State().Stored(); got.Leaving != s.leaving || got.DrainSeq != s.drainSeq {
			t.Errorf("%s: got %+v, want leaving %v, drain %d", s.what, got, s.leaving, s.drainSeq)
		}
	}
}

func TestEndedInstancesAreBounded(t *testing.T) {
	tr := NewTracker(address, "span")
	for i := range 10 * maxEnded {
		tr.Deregister(Deregistration{ID: time.Duration(i).String()})
	}
	if len(tr.ended) > maxEnded {
		t.Fatalf("got %d ended instances remembered, want at most %d", len(tr.ended), maxEnded)
	}
}

// Guards against an upstream that starts again under its id and is ignored, because its
// sequence numbers start anew or its earlier start has left, and against a late heartbeat
// of the earlier start that counts for the later one.
func TestUpstreamMayStartAgainUnderItsID(t *testing.T) {
	born := func(ms int64, seq uint64) Heartbeat {
		h := heartbeat("a", seq)
		h.Born = ms
		return h
	}
	draining := born(100, 9)
	draining.Draining = true
	deregister := func(tr *Tracker) Change { return tr.Deregister(Deregistration{ID: "a"}) }
	run(t, []step{
		{"first start", handle(born(100, 8)), Started, "a/100", true},
		{"drains", handle(draining), Leaving, "a/100", false},
		{"deregisters", deregister, Leaving, "a/100", false},
		{"late heartbeat of the first start", handle(born(100, 8)), Ignored, "a/100", false},
		{"second start", handle(born(200, 1)), Started, "a/200", true},
		{"late heartbeat of the first start", handle(born(100, 10)), Ignored, "a/200", true},
		{"late heartbeat without a start", handle(heartbeat("a", 11)), Ignored, "a/200", true},
		{"next", handle(born(200, 2)), Same, "a/200", true},
		{"third start, the second said nothing", handle(born(300, 1)), Started, "a/300", true},
		{"answers by its id", func(tr *Tracker) Change { return tr.Misdirected("a/300", "a") }, Same, "a/300", true},
		{"another answers", func(tr *Tracker) Change { return tr.Misdirected("a/300", "b") }, Lost, "", false},
	})
	run(t, []step{
		{"record", func(tr *Tracker) Change { return tr.Restore(stored("a/100")) }, Started, "a/100", false},
		{"health check", func(tr *Tracker) Change { return tr.Healthy("a") }, Started, "a/100", true},
		{"later start", handle(born(200, 1)), Started, "a/200", true},
	})
}
