package soak

import (
	"fmt"
	"sync"
	"time"
)

// Promise names what must hold.
type Promise string

// The promises that are checked.
const (
	// Doubled: an order runs at most once.
	Doubled Promise = "doubled"
	// Partial: an answer with status 200 is whole, and the caller's own.
	Partial Promise = "partial"
	// FalseNotRun: what is told not to have run has not run.
	FalseNotRun Promise = "false not run"
	// Lost: a request is answered in its time.
	Lost Promise = "lost"
	// LateDrain: an upstream that leaves gets no new work after drainBound.
	LateDrain Promise = "late drain"
	// Reverted: a change is in force within changeBound and stays so.
	Reverted Promise = "reverted"
	// Budget: repeats stay within the ratio and the slack.
	Budget Promise = "budget"
	// AfterClose: a lookup ends when its caller has left. An order that has begun
	// goes on.
	AfterClose Promise = "work after close"
	// Cut: a planned stop cuts no request.
	Cut Promise = "cut"
	// GivenUp: a request is not ended with 502 or 504 while an upstream is at work
	// on it and answers in its time.
	GivenUp Promise = "given up"
)

// Violation is one broken promise.
type Violation struct {
	Promise Promise
	// At is the time since the start of the run.
	At      time.Duration
	Attempt string
	Detail  string
}

func (v Violation) String() string {
	return fmt.Sprintf("%8.3fs %s: %s %s", v.At.Seconds(), v.Promise, v.Attempt, v.Detail)
}

// Outcome is what a client learned of an attempt.
type Outcome int

// What clients learn; the zero value is of one that has no answer.
const (
	OutcomePending Outcome = iota
	OutcomeComplete
	OutcomeNotRun
	OutcomeUnknown
)

// attempt is what is known of one attempt.
type attempt struct {
	order bool
	runs  int
	told  Outcome
	left  time.Time // when its client left; zero: it has not
	// from and until are the machine that it goes to and its client's deadline;
	// gaveUp is when the nodes ended it without an upstream's answer.
	from          string
	until, gaveUp time.Time
	works         []work
	judged        bool // it was told as given up
}

// Ledger is safe for concurrent use.
type Ledger struct {
	began time.Time

	mu         sync.Mutex
	attempts   map[string]*attempt
	violations []Violation
	// requests and arrivals count what began, calls of upstreams included, and
	// what reached an upstream.
	requests, arrivals int
	// taken counts the requests that a node has taken: they ran, or were told
	// not to.
	taken    int
	answered map[Outcome]int
	// faults is how many faults of a kind are present, and ended is when the last
	// one of the kind ended.
	faults map[string]int
	ended  map[string]time.Time
}

// NewLedger returns an empty ledger.
func NewLedger(began time.Time) *Ledger {
	return &Ledger{
		began:    began,
		attempts: make(map[string]*attempt),
		answered: make(map[Outcome]int),
		faults:   make(map[string]int),
		ended:    make(map[string]time.Time),
	}
}

// BeginFault notes that a fault of a kind begins and returns what ends it.
func (l *Ledger) BeginFault(fault string) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[fault]++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.faults[fault]--
		l.ended[fault] = time.Now()
	}
}

// Quiet reports whether none of the faults is present or has been since.
func (l *Ledger) NoFaultSince(since time.Time, faults ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.quiet(since, faults...)
}

// quiet is Quiet; the caller holds the lock.
func (l *Ledger) quiet(since time.Time, faults ...string) bool {
	for _, f := range faults {
		if l.faults[f] > 0 || l.ended[f].After(since) {
			return false
		}
	}
	return true
}

// RecordSent notes an attempt before it is sent.
func (l *Ledger) RecordSent(id string, order bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests++
	l.of(id).order = order
}

// of returns the attempt; the caller holds the lock.
func (l *Ledger) of(id string) *attempt {
	a := l.attempts[id]
	if a == nil {
		a = &attempt{}
		l.attempts[id] = a
	}
	return a
}

// RecordRun notes that an upstream runs an attempt and returns how many times it has
// run.
func (l *Ledger) RecordRun(id string) (runs int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals++
	a := l.of(id)
	if a.runs == 0 && a.told != OutcomeNotRun {
		l.taken++
	}
	a.runs++
	if a.order && a.runs > 1 {
		l.add(Doubled, id, fmt.Sprint("run ", a.runs))
	}
	if a.told == OutcomeNotRun {
		l.add(FalseNotRun, id, "runs after its client was told that it has not run")
	}
	return a.runs
}

// RecordOutcome notes what a client was told.
func (l *Ledger) RecordOutcome(id string, told Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered[told]++
	a := l.of(id)
	a.told = told
	if told == OutcomeNotRun && a.runs == 0 {
		l.taken++
	}
	if told == OutcomeNotRun && a.runs > 0 {
		l.add(FalseNotRun, id, fmt.Sprint("ran ", a.runs, " times"))
	}
	if told == OutcomeComplete && a.runs == 0 {
		l.add(Partial, id, "answered, but no upstream ran it")
	}
}

// AddViolation notes a broken promise.
func (l *Ledger) AddViolation(p Promise, id, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(p, id, detail)
}

func (l *Ledger) add(p Promise, id, detail string) {
	l.violations = append(l.violations, Violation{p, time.Since(l.began), id, detail})
}

// Counts are how many requests nodes have taken, calls of upstreams included,
// and how many runs they led to.
type Counts struct{ Accepted, Runs int }

// Counts returns the counts so far.
func (l *Ledger) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Counts{Accepted: l.taken, Runs: l.arrivals}
}

// CheckBudget compares the runs since an earlier count with the bound of
// repeats. Requests that no node has taken count for nothing.
func (l *Ledger) CheckBudget(since Counts, ratio float64, slack int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken, runs := l.taken-since.Accepted, l.arrivals-since.Runs
	bound := float64(taken)*(1+ratio) + float64(slack)
	if float64(runs) > bound {
		l.add(Budget, "", fmt.Sprintf("%d runs of %d requests, bound %.0f", runs, taken, bound))
	}
}

// Violations returns what was broken.
func (l *Ledger) Violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Violation(nil), l.violations...)
}

// Summary is one line of counts.
func (l *Ledger) Summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("requests %d, runs %d, whole %d, not run %d, unknown %d, violations %d",
		l.requests, l.arrivals, l.answered[OutcomeComplete], l.answered[OutcomeNotRun], l.answered[OutcomeUnknown], len(l.violations))
}

// RecordCancel notes that the client of an attempt leaves now.
func (l *Ledger) RecordCancel(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(id).left = time.Now()
}

// CancelledAt is when the client of an attempt left; zero: it has not.
func (l *Ledger) CancelledAt(id string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.of(id).left
}

// IsOrder reports whether an attempt is an order.
func (l *Ledger) IsOrder(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.of(id).order
}
