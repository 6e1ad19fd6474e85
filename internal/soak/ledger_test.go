package soak

import (
	"testing"
	"time"
)

// TestLedgerDetectsEachViolation guards against a ledger that overlooks a
// broken promise. It covers the promises that the ledger checks without the
// other parts.
func TestLedgerDetectsEachViolation(t *testing.T) {
	cases := []struct {
		promise Promise
		violate func(l *Ledger)
	}{
		{Doubled, func(l *Ledger) { l.RecordSent("o", true); l.RecordRun("o"); l.RecordRun("o") }},
		{FalseNotRun, func(l *Ledger) { l.RecordSent("a", false); l.RecordRun("a"); l.RecordOutcome("a", OutcomeNotRun) }},
		{FalseNotRun, func(l *Ledger) { l.RecordSent("a", false); l.RecordOutcome("a", OutcomeNotRun); l.RecordRun("a") }},
		{Partial, func(l *Ledger) { l.RecordSent("a", false); l.RecordOutcome("a", OutcomeComplete) }},
		{Budget, func(l *Ledger) {
			l.RecordSent("a", false)
			l.RecordRun("a")
			l.RecordRun("a")
			l.CheckBudget(Counts{}, 0.2, 0)
		}},
	}
	for _, c := range cases {
		l := NewLedger(time.Now())
		c.violate(l)
		if found := l.Violations(); len(found) != 1 || found[0].Promise != c.promise {
			t.Errorf("%s: got %v, want one violation of this promise", c.promise, found)
		}
	}
}

func TestLedgerHasNoFalseViolations(t *testing.T) {
	l := NewLedger(time.Now())
	l.RecordSent("lookup", false)
	l.RecordRun("lookup")
	l.RecordRun("lookup")
	l.RecordOutcome("lookup", OutcomeComplete)
	l.RecordSent("order", true)
	l.RecordRun("order")
	l.RecordOutcome("order", OutcomeUnknown)
	l.RecordSent("refused", true)
	l.RecordOutcome("refused", OutcomeNotRun)
	l.CheckBudget(Counts{}, 0.2, 0)
	if found := l.Violations(); len(found) > 0 {
		t.Fatal(found)
	}
}

func TestNoFaultSince(t *testing.T) {
	l := NewLedger(time.Now())
	before := time.Now()
	if !l.NoFaultSince(before, faultNode) {
		t.Error("got a fault before any began")
	}
	end := l.BeginFault(faultNode)
	if l.NoFaultSince(before, faultNode) {
		t.Error("got no fault during the fault")
	}
	end()
	if l.NoFaultSince(before, faultNode) || !l.NoFaultSince(time.Now(), faultNode) {
		t.Error("want an ended fault reported for a time before its end and not for a later one")
	}
}
