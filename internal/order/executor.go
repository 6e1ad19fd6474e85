package order

import (
	"time"

	"heathershed/internal/contract"
)

// Executor is the table of a VM that runs orders on behalf of their homes. A
// home sends each dispatch at most once; the table guards against duplicates
// made on the way. The records need not survive a restart: a restarted VM
// rejects dispatches that target its earlier incarnation. Executor is not safe
// for concurrent use, see SyncExecutor.
type Executor struct {
	horizon    time.Duration
	max        int
	now        time.Time
	dispatches map[dispatch]struct{}
	expiry     expiry[dispatch]
}

// dispatch identifies one request of a home to run an order. A home that ended
// an order as not run may begin it again for a later copy, and then numbers
// its dispatches from 0 again. The time at which the copy was received
// distinguishes them.
type dispatch struct {
	key          key
	copyReceived int64 // when the copy was received, in Unix nanoseconds
	number       uint32
}

// NewExecutor returns an empty table. It uses only Horizon and MaxRecords of
// the config.
func NewExecutor(config Config) *Executor {
	config = config.withDefaults()
	return &Executor{
		horizon:    config.Horizon,
		max:        config.MaxRecords,
		dispatches: map[dispatch]struct{}{},
		expiry:     newExpiry[dispatch](),
	}
}

// Accept decides whether to run a dispatch now. number counts the home's
// dispatches for one copy of the order, and received is that copy's
// Attempt.Received; duplicates of a dispatch agree in both. notAfter is the
// wall-clock time after which the home no longer wants the order started; the
// upstream receives it too.
//
// DecisionRun: run the order. DecisionRefused with NotRun: this VM runs
// neither this dispatch nor a duplicate of it. DecisionMayHaveRun: the
// dispatch is a duplicate, or the id is older than the horizon over which
// dispatches are remembered.
func (e *Executor) Accept(now time.Time, id contract.OrderID, owner, kind string, number uint32, received, notAfter time.Time) Decision {
	if now.After(e.now) {
		e.now = now
	}
	e.removeExpired()
	d := dispatch{key{owner, kind, id}, received.UnixNano(), number}
	if _, duplicate := e.dispatches[d]; duplicate {
		return Decision{Kind: DecisionMayHaveRun, Reason: contract.ReasonOrderRunning}
	}
	if !id.Time().After(e.now.Add(-e.horizon)) {
		return Decision{Kind: DecisionMayHaveRun, Reason: contract.ReasonOrderExpired}
	}
	if e.now.After(notAfter) {
		return refuse(contract.NotRun, contract.ReasonDeadline)
	}
	if len(e.dispatches) >= e.max {
		return refuse(contract.NotRun, contract.ReasonLimit)
	}
	e.dispatches[d] = struct{}{}
	e.expiry.add(d, id.Time().Add(e.horizon))
	return Decision{Kind: DecisionRun}
}

func (e *Executor) removeExpired() {
	e.expiry.due(e.now, func(d dispatch) bool {
		delete(e.dispatches, d)
		return false
	})
}
