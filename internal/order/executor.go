package order

import (
	"time"

	"heathershed/internal/contract"
)

// Executor is the table of a VM that runs orders for their homes. A home sends
// each try at most once; the table makes sure of it where something between
// them makes a copy. It needs no record that lasts: a VM that restarts refuses
// what was meant for its earlier incarnation. It is not safe for concurrent
// use, see ExecutorKeeper.
type Executor struct {
	horizon time.Duration
	max     int
	now     time.Time
	tries   map[try]struct{}
	expiry  expiry[try]
}

// try is one attempt of a home to have an order run. A home that ended an order
// as not run may begin it again for a later copy and count its tries anew: the
// copy tells them apart.
type try struct {
	key    key
	copied int64 // when the copy was received, in Unix nanoseconds
	number uint32
}

// NewExecutor returns an empty table. Of the config it uses Horizon and
// MaxRecords.
func NewExecutor(config Config) *Executor {
	config = config.withDefaults()
	return &Executor{
		horizon: config.Horizon,
		max:     config.MaxRecords,
		tries:   map[try]struct{}{},
		expiry:  newExpiry[try](),
	}
}

// Accept decides whether to run a try now. number counts the tries of the
// home for one copy of the order, and received is that copy's Attempt.Received:
// both are the same wherever the same try arrives. notAfter is the wall-clock
// time after which the home wants it started no more; the upstream gets it too.
//
// DecisionRun: run it. DecisionRefused with NotRun: it is not run here, nor is
// a copy of it. DecisionMayHaveRun: the same try came twice, or the id is older
// than tries are remembered.
func (e *Executor) Accept(now time.Time, id contract.OrderID, owner, kind string, number uint32, received, notAfter time.Time) Decision {
	if now.After(e.now) {
		e.now = now
	}
	e.forget()
	t := try{key{owner, kind, id}, received.UnixNano(), number}
	if _, twice := e.tries[t]; twice {
		return Decision{Kind: DecisionMayHaveRun, Reason: contract.ReasonOrderRunning}
	}
	if !id.Time().After(e.now.Add(-e.horizon)) {
		return Decision{Kind: DecisionMayHaveRun, Reason: contract.ReasonOrderExpired}
	}
	if e.now.After(notAfter) {
		return refuse(contract.NotRun, contract.ReasonDeadline)
	}
	if len(e.tries) >= e.max {
		return refuse(contract.NotRun, contract.ReasonLimit)
	}
	e.tries[t] = struct{}{}
	e.expiry.add(t, id.Time().Add(e.horizon))
	return Decision{Kind: DecisionRun}
}

func (e *Executor) forget() {
	e.expiry.due(e.now, func(t try) bool {
		delete(e.tries, t)
		return false
	})
}
