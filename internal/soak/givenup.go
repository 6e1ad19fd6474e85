package soak

import (
	"fmt"
	"time"
)

// answerMargin is how much of a client's time must be left when the upstream
// answers for the answer to be due.
const answerMargin = 500 * time.Millisecond

// work is one run at the upstream of a machine that answers whole.
type work struct {
	at         string
	began, due time.Time
}

// Faults of one machine that end requests on their way.
func downFault(machine string) string     { return "down " + machine }
func pausedFault(machine string) string   { return "paused " + machine }
func linkFault(machine string) string     { return "links to " + machine }
func upstreamFault(machine string) string { return "upstream of " + machine }

// wayFaults are those on the way from a machine's node to another's upstream.
func wayFaults(from, to string) []string {
	faults := []string{
		downFault(from), pausedFault(from),
		downFault(to), pausedFault(to), upstreamFault(to),
	}
	if from != to {
		faults = append(faults, linkFault(to))
	}
	return faults
}

// RecordDispatch notes to which machine's node an attempt goes and until when its client
// waits.
func (l *Ledger) RecordDispatch(id, from string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.of(id)
	a.from, a.until = from, until
}

// RecordExecution notes a run that will answer whole. Without a fault on its way its client
// gets that answer, if it comes in the client's time.
func (l *Ledger) RecordExecution(id string, w work) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.of(id)
	a.works = append(a.works, w)
	l.judge(id, a)
}

// RecordGiveUp notes that the nodes ended an attempt without an upstream's answer.
func (l *Ledger) RecordGiveUp(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.of(id)
	a.gaveUp = time.Now()
	l.judge(id, a)
}

// judge looks whether an attempt was given up while a run of it would have
// answered, and tells it once; the caller holds the lock.
func (l *Ledger) judge(id string, a *attempt) {
	if a.gaveUp.IsZero() || a.judged {
		return
	}
	for _, w := range a.works {
		if w.due.After(a.until.Add(-answerMargin)) || !l.quiet(w.began, wayFaults(a.from, w.at)...) {
			continue
		}
		a.judged = true
		l.add(GivenUp, id, fmt.Sprintf("by %s %v after %s began it, answer due %v after that",
			a.from, a.gaveUp.Sub(w.began).Round(time.Millisecond), w.at, w.due.Sub(w.began).Round(time.Millisecond)))
		return
	}
}
