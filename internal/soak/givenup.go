package soak

import (
	"fmt"
	"time"
)

// answerMargin is how long before the client's deadline an answer must be due to
// count as in time.
const answerMargin = 500 * time.Millisecond

// execution is one run of an attempt at the upstream of VM ranOn that is
// expected to end in a complete answer at due.
type execution struct {
	ranOn      string
	start, due time.Time
}

// Names of the faults of one VM that can end requests on the path to it.
func downFault(name string) string     { return "down " + name }
func pausedFault(name string) string   { return "paused " + name }
func linkFault(name string) string     { return "links to " + name }
func upstreamFault(name string) string { return "upstream of " + name }

// pathFaults returns the faults on the path from one VM's node to another VM's
// upstream.
func pathFaults(from, to string) []string {
	faults := []string{
		downFault(from), pausedFault(from),
		downFault(to), pausedFault(to), upstreamFault(to),
	}
	if from != to {
		faults = append(faults, linkFault(to))
	}
	return faults
}

// RecordDispatch records the VM to whose node an attempt is sent, and until
// when its client waits.
func (l *Ledger) RecordDispatch(id, sentTo string, deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.entry(id)
	a.sentTo, a.sent, a.deadline = sentTo, time.Now(), deadline
}

// Dispatched returns the VM to whose node an attempt was sent, and when.
func (l *Ledger) Dispatched(id string) (sentTo string, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.entry(id)
	return a.sentTo, a.sent
}

// RecordExecution records a run that is expected to end in a complete answer.
// Without a fault on the path its client must get that answer if it is due at
// least answerMargin before the client's deadline.
func (l *Ledger) RecordExecution(id string, e execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.entry(id)
	a.executions = append(a.executions, e)
	l.checkGivenUp(id, a)
}

// RecordGiveUp records that the nodes ended an attempt without an upstream's
// answer.
func (l *Ledger) RecordGiveUp(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.entry(id)
	a.gaveUp = time.Now()
	l.checkGivenUp(id, a)
}

// checkGivenUp reports a violation, once per attempt, where the nodes gave an
// attempt up although a run of it would have answered in time. The caller holds
// the lock.
func (l *Ledger) checkGivenUp(id string, a *attempt) {
	if a.gaveUp.IsZero() || a.reported {
		return
	}
	for _, e := range a.executions {
		if e.due.After(a.deadline.Add(-answerMargin)) || !l.noFaultSinceLocked(e.start, pathFaults(a.sentTo, e.ranOn)...) {
			continue
		}
		a.reported = true
		l.addViolationLocked(GivenUp, id, fmt.Sprintf("by %s %v after %s began it, answer due %v after that",
			a.sentTo, a.gaveUp.Sub(e.start).Round(time.Millisecond), e.ranOn, e.due.Sub(e.start).Round(time.Millisecond)))
		return
	}
}
