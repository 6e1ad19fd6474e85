package admission

import (
	"testing"
	"time"

	"heathershed/internal/contract"
)

// outcomeOf returns the outcome that the events hold for a ticket.
func outcomeOf(t *testing.T, events []Event, ticket Ticket) (Outcome, contract.Reason) {
	t.Helper()
	for _, e := range events {
		if e.Ticket == ticket {
			return e.Outcome, e.Refusal.Reason
		}
	}
	t.Fatal("no event for the ticket")
	return 0, 0
}

// Waiting lookups and checks were refused with every order that was.
func TestWaitingRequestsOutliveARefusedOrder(t *testing.T) {
	cfg := DefaultConfig(1)
	cfg.ColdFraction = 1
	for _, class := range []contract.Class{contract.ClassLookup, contract.ClassCheck} {
		c := NewController(cfg, epoch)
		running, _, _ := c.Offer(epoch, request(contract.ClassOrder))
		r := request(class)
		r.Deadline = epoch.Add(5 * time.Second)
		waiting, outcome, _ := c.Offer(epoch, r)
		if outcome != Queued {
			t.Fatalf("%v: got outcome %d, want queued", class, outcome)
		}
		c.shedder.threshold = contract.LevelOf(contract.ClassOrder, 600)
		if _, outcome, _ := c.Offer(epoch, request(contract.ClassOrder)); outcome != Refused {
			t.Fatalf("order below the threshold: got outcome %d, want refused", outcome)
		}
		now := epoch.Add(20 * time.Millisecond)
		c.Done(now, running, Result{Verdict: contract.Ran})
		if got, reason := outcomeOf(t, c.Events(), waiting); got != Running {
			t.Errorf("%v with 5 s left: got outcome %d, reason %v, after an order was refused and a slot became free; want running", class, got, reason)
		}
	}
}

func TestFreeSlotGoesToAWaitingOrderFirst(t *testing.T) {
	cfg := DefaultConfig(1)
	cfg.ColdFraction = 1
	c := NewController(cfg, epoch)
	running, _, _ := c.Offer(epoch, request(contract.ClassOrder))
	lookup, _, _ := c.Offer(epoch, request(contract.ClassLookup))
	order, _, _ := c.Offer(epoch, request(contract.ClassOrder))
	for i, next := range []Ticket{order, lookup} {
		c.Done(epoch.Add(time.Duration(1+i)*time.Millisecond), running, Result{Verdict: contract.Ran})
		events := c.Events()
		if got, reason := outcomeOf(t, events, next); got != Running || len(events) != 1 {
			t.Fatalf("slot %d: got outcome %d, reason %v, %d events; want the order first, then the lookup", i, got, reason, len(events))
		}
		running = next
	}
}
