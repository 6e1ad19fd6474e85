package admission

import (
	"testing"
	"time"

	"heathershed/internal/contract"
)

// A threshold whose cause is over must not shed requests while slots are free,
// nor be announced to ingresses. Once the slots are in use it applies again.
func TestThresholdAppliesOnlyWithoutFreeSlots(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewController(DefaultConfig(40), now)
	c.shedder.threshold = contract.LevelOf(contract.ClassCheck, 0)
	lookup := Request{Level: contract.LevelOf(contract.ClassLookup, 5)}
	if announced := c.Load().Threshold; announced != 0 {
		t.Errorf("idle: announced threshold %d, want 0", announced)
	}
	for c.inFlight < c.classLimit(contract.ClassLookup) {
		if _, out, refusal := c.Offer(now, lookup); out != Running {
			t.Fatalf("with %d of %d in flight: outcome %d, reason %v, want running", c.inFlight, c.classLimit(contract.ClassLookup), out, refusal.Reason)
		}
	}
	if _, out, refusal := c.Offer(now, lookup); out != Refused || refusal.Reason != contract.ReasonOverload {
		t.Errorf("full: outcome %d, reason %v, want refused for overload", out, refusal.Reason)
	}
	if announced := c.Load().Threshold; announced != c.shedder.threshold {
		t.Errorf("full: announced threshold %d, want %d", announced, c.shedder.threshold)
	}
}
