// Package scheduler decides which requests an upstream runs, in which order,
// and which are rejected.
//
// The node beside an upstream is the only way to it, so its scheduler knows
// exactly how many requests run there. No slot stays idle while a request waits,
// unless the upstream runs fewer requests a second with all slots in use. Waiting
// requests are started by rank and, within a rank, by deadline. A request that
// can't be answered in time is rejected when it arrives, or as soon as that becomes
// known, so that its caller loses no time. A rejected request has not run.
//
// Under load beyond the slots of the upstream, the most urgent requests wait
// for at most one slot to become free and the others are rejected early.
package scheduler

import (
	"cmp"
	"slices"
	"time"

	"heathershed/internal/contract"
	"heathershed/internal/vm/pace"
)

// Request describes one request to the scheduler.
type Request struct {
	// Kind names requests with similar latency.
	Kind string
	// Rank orders waiting requests. The lowest is started first, unlike with
	// contract.Level, whose lowest is shed first.
	Rank int
	// Level is the priority level of the root request, and Admitted the
	// threshold that it met at the ingress.
	Level, Admitted contract.Level
	// Deadline is when the request ends, answered or not.
	Deadline time.Time
	// Idempotent requests may be sent as probes to an unresponsive upstream.
	Idempotent bool
	// Nested marks a call of another upstream, and MakesCalls requests of a kind
	// that is known to make nested calls: both are part of a call tree.
	Nested, MakesCalls bool
	// Shared says that the rank within Level follows from the share of the request's
	// workspace.
	Shared bool
	// NoWait requests are rejected where they would wait for the limit that
	// the upstream names: another upstream has none.
	NoWait bool
}

// isTreePart reports whether the request makes or is a nested call.
func (r *Request) isTreePart() bool { return r.Nested || r.MakesCalls }

// Refusal says why a request was rejected. The request has not run.
type Refusal struct {
	Reason contract.Reason
	// RetryAfter is the expected time until a slot is free.
	RetryAfter time.Duration
	// BeyondShare says that the request is beyond the share of its workspace.
	BeyondShare bool
}

// Load is a snapshot of a Scheduler.
type Load struct {
	// InFlight, Waiting and Slots count requests.
	InFlight, Waiting, Slots int
	// Usable is the number of slots that are used; less than Slots while the upstream is
	// known to slow down with all of them in use, or ramps up. Reported is the number
	// that other nodes are told. Ramping says that the upstream ramps up. Slowdown is
	// the mean latency with nearly all slots in use over that with some idle; 0 if
	// unknown.
	Usable, Reported int
	Ramping          bool
	Slowdown         float64
	// Latency is the recent mean latency of the upstream, of one kind or of all.
	Latency time.Duration
	// Cold says that the upstream is still warming up.
	Cold bool
	// Threshold is the priority level below which requests should not be sent.
	Threshold contract.Level
	// Demand is the recent mean of the work offered, as a share of the slots.
	Demand float64
	// PaceWait is how long a request that arrives now would wait for the limit
	// that the upstream names.
	PaceWait time.Duration
}

// state of an entry.
type state uint8

const (
	waiting state = iota
	running
	ended
)

// entry is a request between offer and its end.
type entry struct {
	Request
	state state
	// since is when the request arrived or, once it runs, when it was started.
	since time.Time
	// beyondShare says that the request is beyond the share of its workspace: its
	// level was below the threshold when it arrived.
	beyondShare bool
	// number is how many requests ran once it was started, itself included.
	number int
	// decision receives one value if the request had to wait: nil when it is
	// started, or the refusal.
	decision chan *Refusal
}

const (
	// maxWaiting bounds the queue.
	maxWaiting = 1024
	// rampQueueDivisor bounds the queue while the upstream ramps up to that part of
	// the slots that are used, so that the wait is short against the run.
	rampQueueDivisor = 4
)

// controller makes the decisions of a Scheduler. It is deterministic: it has no
// clock and no goroutines, and methods that depend on the time take it as an
// argument. It is not safe for concurrent use.
type controller struct {
	slots    int
	inFlight int
	// queue is ordered by rank, then by deadline.
	queue          []*entry
	latencies      latencies
	shedder        shedder
	pacer          pacer
	responsiveness responsiveness
	saturation     saturation
	ramp           pace.Ramp
	// limitEnded is when the last limit ended. Runs from before it say nothing
	// of the latency after it.
	limitEnded time.Time
}

// updateThreshold lets the shedder move the threshold. It is called when a
// request is offered or released, and before the threshold is read. Slots that are
// not used while the upstream ramps up count: what it can't take yet goes to its
// peers and must not shed requests at the ingress.
func (c *controller) updateThreshold(now time.Time) {
	if c.slots < 1 {
		return
	}
	c.shedder.updateThreshold(now, c.latencies.mean(), c.saturation.usable(now, c.slots), c.inFlight, c.queue)
}

// usable returns the number of slots to use.
func (c *controller) usable(now time.Time) int {
	return min(c.saturation.usable(now, c.slots), c.ramp.Limit(now, c.slots))
}

// reported returns the slots that are reported to other nodes: while the upstream
// ramps up, those that are used.
func (c *controller) reported(now time.Time) int {
	if c.ramp.Active(now) {
		return c.usable(now)
	}
	return c.slots
}

// rampAdmits reports whether a request may be sent while the upstream ramps up. Only a
// few wait then: they are answered sooner by its peers.
func (c *controller) rampAdmits(now time.Time, idempotent bool) bool {
	if !c.ramp.Active(now) {
		return true
	}
	usable := c.usable(now)
	if c.inFlight >= usable && len(c.queue) >= max(usable/rampQueueDivisor, 1) {
		return false
	}
	return c.ramp.Admits(now, idempotent)
}

// threshold is the priority level below which requests should not be sent.
func (c *controller) threshold(now time.Time) contract.Level {
	return max(c.shedder.threshold(), c.pacer.threshold(now, c.tooLongUnderLimit(now)))
}

// tooLongUnderLimit returns the length of the queue, or 0 if all requests in it can
// wait for the limit that the upstream names, see canWait.
func (c *controller) tooLongUnderLimit(now time.Time) int {
	if canWait(now, c.queue, func(n int) time.Duration { return c.pacer.wait(now, n) }) {
		return 0
	}
	return len(c.queue)
}

// offer starts the request, queues it or rejects it.
func (c *controller) offer(now time.Time, r Request) (*entry, *Refusal) {
	c.updateThreshold(now)
	c.shedder.offered(c.latencies.expected(r.Kind), &r)
	if !c.responsiveness.admits(now, c.inFlight, c.latencies.mean(), r.Idempotent) {
		return nil, &Refusal{Reason: contract.ReasonUpstreamSilent, RetryAfter: probeInterval}
	}
	if !c.rampAdmits(now, r.Idempotent) {
		return nil, &Refusal{Reason: contract.ReasonOverload, RetryAfter: c.latencies.mean()}
	}
	paced := c.pacer.wait(now, len(c.queue)+1)
	if c.pacer.excludes(&r) || r.NoWait && paced > 0 {
		return nil, &Refusal{Reason: contract.ReasonUpstreamLimit, RetryAfter: paced}
	}
	if queued := c.tooLongUnderLimit(now); !r.NoWait && queued > 0 {
		c.pacer.offered(now, queued, r.Level)
	}
	e := &entry{Request: r, since: now}
	e.beyondShare = r.Shared && r.Level < c.threshold(now)
	if c.inFlight < c.usable(now) && len(c.queue) == 0 && c.pacer.ready(now) {
		c.start(now, e)
		return e, nil
	}
	wait := c.expectedWait(now, e)
	late := now.Add(wait + c.latencies.expected(r.Kind)).After(r.Deadline)
	if late || len(c.queue) >= maxWaiting && !c.evictFor(now, e) {
		return nil, e.refusal(c.lacking(now), wait)
	}
	e.decision = make(chan *Refusal, 1)
	c.insert(e)
	return e, nil
}

// lacking returns the reason for which a request can't start now: the limit
// that the upstream names, or its slots.
func (c *controller) lacking(now time.Time) contract.Reason {
	if c.pacer.wait(now, len(c.queue)+1) > 0 {
		return contract.ReasonUpstreamLimit
	}
	return contract.ReasonOverload
}

// refusal returns the rejection of the request.
func (e *entry) refusal(reason contract.Reason, retryAfter time.Duration) *Refusal {
	return &Refusal{Reason: reason, RetryAfter: retryAfter, BeyondShare: e.beyondShare}
}

// evictFor makes room in a full queue for a request with a share: it rejects the
// waiting request of the lowest level. It reports false if none is below that of e.
func (c *controller) evictFor(now time.Time, e *entry) bool {
	lowest := slices.MinFunc(c.queue, func(a, b *entry) int { return cmp.Compare(a.Level, b.Level) })
	if !e.Shared || lowest.Level >= e.Level {
		return false
	}
	retryAfter := c.expectedWait(now, lowest)
	c.withdraw(lowest)
	lowest.decision <- lowest.refusal(contract.ReasonOverload, retryAfter)
	return true
}

// before reports whether e is started before a waiting other: by rank, then within
// the share of its workspace before beyond it, then by deadline. A call tree that is
// nearly complete is the first to end.
func (e *entry) before(other *entry) bool {
	if e.Rank != other.Rank {
		return e.Rank < other.Rank
	}
	if e.beyondShare != other.beyondShare {
		return other.beyondShare
	}
	return e.Deadline.Before(other.Deadline)
}

// insert puts an entry behind all entries that are started before it.
func (c *controller) insert(e *entry) {
	i := len(c.queue)
	for i > 0 && e.before(c.queue[i-1]) {
		i--
	}
	c.queue = append(c.queue, nil)
	copy(c.queue[i+1:], c.queue[i:])
	c.queue[i] = e
}

// expectedWait estimates how long a request would wait for a slot and for the
// limit that the upstream names.
func (c *controller) expectedWait(now time.Time, e *entry) time.Duration {
	if c.slots < 1 {
		return 0
	}
	ahead := 1
	for _, other := range c.queue {
		if e.before(other) {
			break
		}
		ahead++
	}
	forSlot := time.Duration(ahead) * c.latencies.mean() / time.Duration(c.reported(now))
	return max(forSlot, c.pacer.wait(now, ahead))
}

func (c *controller) start(now time.Time, e *entry) {
	c.responsiveness.started(now, c.inFlight)
	c.pacer.take(now)
	e.state, e.since = running, now
	c.inFlight++
	e.number = c.inFlight
}

// release ends a running request. ran says that the upstream answered it.
func (c *controller) release(now time.Time, e *entry, ran bool) {
	if e.state != running {
		return
	}
	c.updateThreshold(now)
	e.state = ended
	c.ramp.Observe(now, c.slots, pace.End{Began: e.since, Answered: ran, Idempotent: e.Idempotent, InFlight: c.inFlight})
	c.inFlight--
	if ran {
		c.responsiveness.answered(now)
		if !e.since.Before(c.limitEnded) {
			c.latencies.observe(e.Kind, now.Sub(e.since))
			c.observeSaturation(now, e)
		}
	}
	c.dispatch(now)
}

// observeSaturation records the latency of a request that makes no calls.
func (c *controller) observeSaturation(now time.Time, e *entry) {
	if !e.MakesCalls {
		c.saturation.observe(now, e.Kind, now.Sub(e.since), e.number, c.slots)
	}
}

// dispatch starts waiting requests while slots are free and the limit that the
// upstream names allows it. A request that can no longer be answered in time is
// rejected instead.
func (c *controller) dispatch(now time.Time) {
	for c.inFlight < c.usable(now) && len(c.queue) > 0 {
		e := c.queue[0]
		late := now.After(c.latestStart(e))
		if !late && !c.pacer.ready(now) {
			return
		}
		c.queue = c.queue[1:]
		if late {
			e.state = ended
			e.decision <- e.refusal(contract.ReasonQueueTimeout, c.expectedWait(now, e))
			continue
		}
		c.start(now, e)
		e.decision <- nil
	}
}

// setLimit paces requests by the limit that the upstream names, or no longer.
//
// Where a limit begins, waiting requests are rejected: their senders did not know
// of it and may know an upstream without one. Where it falls, those are rejected
// that can't start in time any more. Where it ends, the latencies measured under it
// are forgotten.
func (c *controller) setLimit(now time.Time, limited bool, limit float64) {
	began, fell := !c.pacer.limited, limit < c.pacer.limit
	c.pacer.setLimit(now, limited, limit)
	switch {
	case !limited && !began:
		c.latencies.reset()
		c.saturation = saturation{}
		c.limitEnded = now
	case limited && began:
		c.rejectAll(contract.ReasonUpstreamLimit)
	case limited && fell:
		c.rejectLate(now)
	}
	c.dispatch(now)
}

// rejectLate rejects waiting requests that the limit lets start too late.
func (c *controller) rejectLate(now time.Time) {
	waiting := c.queue
	c.queue = nil
	for _, e := range waiting {
		start := c.pacer.wait(now, len(c.queue)+1)
		if c.pacer.excludes(&e.Request) || now.Add(start).After(c.latestStart(e)) {
			e.state = ended
			e.decision <- &Refusal{Reason: contract.ReasonUpstreamLimit, RetryAfter: start}
			continue
		}
		c.queue = append(c.queue, e)
	}
}

// nextDispatch returns the time until waiting requests can start although no
// running one ends, and reports whether there is such a time.
func (c *controller) nextDispatch(now time.Time) (wait time.Duration, ok bool) {
	if len(c.queue) == 0 || c.inFlight >= c.usable(now) {
		return 0, false
	}
	return c.pacer.wait(now, 1), true
}

// latestStart is when a request must have started to be answered in time.
func (c *controller) latestStart(e *entry) time.Time {
	return e.Deadline.Add(-c.latencies.expected(e.Kind))
}

// withdraw removes a waiting request and reports whether it did.
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

// rejectAll rejects all waiting requests.
func (c *controller) rejectAll(reason contract.Reason) {
	for _, e := range c.queue {
		e.state = ended
		e.decision <- &Refusal{Reason: reason}
	}
	c.queue = nil
}
