package admission

import (
	"time"

	"heathershed/internal/contract"
)

// Request is what admission needs to know about a call.
type Request struct {
	// Kind is the catalogue entry; requests without one are treated as one
	// kind.
	Kind *contract.Kind
	// Level combines class and rank. Admission takes the class from here, not
	// from Kind.
	Level contract.Level
	// Depth is 0 for a root request and increases by one per hop.
	Depth uint32
	// Deadline is the time by which the answer is due; zero means no deadline.
	Deadline time.Time
}

// Refusal says why a request was not admitted. The request has not run.
type Refusal struct {
	// Reason is ReasonOverload, ReasonQueueTimeout, ReasonDeadline or
	// ReasonCancelled.
	Reason contract.Reason
	// RetryAfter is the time to wait before a retry; it is spread at random.
	RetryAfter time.Duration
	// Threshold is the active shedding threshold.
	Threshold contract.Level
}

// Result is how an admitted request ended.
type Result struct {
	// Verdict and Reason are those of the call.
	Verdict contract.Verdict
	Reason  contract.Reason
	// Latency is the time the upstream took; if it is 0, the time since the
	// request was admitted is used.
	Latency time.Duration
}

// Load is a snapshot of the state of admission, small enough to be sent with
// every answer.
type Load struct {
	// InFlight, Limit and Queued count requests.
	InFlight, Limit, Queued int
	// QueueWait is the wait of the request most recently admitted from the
	// queue. A Tick that finds the queue empty resets it to 0.
	QueueWait time.Duration
	// Latency is the recent mean latency of the upstream.
	Latency time.Duration
	// Threshold is the level below which requests are shed.
	Threshold contract.Level
	// Cold reports that the upstream started recently and its limit is still
	// ramping up.
	Cold bool
}

// Ticket identifies one offered request until it has ended. The zero Ticket
// identifies none.
type Ticket uint64

// Outcome is the decision on an offered request.
type Outcome uint8

const (
	// Refused: the request has ended without running.
	Refused Outcome = iota
	// Queued: an Event with the ticket follows, unless it is cancelled.
	Queued
	// Running: the request holds a slot until Done.
	Running
)

// Event reports the outcome of a queued request.
type Event struct {
	Ticket Ticket
	// Outcome is Running or Refused.
	Outcome Outcome
	// Refusal is set if Outcome is Refused.
	Refusal Refusal
}

const (
	// maxDepth is the depth of a call tree that admission allows for.
	maxDepth = 7
	// depthBonus is the number of ranks that a call gains per hop.
	depthBonus = 48
)

// score returns the level by which the request is shed: deeper calls rank
// higher within their class.
func (r Request) score() contract.Level {
	class := r.Level.Class()
	rank := uint32(min(r.Level, contract.MaxLevel-1)) % contract.RanksPerClass
	rank += depthBonus * min(r.Depth, maxDepth)
	return contract.LevelOf(class, uint16(rank))
}
