package scheduler

import (
	"math"
	"testing"
	"time"

	"heathershed/internal/contract"
)

// drive offers a multiple of the work of all slots for the given number of
// seconds, less what the threshold of delay ago sheds. It returns the mean of
// the work offered in the last two seconds, as a share of the slots.
func drive(s *shedder, seconds int, multiple float64, delay time.Duration) (offered float64) {
	const (
		slots = 10
		step  = 5 * time.Millisecond
		// levels in the class of most requests
		levels = 1024.0
	)
	now := time.Unix(0, 0)
	s.since = now
	var history []float64
	lag := int(delay / step)
	var sum float64
	n, steps := 0, int(time.Duration(seconds)*time.Second/step)
	for i := range steps {
		history = append(history, float64(s.threshold()))
		admitted := 0.0
		if i >= lag {
			admitted = history[i-lag]
		}
		load := multiple * (1 - min(admitted/levels, 1))
		s.offered(time.Duration(load*slots*float64(step)), &Request{Admitted: contract.Level(admitted)})
		now = now.Add(step)
		s.updateThreshold(now, 20*time.Millisecond, slots, slots, nil)
		if i >= steps-int(2*time.Second/step) {
			sum += load
			n++
		}
	}
	return sum / float64(n)
}

func TestThresholdKeepsTheDemandNearTheSlots(t *testing.T) {
	for _, multiple := range []float64{1.2, 1.5, 2} {
		var s shedder
		got := drive(&s, 8, multiple, 400*time.Millisecond)
		if got < 0.9 || got > 1.05 {
			t.Errorf("load of %.1f times the slots: got an offered share of %.2f, want 0.9 to 1.05", multiple, got)
		}
	}
}

// TestThresholdSettlesThoughCallsComeLate guards against a threshold that swings
// because it goes on moving while its effect is still on the way.
func TestThresholdSettlesThoughCallsComeLate(t *testing.T) {
	for _, delay := range []time.Duration{900 * time.Millisecond, 1500 * time.Millisecond} {
		for _, multiple := range []float64{1.2, 1.5, 2} {
			var s shedder
			if got := drive(&s, 8, multiple, delay); got < 0.9 || got > 1.05 {
				t.Errorf("load of %.1f times the slots, %v late: got an offered share of %.2f, want 0.9 to 1.05", multiple, delay, got)
			}
		}
	}
}

func TestLoadBelowTheSlotsIsNotShed(t *testing.T) {
	var s shedder
	const rounding = 1e-9
	if got := drive(&s, 5, 0.9, 400*time.Millisecond); math.Abs(got-0.9) > rounding || s.threshold() != 0 {
		t.Fatalf("got an offered share of %v and threshold %d, want 0.9 and 0", got, s.threshold())
	}
}

func TestThresholdIsZeroTwoSecondsAfterOverload(t *testing.T) {
	var s shedder
	drive(&s, 5, 2, 400*time.Millisecond)
	if s.threshold() == 0 {
		t.Fatal("got threshold 0 at twice the load of the slots, want it above 0")
	}
	drive(&s, 2, 0.3, 400*time.Millisecond)
	if got := s.threshold(); got != 0 {
		t.Fatalf("got threshold %d two seconds after the overload, want 0", got)
	}
}

// queueOf returns a queue of like requests.
func queueOf(length int, r Request) []*entry {
	queue := make([]*entry, length)
	for i := range queue {
		queue[i] = &entry{Request: r}
	}
	return queue
}

// TestRequestsThatCanWaitDoNotRaiseTheThreshold guards against rejecting clients at
// the ingress for a queue in which all of them have the time to wait.
func TestRequestsThatCanWaitDoNotRaiseTheThreshold(t *testing.T) {
	const slots, mean = 10, 100 * time.Millisecond
	start := time.Unix(0, 0)
	cases := []struct {
		name    string
		request Request
		waiting int // 10 ms each
		rises   bool
	}{
		{"time for the wait", Request{Deadline: start.Add(4 * time.Second)}, 80, false},
		{"a wait longer than until a return", Request{Deadline: start.Add(4 * time.Second)}, 180, true},
		{"nested call", Request{Deadline: start.Add(4 * time.Second), Nested: true}, 80, true},
		{"request that makes calls", Request{Deadline: start.Add(4 * time.Second), MakesCalls: true}, 80, true},
	}
	for _, tc := range cases {
		s := shedder{since: start}
		for i := range 25 {
			s.offered(slots*minWindow, &Request{})
			s.updateThreshold(start.Add(time.Duration(i+1)*minWindow), mean, slots, slots, queueOf(tc.waiting, tc.request))
		}
		if got := s.threshold(); (got > 0) != tc.rises {
			t.Errorf("%s: got threshold %d after a second, want it above 0: %v", tc.name, got, tc.rises)
		}
	}
}

func TestLongQueueRaisesTheThresholdWhileItLasts(t *testing.T) {
	var s shedder
	s.since = time.Unix(0, 0)
	s.updateThreshold(time.Unix(1, 0), 20*time.Millisecond, 10, 10, queueOf(30, Request{Deadline: time.Unix(1, 0).Add(150 * time.Millisecond)}))
	if s.threshold() == 0 {
		t.Fatal("got threshold 0 with a wait of 60 ms in the queue and 150 ms left, want it above 0")
	}
	s.updateThreshold(time.Unix(2, 0), 20*time.Millisecond, 10, 10, nil)
	if s.threshold() != 0 {
		t.Fatal("got a threshold above 0 after the queue emptied, want 0")
	}
}

// TestWaitingCallsAreDemand guards against a threshold that stays low while call
// trees wait for one another: no more calls arrive than the slots take.
func TestWaitingCallsAreDemand(t *testing.T) {
	const slots = 10
	queue := queueOf(slots/2, Request{Nested: true, Deadline: time.Unix(10, 0)})
	s := shedder{since: time.Unix(0, 0)}
	for i := range 25 {
		s.offered(slots*minWindow*9/10, &Request{})
		s.updateThreshold(time.Unix(0, 0).Add(time.Duration(i+1)*minWindow), 20*time.Millisecond, slots, slots, queue)
	}
	if s.threshold() == 0 {
		t.Error("0.9 of the slots offered and half as many requests waiting: got threshold 0 after a second, want it above 0")
	}
}

// Guards against a threshold that rises while there is room: the mean latency that a
// stalled VM has raised makes the demand look higher than it is. Call trees are excepted,
// since the calls that they will make are not known yet.
func TestThresholdStaysWhileASlotIsFreeAndNothingWaits(t *testing.T) {
	const slots = 4
	start := time.Unix(0, 0)
	cases := []struct {
		name     string
		request  Request
		inFlight int
		rises    bool
	}{
		{"a free slot", Request{}, slots - 1, false},
		{"no free slot", Request{}, slots, true},
		{"a free slot, nested call", Request{Nested: true}, slots - 1, true},
		{"a free slot, request that makes calls", Request{MakesCalls: true}, slots - 1, true},
	}
	for _, tc := range cases {
		s := shedder{since: start}
		for i := range 25 {
			s.offered(2*slots*minWindow, &tc.request)
			s.updateThreshold(start.Add(time.Duration(i+1)*minWindow), 20*time.Millisecond, slots, tc.inFlight, nil)
		}
		if got := s.threshold(); (got > 0) != tc.rises {
			t.Errorf("%s: got threshold %d after a second at twice the slots, want it above 0: %v", tc.name, got, tc.rises)
		}
	}
}
