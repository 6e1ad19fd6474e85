package order

import (
	"time"

	"heathershed/internal/contract"
)

// Config bounds a Table. Zero fields stand for the defaults.
type Config struct {
	// Horizon is how long a record is kept, from the time in the id.
	Horizon time.Duration
	// MaxRecords bounds the records; a full table refuses new orders.
	MaxRecords int
	// MaxBytes bounds the headers and bodies of recorded answers; over it, the
	// oldest answers lose them, and repeats of these get "may have run".
	MaxBytes int
	// ClockMargin bounds the difference between the clocks of two VMs.
	ClockMargin time.Duration
}

func (c Config) withDefaults() Config {
	if c.Horizon <= 0 {
		c.Horizon = DefaultHorizon
	}
	if c.MaxRecords <= 0 {
		c.MaxRecords = DefaultMaxRecords
	}
	if c.MaxBytes <= 0 {
		c.MaxBytes = DefaultMaxBytes
	}
	if c.ClockMargin <= 0 {
		c.ClockMargin = DefaultClockMargin
	}
	return c
}

// key keeps the ids of different owners and kinds apart.
type key struct {
	owner, kind string
	id          contract.OrderID
}

// state is how far an order has come.
type state uint8

const (
	// stateRunning: begun; nothing has been sent.
	stateRunning state = iota
	// stateSent: a byte may have left.
	stateSent
	// stateEnded: the answer is final.
	stateEnded
	// stateNotRun: ended as not run; a later copy may run.
	stateNotRun
)

// record is what a home keeps of an order.
type record struct {
	fingerprint uint64
	state       state
	// number and numbered are of the copy that began last.
	numbered bool
	number   uint32
	// fence, in stateNotRun: copies received up to it may be earlier ones.
	fence  time.Time
	answer *Answer
}

// Table holds the records of one home. Every method takes the home's wall
// clock; steps back are evened out. It is not safe for concurrent use, see
// Keeper.
type Table struct {
	config  Config
	now     time.Time
	records map[key]*record
	expiry  expiry[key]
	bodies  []key // ended records in the order of their end
	bytes   int
	running int
	closed  bool
}

// NewTable returns an empty table.
func NewTable(config Config) *Table {
	return &Table{
		config:  config.withDefaults(),
		records: map[key]*record{},
		expiry:  newExpiry[key](),
	}
}

// Begin decides on a copy of an order at its home. fingerprint is of the
// request's content; limit is homes.Authority.Limit. On DecisionRun the record
// stands and the caller must see to Sent and then End or Abandon.
func (t *Table) Begin(now time.Time, id contract.OrderID, owner, kind string, fingerprint uint64, limit time.Time, a Attempt) Decision {
	now = t.advance(now)
	if a.Received.IsZero() {
		a.Received = now
	}
	k := key{owner, kind, id}
	if !id.Time().After(t.floor()) {
		return refuse(a.UnrecordedVerdict(), contract.ReasonOrderExpired)
	}
	if r := t.records[k]; r != nil {
		return t.again(now, r, fingerprint, a)
	}
	if d, refused := t.refuseNew(now, id, limit, a); refused {
		return d
	}
	r := &record{fingerprint: fingerprint}
	t.records[k] = r
	t.expiry.add(k, id.Time().Add(t.config.Horizon))
	t.start(r, a)
	return Decision{Kind: DecisionRun}
}

// refuseNew refuses a copy of an order without a record, where it must.
func (t *Table) refuseNew(now time.Time, id contract.OrderID, limit time.Time, a Attempt) (Decision, bool) {
	switch {
	case t.closed:
		return refuse(a.UnrecordedVerdict(), contract.ReasonLeaving), true
	case id.Time().After(now.Add(t.config.ClockMargin)):
		return refuse(a.UnrecordedVerdict(), contract.ReasonBadRequest), true
	case !id.Time().Before(limit):
		return refuse(a.UnrecordedVerdict(), contract.ReasonOrderHome), true
	case len(t.records) >= t.config.MaxRecords:
		return refuse(a.UnrecordedVerdict(), contract.ReasonLimit), true
	}
	return Decision{}, false
}

// again decides on a copy of an order that has a record.
func (t *Table) again(now time.Time, r *record, fingerprint uint64, a Attempt) Decision {
	if r.fingerprint != fingerprint {
		return refuse(contract.MayHaveRun, contract.ReasonBadRequest)
	}
	switch r.state {
	case stateRunning, stateSent:
		return Decision{Kind: DecisionRunning, Reason: contract.ReasonOrderRunning}
	case stateEnded:
		return recorded(r.answer)
	}
	if t.closed {
		return recorded(r.answer)
	}
	later := a.Known && r.numbered && a.Number > r.number
	if !later && !a.Received.After(r.fence) {
		d := refuse(contract.MayHaveRun, r.answer.Reason)
		d.RetryAfter = r.fence.Sub(now) + time.Millisecond
		return d
	}
	t.start(r, a)
	return Decision{Kind: DecisionRun}
}

func recorded(a *Answer) Decision {
	return Decision{Kind: DecisionRecorded, Verdict: a.Verdict, Reason: a.Reason, Answer: *a}
}

// start puts a record into its first state.
func (t *Table) start(r *record, a Attempt) {
	r.state = stateRunning
	r.answer = nil
	r.numbered, r.number = a.Known, a.Number
	t.running++
}

// advance returns the clock, which never goes back: an id that was too old once
// stays so.
func (t *Table) advance(now time.Time) time.Time {
	if now.After(t.now) {
		t.now = now
	}
	return t.now
}

// floor is the time up to which ids are too old.
func (t *Table) floor() time.Time { return t.now.Add(-t.config.Horizon) }

// Len is the number of records.
func (t *Table) Len() int { return len(t.records) }

// Running is the number of orders begun and not ended.
func (t *Table) Running() int { return t.running }

// Bytes is the size of the recorded headers and bodies.
func (t *Table) Bytes() int { return t.bytes }
