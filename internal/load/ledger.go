package load

import (
	"sync"

	"heathershed/internal/contract"
)

// maxExamples bounds the broken promises that are listed individually.
const maxExamples = 10

// orderOutcome is the final outcome of an order for its caller.
type orderOutcome struct {
	outcome Outcome
	nodes   int // number of nodes tried
}

// Ledger records the outcomes reported to callers. It is safe for concurrent
// use.
type Ledger struct {
	mu       sync.Mutex
	notRun   []uint64 // attempts that were reported to their caller as not run
	partial  []uint64
	orders   map[contract.OrderID]orderOutcome
	attempts uint64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{orders: make(map[contract.OrderID]orderOutcome)} }

// RecordAttempt records the answer to one attempt.
func (l *Ledger) RecordAttempt(call uint64, a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts++
	if a.hasVerdict && a.verdict == contract.NotRun {
		l.notRun = append(l.notRun, call)
	}
	if a.partial {
		l.partial = append(l.partial, call)
	}
}

// RecordOrder records how an order ended for one caller. If two callers sent
// the same order, their outcomes are combined.
func (l *Ledger) RecordOrder(id contract.OrderID, e orderOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old, ok := l.orders[id]; ok {
		e.nodes += old.nodes
		if old.outcome == OutcomeComplete {
			e.outcome = OutcomeComplete
		}
		e.outcome = combineOutcomes(1, old.outcome, e.outcome)
	}
	l.orders[id] = e
}

// Promises compares the outcomes reported to callers with what ran. Each order
// counts in one of the five outcomes that follow Orders. The four fields after
// these count broken promises.
type Promises struct {
	Orders int `json:"orders"`
	// OrdersAnswered got a complete answer.
	OrdersAnswered int `json:"orders_answered"`
	OrdersNotRun   int `json:"orders_not_run"`
	// OrdersFailed ran, and their upstream answered that it failed.
	OrdersFailed int `json:"orders_failed"`
	// OrdersMayHaveRun ended with a verdict that leaves open whether they ran.
	OrdersMayHaveRun int `json:"orders_may_have_run"`
	// OrdersNoVerdict got no verdict. With one node tried that breaks no
	// promise: the caller's connection failed and it did not retry. With
	// several nodes tried the order counts in OrdersLost too.
	OrdersNoVerdict int `json:"orders_no_verdict"`
	// OrdersDoubled ran more than once.
	OrdersDoubled int `json:"orders_doubled"`
	// OrdersLost were answered but never ran, or got no verdict although
	// several nodes were tried.
	OrdersLost int `json:"orders_lost"`
	// PartialAnswers were truncated or belonged to another request.
	PartialAnswers int `json:"partial_answers"`
	// FalseNotRun were reported as "not run" but ran: attempts, and orders
	// whose final outcome was "not run".
	FalseNotRun int      `json:"false_not_run"`
	Examples    []string `json:"examples,omitempty"`
}

// Kept reports whether no promise was broken.
func (p Promises) Kept() bool {
	return p.OrdersDoubled == 0 && p.OrdersLost == 0 && p.PartialAnswers == 0 && p.FalseNotRun == 0
}

// Compare compares the ledger with the upstreams' run log. All calls must have
// ended.
func (l *Ledger) Compare(log *RunLog) Promises {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := Promises{Orders: len(l.orders), PartialAnswers: len(l.partial)}
	for _, id := range log.Doubled() {
		p.OrdersDoubled++
		p.addExample("doubled: order " + id.String())
	}
	for _, call := range l.notRun {
		if log.RunsOf(call) > 0 {
			p.FalseNotRun++
			p.addExample("told not run, but ran: call " + answerID(call, contract.OrderID{}))
		}
	}
	for id, e := range l.orders {
		p.addOrder(id, e, log.RunsOfOrder(id))
	}
	return p
}

// addOrder checks the outcome of one order against the number of its runs.
func (p *Promises) addOrder(id contract.OrderID, e orderOutcome, runs int) {
	switch e.outcome {
	case OutcomeComplete:
		p.OrdersAnswered++
		if runs == 0 {
			p.OrdersLost++
			p.addExample("answered, but never ran: order " + id.String())
		}
	case OutcomeNotRun:
		p.OrdersNotRun++
		if runs > 0 {
			p.FalseNotRun++
			p.addExample("last word not run, but ran: order " + id.String())
		}
	case OutcomeFailed:
		p.OrdersFailed++
	case OutcomeMayHaveRun:
		p.OrdersMayHaveRun++
	default:
		p.OrdersNoVerdict++
		if e.nodes > 1 {
			p.OrdersLost++
			p.addExample("no verdict from several nodes: order " + id.String())
		}
	}
}

func (p *Promises) addExample(text string) {
	if len(p.Examples) < maxExamples {
		p.Examples = append(p.Examples, text)
	}
}
