package scheduler

import (
	"testing"
	"time"

	"heathershed/internal/contract"
	"heathershed/internal/vm/pace"
)

// rampController returns a controller of 16 slots whose upstream has just started
// beside peers that answer in 100 ms.
func rampController() *controller {
	c := newController(16)
	c.ramp.Start(at(0), c.slots)
	c.ramp.SetEvidence(at(0), pace.Evidence{Latency: 100 * time.Millisecond}, c.slots, 0)
	return c
}

func lookup() Request {
	r := request(1, 10_000)
	r.Idempotent = true
	return r
}

// Guards against an upstream that has just started and gets all of its slots, or a
// queue, and against other nodes that are told of all slots.
func TestRampUpLimitsRunningAndWaitingRequests(t *testing.T) {
	c := rampController()
	var entries []*entry
	for range 2 {
		entries = append(entries, mustOffer(t, c, at(0), lookup()))
	}
	waits := mustOffer(t, c, at(0), lookup())
	if !isRunning(entries[1]) || isRunning(waits) {
		t.Errorf("got states %v and %v, want two of 16 slots in use and one request waiting", entries[1].state, waits.state)
	}
	if _, refusal := c.offer(at(0), lookup()); refusal == nil || refusal.Reason != contract.ReasonOverload {
		t.Errorf("got refusal %v for a second request that waits, want overload", refusal)
	}
	if got := c.reported(at(0)); got != 2 {
		t.Errorf("got %d slots reported, want 2", got)
	}
}

// Guards against a threshold that rises because an upstream has just started: its peers
// take what it can't.
func TestRampUpDoesNotRaiseTheThreshold(t *testing.T) {
	c := rampController()
	for ms := 0; ms < 2000; ms += 50 {
		now := at(ms)
		c.ramp.SetEvidence(now, pace.Evidence{Latency: time.Millisecond}, c.slots, c.inFlight) // never as quick
		if e, refusal := c.offer(now, lookup()); refusal == nil && isRunning(e) {
			c.release(now.Add(49*time.Millisecond), e, true)
		}
	}
	if got := c.threshold(at(2000)); got != 0 || c.reported(at(2000)) != 2 {
		t.Errorf("got threshold %d with %d slots reported, want 0 with 2", got, c.reported(at(2000)))
	}
}

// Guards against an upstream of which some requests wait although the limit has gone.
func TestWaitingRequestsStartWhenTheLimitGrows(t *testing.T) {
	s := NewScheduler()
	s.Open(at(0), 16, at(60_000), true)
	s.RampUp(at(0))
	s.SetEvidence(at(0), pace.Evidence{Latency: 100 * time.Millisecond})
	if l := s.Load(at(0), ""); l.Reported != 2 || l.Slots != 16 || !l.Ramping || !l.Cold {
		t.Errorf("got %+v, want 2 of 16 slots reported while it ramps up, cold", l)
	}
	now := at(0)
	for i := 0; i < 400 && s.Load(now, "").Ramping; i++ {
		s.SetEvidence(now, pace.Evidence{Latency: 100 * time.Millisecond})
		var permits []*Permit
		for range s.Load(now, "").Usable {
			if p, refusal := s.Acquire(t.Context(), now, lookup()); refusal == nil {
				permits = append(permits, p)
			}
		}
		now = now.Add(100 * time.Millisecond)
		for _, p := range permits {
			s.Release(now, p, true)
		}
	}
	if l := s.Load(now, ""); l.Reported != 16 || l.Ramping || l.Cold {
		t.Errorf("got %+v after quick answers, want all slots, not cold", l)
	}
}

// Guards against deployments without slow start that are served in another way.
func TestWithoutEvidenceAllSlotsAreUsed(t *testing.T) {
	s := NewScheduler()
	s.Open(at(0), 16, at(1000), true)
	s.RampUp(at(0))
	if l := s.Load(at(0), ""); l.Reported != 16 || l.Usable != 16 || l.Ramping || !l.Cold {
		t.Errorf("got %+v, want all 16 slots, cold until its time", l)
	}
	order := request(1, 10_000)
	for range 16 {
		if p, refusal := s.Acquire(t.Context(), at(0), order); p == nil {
			t.Fatalf("order rejected: %+v", refusal)
		}
	}
}
