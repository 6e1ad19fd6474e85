package soak

import (
	"fmt"
	"sync"
	"time"
)

// Promise names an invariant that must hold.
type Promise string

// The promises that are checked. Their values are printed for operators.
const (
	// Doubled: an order runs at most once.
	Doubled Promise = "doubled"
	// Partial: an answer with status 200 is complete and belongs to its
	// caller's request.
	Partial Promise = "partial"
	// FalseNotRun: an attempt that was reported to its client as not run has
	// not run.
	FalseNotRun Promise = "false not run"
	// Lost: a request is answered before its deadline.
	Lost Promise = "lost"
	// LateDrain: a draining upstream gets no new requests after drainBound.
	LateDrain Promise = "late drain"
	// Reverted: a configuration change is active within changeBound and stays
	// so.
	Reverted Promise = "reverted"
	// Budget: retries stay within the retry ratio and slack.
	Budget Promise = "budget"
	// AfterClose: a lookup ends once its caller has cancelled it. An order that
	// has begun continues.
	AfterClose Promise = "work after close"
	// Cut: a graceful shutdown cuts off no request.
	Cut Promise = "cut"
	// GivenUp: a request does not end with 502 or 504 while an upstream runs it
	// and will answer before the deadline.
	GivenUp Promise = "given up"
	// OverLimit: an upstream gets no more requests than the limit that it names
	// allows, from nodes that have passed it on.
	OverLimit Promise = "over limit"
	// LateLeave: an upstream that says in its answers that it leaves gets no
	// requests that clients sent later than drainBound after their node had
	// passed that on.
	LateLeave Promise = "late leave"
	// Crashes: a request that crashes upstreams runs at most crashMaxLate times
	// once all nodes can know of it.
	Crashes Promise = "crashes"
	// OverQuota: a workspace stays within its limit over all nodes, whatever fails.
	OverQuota Promise = "over quota"
	// KeyForwarded: no upstream gets a key.
	KeyForwarded Promise = "key forwarded"
	// KeyRevoked: a request that is sent later than revokeWithin after its key was
	// taken away does not run, at no node.
	KeyRevoked Promise = "key revoked"
	// KeyRejected: a key of all versions is not rejected as unknown.
	KeyRejected Promise = "key rejected"
	// Believed: a message that can't be of the upstream is not acknowledged.
	Believed Promise = "believed"
	// WrongCaller: a request runs under the service of the VM where it began.
	WrongCaller Promise = "wrong caller"
	// WrongWorkspace: a request runs for the workspace of its key, a nested call for
	// that of its root request, and none for an unknown key.
	WrongWorkspace Promise = "wrong workspace"
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

// Outcome is what a client learned about an attempt.
type Outcome int

// The outcomes. The zero value is that of an attempt without an answer so far.
const (
	OutcomePending Outcome = iota
	OutcomeComplete
	OutcomeNotRun
	OutcomeUnknown
)

// attempt is what is known about one attempt.
type attempt struct {
	order     bool
	runs      int
	outcome   Outcome
	cancelled time.Time // when its client cancelled it; zero if it has not
	// sentTo is the VM whose node the attempt is sent to, sent when, deadline
	// that of its client. gaveUp is when the nodes ended it without an
	// upstream's answer.
	sentTo                 string
	sent, deadline, gaveUp time.Time
	executions             []execution
	reported               bool // it was reported as given up
}

// Ledger records attempts, runs, outcomes and faults, and the violations that
// follow from them. It is safe for concurrent use.
type Ledger struct {
	start   time.Time
	notices *notices
	// workspaces is nil in a run without workspaces.
	workspaces *workspaces

	mu         sync.Mutex
	attempts   map[string]*attempt
	violations []Violation
	// requests counts the attempts that were started, including upstreams'
	// nested calls; totalRuns counts the runs at upstreams.
	requests, totalRuns int
	// accepted counts the requests that a node has accepted: those that ran and
	// those that were reported to their client as not run.
	accepted int
	outcomes map[Outcome]int
	// faults counts the active faults of each kind. ended is when the last one
	// of the kind ended.
	faults map[string]int
	ended  map[string]time.Time
	// services are those of the VMs.
	services map[string]string
}

// NewLedger returns an empty ledger. Violations are dated from start.
func NewLedger(start time.Time) *Ledger {
	l := &Ledger{
		start:    start,
		attempts: make(map[string]*attempt),
		outcomes: make(map[Outcome]int),
		faults:   make(map[string]int),
		ended:    make(map[string]time.Time),
		services: make(map[string]string),
	}
	l.notices = newNotices(l)
	return l
}

// BeginFault records that a fault of a kind begins and returns the function
// that ends it.
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

// NoFaultSince reports whether none of the faults is active or has been active
// since the given time.
func (l *Ledger) NoFaultSince(since time.Time, faults ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.noFaultSinceLocked(since, faults...)
}

// noFaultSinceLocked is NoFaultSince for callers that hold the lock.
func (l *Ledger) noFaultSinceLocked(since time.Time, faults ...string) bool {
	for _, f := range faults {
		if l.faults[f] > 0 || l.ended[f].After(since) {
			return false
		}
	}
	return true
}

// RecordSent records an attempt before it is sent.
func (l *Ledger) RecordSent(id string, order bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests++
	l.entry(id).order = order
}

// entry returns the record of an attempt, which it creates if needed. The
// caller holds the lock.
func (l *Ledger) entry(id string) *attempt {
	a := l.attempts[id]
	if a == nil {
		a = &attempt{}
		l.attempts[id] = a
	}
	return a
}

// RecordRun records that an upstream runs an attempt and returns how many times
// it has run by then.
func (l *Ledger) RecordRun(id string) (runs int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totalRuns++
	a := l.entry(id)
	if a.runs == 0 && a.outcome != OutcomeNotRun {
		l.accepted++
	}
	a.runs++
	if a.order && a.runs > 1 {
		l.addViolationLocked(Doubled, id, fmt.Sprint("run ", a.runs))
	}
	if a.outcome == OutcomeNotRun {
		l.addViolationLocked(FalseNotRun, id, "runs after its client was told that it has not run")
	}
	return a.runs
}

// HasRun reports whether an attempt has run.
func (l *Ledger) HasRun(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entry(id).runs > 0
}

// RecordService records the service of a VM.
func (l *Ledger) RecordService(vm, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.services[vm] = service
}

// CheckCaller reports a violation if an attempt that was sent to a VM runs under another
// service than that of the VM.
func (l *Ledger) CheckCaller(id, sentTo, caller string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if want, known := l.services[sentTo]; known && caller != want {
		l.addViolationLocked(WrongCaller, id, fmt.Sprintf("runs under %.40q, sent to %s of %s", caller, sentTo, want))
	}
}

// RecordOutcome records the outcome of an attempt as reported to its client.
func (l *Ledger) RecordOutcome(id string, outcome Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[outcome]++
	a := l.entry(id)
	a.outcome = outcome
	if outcome == OutcomeNotRun && a.runs == 0 {
		l.accepted++
	}
	if outcome == OutcomeNotRun && a.runs > 0 {
		l.addViolationLocked(FalseNotRun, id, fmt.Sprint("ran ", a.runs, " times"))
	}
	if outcome == OutcomeComplete && a.runs == 0 {
		l.addViolationLocked(Partial, id, "answered, but no upstream ran it")
	}
}

// AddViolation records a broken promise.
func (l *Ledger) AddViolation(p Promise, id, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolationLocked(p, id, detail)
}

func (l *Ledger) addViolationLocked(p Promise, id, detail string) {
	l.violations = append(l.violations, Violation{p, time.Since(l.start), id, detail})
}

// Counts are the number of requests that nodes have accepted, including nested
// calls, and the number of runs that these led to.
type Counts struct{ Accepted, Runs int }

// Counts returns the counts so far.
func (l *Ledger) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Counts{Accepted: l.accepted, Runs: l.totalRuns}
}

// CheckBudget compares the runs since an earlier count with the retry budget.
// Requests that no node has accepted add nothing to the budget.
func (l *Ledger) CheckBudget(since Counts, ratio float64, slack int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	accepted, runs := l.accepted-since.Accepted, l.totalRuns-since.Runs
	bound := float64(accepted)*(1+ratio) + float64(slack)
	if float64(runs) > bound {
		l.addViolationLocked(Budget, "", fmt.Sprintf("%d runs of %d requests, bound %.0f", runs, accepted, bound))
	}
}

// Violations returns the violations so far.
func (l *Ledger) Violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Violation(nil), l.violations...)
}

// Summary returns one line of counts.
func (l *Ledger) Summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("requests %d, runs %d, whole %d, not run %d, unknown %d, violations %d",
		l.requests, l.totalRuns, l.outcomes[OutcomeComplete], l.outcomes[OutcomeNotRun], l.outcomes[OutcomeUnknown], len(l.violations))
}

// RecordCancel records that the client of an attempt cancels it now.
func (l *Ledger) RecordCancel(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(id).cancelled = time.Now()
}

// CancelledAt returns when the client of an attempt cancelled it, or the zero
// time if it has not.
func (l *Ledger) CancelledAt(id string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entry(id).cancelled
}

// IsOrder reports whether an attempt is an order.
func (l *Ledger) IsOrder(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entry(id).order
}
