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
		{Doubled, func(l *Ledger) { l.Sent("o", true); l.Ran("o"); l.Ran("o") }},
		{FalseNotRun, func(l *Ledger) { l.Sent("a", false); l.Ran("a"); l.Answered("a", ToldNotRun) }},
		{FalseNotRun, func(l *Ledger) { l.Sent("a", false); l.Answered("a", ToldNotRun); l.Ran("a") }},
		{Partial, func(l *Ledger) { l.Sent("a", false); l.Answered("a", ToldWhole) }},
		{Budget, func(l *Ledger) { l.Sent("a", false); l.Ran("a"); l.Ran("a"); l.CheckBudget(Counts{}, 0.2, 0) }},
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
	l.Sent("lookup", false)
	l.Ran("lookup")
	l.Ran("lookup")
	l.Answered("lookup", ToldWhole)
	l.Sent("order", true)
	l.Ran("order")
	l.Answered("order", ToldUnknown)
	l.Sent("refused", true)
	l.Answered("refused", ToldNotRun)
	l.CheckBudget(Counts{}, 0.2, 0)
	if found := l.Violations(); len(found) > 0 {
		t.Fatal(found)
	}
}

func TestFaultsAreExcusedWhileTheyLast(t *testing.T) {
	l := NewLedger(time.Now())
	before := time.Now()
	if !l.Quiet(before, faultNode) {
		t.Error("a fault that never was")
	}
	end := l.Begin(faultNode)
	if l.Quiet(before, faultNode) {
		t.Error("quiet during the fault")
	}
	end()
	if l.Quiet(before, faultNode) || !l.Quiet(time.Now(), faultNode) {
		t.Error("a fault that has ended counts for what began before its end, and for nothing later")
	}
}
