package soak

import (
	"testing"
	"time"
)

// TestEachPromiseCanBeBroken plants what breaks each promise that the ledger
// judges by itself.
func TestEachPromiseCanBeBroken(t *testing.T) {
	cases := []struct {
		promise Promise
		plant   func(l *Ledger)
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
		c.plant(l)
		if found := l.Violations(); len(found) != 1 || found[0].Promise != c.promise {
			t.Errorf("%s: found %v", c.promise, found)
		}
	}
}

func TestKeptPromisesAreNotTold(t *testing.T) {
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

func TestFaultsAreExcusedWhileTheyLast(t *testing.T) {
	l := NewLedger(time.Now())
	before := time.Now()
	if !l.NoFaultSince(before, faultNode) {
		t.Error("a fault that never was")
	}
	end := l.BeginFault(faultNode)
	if l.NoFaultSince(before, faultNode) {
		t.Error("quiet during the fault")
	}
	end()
	if l.NoFaultSince(before, faultNode) || !l.NoFaultSince(time.Now(), faultNode) {
		t.Error("a fault that has ended counts for what began before its end, and for nothing later")
	}
}
