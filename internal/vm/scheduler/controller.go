// Package scheduler decides which requests an upstream runs, in which order, and
// which are turned away at once.
//
// The node beside an upstream is the only way to it, so its door knows exactly
// how many requests run there. It is work conserving: no slot stays idle while
// a request waits. What waits is served by rank and, within a rank, in order of
// arrival. A request that can't be answered while it is of use is refused when
// it arrives, or as soon as that becomes known, so that it costs its caller no
// time; it has not run.
//
// This answers load beyond the slots of the upstream: the most urgent requests
// wait for one slot to come free at most, the others are refused early.
package scheduler

import (
	"time"

	"heathershed/internal/contract"
)

// Request is what the door needs to know of one request.
type Request struct {
	// Kind names requests that take similar time.
	Kind string
	// Rank orders what waits; the lowest goes first.
	Rank int
	// Deadline is when the request ends, answered or not.
	Deadline time.Time
	// Idempotent requests may try an upstream that does not answer.
	Idempotent bool
	// ObjectiveAt is until when the answer has its full worth; zero: the deadline.
	ObjectiveAt time.Time
}

// until is when the answer must be there to be worth a slot.
func (r *Request) until() time.Time {
	if r.ObjectiveAt.IsZero() || r.ObjectiveAt.After(r.Deadline) {
		return r.Deadline
	}
	return r.ObjectiveAt
}

// Refusal says why a request was turned away. It has not run.
type Refusal struct {
	Reason contract.Reason
	// RetryAfter is when room is expected.
	RetryAfter time.Duration
}

// Load is a snapshot of the door.
type Load struct {
	// InFlight, Waiting and Slots count requests.
	InFlight, Waiting, Slots int
	// Latency is the recent mean of the upstream, of one kind or of all.
	Latency time.Duration
	Cold    bool
	// Threshold is the level below which requests should not be sent.
	Threshold contract.Level
}

// state of an entry.
type state uint8

const (
	waiting state = iota
	running
	ended
)

// entry is a request between Offer and its end.
type entry struct {
	Request
	state state
	since time.Time
	// told takes one decision for an entry that waits.
	told chan *Refusal
}

// maxWaiting bounds the queue.
const maxWaiting = 1024

// controller is the pure part: time and events in, decisions out.
type controller struct {
	slots    int
	inFlight int
	// queue is by rank, then by arrival.
	queue   []*entry
	times   times
	shedder shedder
	silence silence
}

// look moves the threshold; it is called before each event.
func (c *controller) look(now time.Time) {
	if c.slots < 1 {
		return
	}
	mean := c.times.mean()
	wait := time.Duration(len(c.queue)) * mean / time.Duration(c.slots)
	c.shedder.look(now, wait, mean, c.slots)
}

// offer starts the request, queues it or refuses it.
func (c *controller) offer(now time.Time, r Request) (*entry, *Refusal) {
	c.look(now)
	c.shedder.offered(c.times.expected(r.Kind))
	if !c.silence.admits(now, c.inFlight, c.times.mean(), r.Idempotent) {
		return nil, &Refusal{Reason: contract.ReasonUpstreamSilent, RetryAfter: probeEvery}
	}
	e := &entry{Request: r, since: now}
	if c.inFlight < c.slots && len(c.queue) == 0 {
		c.start(now, e)
		return e, nil
	}
	wait := c.expectedWait(r.Rank)
	if len(c.queue) >= maxWaiting || now.Add(wait+c.times.expected(r.Kind)).After(r.until()) {
		return nil, &Refusal{Reason: contract.ReasonOverload, RetryAfter: wait}
	}
	e.told = make(chan *Refusal, 1)
	c.insert(e)
	return e, nil
}

// insert keeps the queue by rank, then by arrival.
func (c *controller) insert(e *entry) {
	i := len(c.queue)
	for i > 0 && c.queue[i-1].Rank > e.Rank {
		i--
	}
	c.queue = append(c.queue, nil)
	copy(c.queue[i+1:], c.queue[i:])
	c.queue[i] = e
}

// expectedWait is the time until a request of the rank would start.
func (c *controller) expectedWait(rank int) time.Duration {
	if c.slots < 1 {
		return 0
	}
	ahead := 1
	for _, e := range c.queue {
		if e.Rank > rank {
			break
		}
		ahead++
	}
	return time.Duration(ahead) * c.times.mean() / time.Duration(c.slots)
}

func (c *controller) start(now time.Time, e *entry) {
	c.silence.began(now, c.inFlight)
	e.state, e.since = running, now
	c.inFlight++
}

// done ends a running request.
func (c *controller) done(now time.Time, e *entry, ran bool) {
	if e.state != running {
		return
	}
	c.look(now)
	e.state = ended
	c.inFlight--
	if ran {
		c.silence.answered(now)
		c.times.observe(e.Kind, now.Sub(e.since))
	}
	c.dispatch(now)
}

// dispatch starts what waits as far as there are slots.
func (c *controller) dispatch(now time.Time) {
	for c.inFlight < c.slots && len(c.queue) > 0 {
		e := c.queue[0]
		c.queue = c.queue[1:]
		if now.After(c.latestStart(e)) {
			e.state = ended
			e.told <- &Refusal{Reason: contract.ReasonQueueTimeout, RetryAfter: c.expectedWait(e.Rank)}
			continue
		}
		c.start(now, e)
		e.told <- nil
	}
}

// latestStart is when a request must have started to be answered in time.
func (c *controller) latestStart(e *entry) time.Time {
	return e.until().Add(-c.times.expected(e.Kind))
}

// withdraw removes a request that waits and reports whether it did.
func (c *controller) withdraw(e *entry) bool {
	if e.state != waiting {
		return false
	}
	for i, other := range c.queue {
		if other == e {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			e.state = ended
			return true
		}
	}
	return false
}

// refuseAll ends all that waits.
func (c *controller) refuseAll(reason contract.Reason) {
	for _, e := range c.queue {
		e.state = ended
		e.told <- &Refusal{Reason: reason}
	}
	c.queue = nil
}
