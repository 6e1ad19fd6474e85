package order

import (
	"time"

	"heathershed/internal/contract"
)

// Config bounds a Table. Fields that are zero or negative are replaced by the
// defaults.
type Config struct {
	// Horizon is how long a record is kept, counted from the time embedded in
	// the order id.
	Horizon time.Duration
	// MaxRecords bounds the number of records. A full table rejects new
	// orders.
	MaxRecords int
	// MaxBytes bounds the total size of the headers and bodies of recorded
	// answers. Above it the oldest answers lose theirs, and repetitions of
	// these orders get MayHaveRun.
	MaxBytes int
	// ClockMargin is the largest tolerated difference between the wall clocks
	// of two VMs.
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

// key identifies an order. Different owners and kinds may use the same id.
type key struct {
	owner, kind string
	id          contract.OrderID
}

// state is the progress of an order.
type state uint8

const (
	// stateRunning: begun; no byte has been sent.
	stateRunning state = iota
	// stateSent: MarkSent was called, so bytes may have left this process.
	stateSent
	// stateEnded: the answer is final.
	stateEnded
	// stateNotRun: ended as not run; a later copy may run.
	stateNotRun
)

// record is the state that a home keeps for one order.
type record struct {
	fingerprint uint64
	state       state
	// numbered and number are Attempt.Known and Attempt.Number of the copy
	// that began last.
	numbered bool
	number   uint32
	// fence is set in stateNotRun. A copy received at or before it counts as
	// sent before the verdict and is not run, unless its number shows that it
	// is later.
	fence  time.Time
	answer *Answer
}

// Table holds the order records of one home. Methods that depend on the time
// take the home's wall-clock time; a clock that steps back is treated as
// standing still. Table is not safe for concurrent use, see SyncTable.
type Table struct {
	config  Config
	now     time.Time
	records map[key]*record
	expiry  expiry[key]
	bodies  []key // ended records with headers or a body, oldest end first
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

// Begin decides how the home handles a copy of an order. fingerprint identifies
// the content of the request; limit is homes.Authority.Limit. On DecisionRun
// the record exists, and the caller must call MarkSent before it sends the
// order, and End or Abandon when the order ends.
func (t *Table) Begin(now time.Time, id contract.OrderID, owner, kind string, fingerprint uint64, limit time.Time, a Attempt) Decision {
	now = t.advance(now)
	if a.Received.IsZero() {
		a.Received = now
	}
	k := key{owner, kind, id}
	if !id.Time().After(t.cutoff()) {
		return refuse(a.UnrecordedVerdict(), contract.ReasonOrderExpired)
	}
	if r := t.records[k]; r != nil {
		return t.beginRepeated(now, r, fingerprint, a)
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

// refuseNew rejects a copy of an order that has no record and must not run
// here.
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

// beginRepeated decides on a copy of an order that has a record.
func (t *Table) beginRepeated(now time.Time, r *record, fingerprint uint64, a Attempt) Decision {
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

// start puts a record into stateRunning for the given copy.
func (t *Table) start(r *record, a Attempt) {
	r.state = stateRunning
	r.answer = nil
	r.numbered, r.number = a.Known, a.Number
	t.running++
}

// advance updates and returns the table's clock. The clock never goes back, so
// that an id once rejected as too old remains rejected.
func (t *Table) advance(now time.Time) time.Time {
	if now.After(t.now) {
		t.now = now
	}
	return t.now
}

// cutoff returns the time at or before which ids are too old.
func (t *Table) cutoff() time.Time { return t.now.Add(-t.config.Horizon) }

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Running returns the number of orders that have begun and not ended.
func (t *Table) Running() int { return t.running }

// Bytes returns the total size of the recorded headers and bodies.
func (t *Table) Bytes() int { return t.bytes }
