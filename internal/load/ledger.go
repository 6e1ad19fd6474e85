package load

import (
	"sync"

	"heathershed/internal/contract"
)

// maxExamples bounds the broken promises that are listed one by one.
const maxExamples = 10

// orderEnd is what the caller of an order was told at last.
type orderEnd struct {
	end   Outcome
	nodes int // nodes that were asked
}

// Ledger is what callers were told. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	notRun   []uint64 // attempts told that they were not run
	partial  []uint64
	orders   map[contract.OrderID]orderEnd
	attempts uint64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{orders: make(map[contract.OrderID]orderEnd)} }

// RecordAttempt takes note of one answer to one attempt.
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

// RecordOrder takes note of how one caller's order ended. Where two callers sent the
// same order, their ends are combined.
func (l *Ledger) RecordOrder(id contract.OrderID, e orderEnd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old, ok := l.orders[id]; ok {
		e.nodes += old.nodes
		if old.end == OutcomeComplete {
			e.end = OutcomeComplete
		}
		e.end = combine(1, old.end, e.end)
	}
	l.orders[id] = e
}

// Promises is the comparison of what callers were told with what ran.
type Promises struct {
	Orders int `json:"orders"`
	// OrdersAnswered got a whole answer.
	OrdersAnswered int `json:"orders_answered"`
	OrdersNotRun   int `json:"orders_not_run"`
	// OrdersFailed ran, and their upstream answered that it failed.
	OrdersFailed int `json:"orders_failed"`
	// OrdersMayHaveRun have no certain end.
	OrdersMayHaveRun int `json:"orders_may_have_run"`
	// OrdersNoVerdict got no verdict although asked at one node only: their
	// caller's connection failed and it does not repeat.
	OrdersNoVerdict int `json:"orders_no_verdict"`
	// OrdersDoubled ran more than once.
	OrdersDoubled int `json:"orders_doubled"`
	// OrdersLost were answered but never ran, or got no verdict although asked
	// at several nodes.
	OrdersLost int `json:"orders_lost"`
	// PartialAnswers were cut, late or foreign.
	PartialAnswers int `json:"partial_answers"`
	// FalseNotRun were told "not run" but ran: attempts, and orders whose last
	// word was "not run".
	FalseNotRun int      `json:"false_not_run"`
	Examples    []string `json:"examples,omitempty"`
}

// Kept reports whether no promise was broken.
func (p Promises) Kept() bool {
	return p.OrdersDoubled == 0 && p.OrdersLost == 0 && p.PartialAnswers == 0 && p.FalseNotRun == 0
}

// Compare compares the ledger with the upstreams' run log, after all calls
// have ended.
func (l *Ledger) Compare(log *RunLog) Promises {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := Promises{Orders: len(l.orders), PartialAnswers: len(l.partial)}
	for _, id := range log.Doubled() {
		p.OrdersDoubled++
		p.example("doubled: order " + id.String())
	}
	for _, call := range l.notRun {
		if log.RunsOf(call) > 0 {
			p.FalseNotRun++
			p.example("told not run, but ran: call " + answerName(call, contract.OrderID{}))
		}
	}
	for id, e := range l.orders {
		p.order(id, e, log.RunsOfOrder(id))
	}
	return p
}

// order judges the end of one order against how often it ran.
func (p *Promises) order(id contract.OrderID, e orderEnd, runs int) {
	switch e.end {
	case OutcomeComplete:
		p.OrdersAnswered++
		if runs == 0 {
			p.OrdersLost++
			p.example("answered, but never ran: order " + id.String())
		}
	case OutcomeNotRun:
		p.OrdersNotRun++
		if runs > 0 {
			p.FalseNotRun++
			p.example("last word not run, but ran: order " + id.String())
		}
	case OutcomeFailed:
		p.OrdersFailed++
	case OutcomeMayHaveRun:
		p.OrdersMayHaveRun++
	default:
		p.OrdersNoVerdict++
		if e.nodes > 1 {
			p.OrdersLost++
			p.example("no verdict from several nodes: order " + id.String())
		}
	}
}

func (p *Promises) example(text string) {
	if len(p.Examples) < maxExamples {
		p.Examples = append(p.Examples, text)
	}
}
