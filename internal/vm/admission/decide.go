package admission

import (
	"time"

	"heathershed/internal/contract"
)

const (
	// A limit of at least orderReserveFrom reserves one in slotsPerOrderReserve
	// slots, and at least one, for orders, in addition to the slots that orders
	// already hold. A limit of at least slotsPerCheckReserve also reserves one
	// in so many slots for checks against lookups, less the slots that checks
	// already hold: checks may wait a little.
	orderReserveFrom     = 4
	slotsPerOrderReserve = 48
	slotsPerCheckReserve = 30
)

// limit returns the number of requests that may be in flight.
func (c *Controller) limit() int {
	if c.cfg.Policy == PolicyAdaptive {
		return c.limiter.value()
	}
	return c.cfg.Slots
}

// classLimit returns the number of requests in flight below which a request of
// the class may start.
func (c *Controller) classLimit(class contract.Class) int {
	limit := c.limit()
	if c.cfg.Policy != PolicyAdaptive {
		return limit
	}
	if class == contract.ClassOrder {
		return max(limit, c.limiter.orderLimit())
	}
	classLimit := limit - orderReserve(limit)
	if class == contract.ClassLookup {
		classLimit -= max(0, checkReserve(limit)-c.running[contract.ClassCheck])
	}
	return classLimit
}

// orderReserve returns the number of slots of the limit that only orders may
// take.
func orderReserve(limit int) int {
	if limit < orderReserveFrom {
		return 0
	}
	return max(1, limit/slotsPerOrderReserve)
}

// checkReserve returns the number of further slots of the limit that are
// reserved for checks.
func checkReserve(limit int) int { return limit / slotsPerCheckReserve }

// capacity returns the rate that the upstream can sustain, in requests per
// second; 0 is unknown.
func (c *Controller) capacity() float64 {
	if c.latency <= 0 {
		return 0
	}
	return float64(c.limit()) / c.latency
}

// tooLate reports whether the request cannot be answered by its deadline if it
// waits for the given time first.
func (c *Controller) tooLate(now time.Time, r *Request, wait time.Duration) bool {
	if r.Deadline.IsZero() {
		return false
	}
	expected := c.kinds.of(r).expected()
	return r.Deadline.Sub(now) <= wait+expected
}

// start admits the request.
func (c *Controller) start(now time.Time, r *Request) Ticket {
	i := c.arena.alloc()
	e := &c.arena.entries[i]
	e.state = entryRunning
	e.class = r.Level.Class()
	e.since = now
	e.kind = c.kinds.of(r)
	c.addRunning(now, e)
	if c.queued == 0 {
		c.shedder.neverEmpty = false
	}
	return c.arena.ticket(i)
}

// addRunning counts a request that starts to run.
func (c *Controller) addRunning(now time.Time, e *entry) {
	e.kind.running++
	c.running[e.class]++
	c.limiter.setInFlight(now, c.inFlight, c.inFlight+1)
	c.inFlight++
}

// recordResult updates the latency estimates and the refusals of the upstream
// with the result of a finished request.
func (c *Controller) recordResult(now time.Time, e *entry, res Result) {
	if res.Verdict == contract.NotRun {
		if res.Reason == contract.ReasonUpstreamRefused {
			c.limiter.refused++
		}
		return
	}
	if res.Verdict != contract.Ran && res.Reason != contract.ReasonDeadline {
		// A broken connection says nothing about the time a request takes.
		return
	}
	latency := res.Latency
	if latency <= 0 {
		latency = now.Sub(e.since)
	}
	s := latency.Seconds()
	c.samples++
	c.latency += (s - c.latency) * max(latencyGain, 1/float64(c.samples))
	c.limiter.observe(e.kind.observe(s))
}

// latencyGain is the weight of one sample in the mean over all kinds, once
// there are at least 128 samples.
const latencyGain = 1.0 / 128

func (c *Controller) refuse(class contract.Class, reason contract.Reason) (Ticket, Outcome, Refusal) {
	return 0, Refused, c.refusal(class, reason)
}

func (c *Controller) refusal(class contract.Class, reason contract.Reason) Refusal {
	return Refusal{
		Reason:     reason,
		RetryAfter: c.rng.retryAfter(c.shedder.overload(class, c.capacity())),
		Threshold:  c.shedder.threshold,
	}
}
