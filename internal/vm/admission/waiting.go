package admission

import (
	"time"

	"heathershed/internal/contract"
)

// wait queues the request. It refuses the request if it cannot run in time, or
// if the queue is full and holds no lower request to evict.
func (c *Controller) wait(now time.Time, r *Request, class contract.Class, score contract.Level) (Ticket, Outcome, Refusal) {
	expected := c.expectedWait(class)
	if c.tooLate(now, r, expected) || c.queued >= c.cfg.MaxQueue && !c.evictBelow(class, score) {
		c.shedder.recordShed(now)
		return c.refuse(class, contract.ReasonOverload)
	}
	i := c.arena.alloc()
	e := &c.arena.entries[i]
	e.state = entryQueued
	e.class, e.score, e.depth = class, score, r.Depth
	e.since, e.deadline = now, r.Deadline
	e.silentUntil = now.Add(max(expected, r.Deadline.Sub(now)/contract.ReturnDivisor))
	e.kind = c.kinds.of(r)
	c.queues[class].push(&c.arena, i)
	c.queued++
	return c.arena.ticket(i), Queued, Refusal{}
}

// expectedWait returns the time until all waiting requests of the class and
// above have started, or 0 if the rate of the upstream is unknown.
func (c *Controller) expectedWait(class contract.Class) time.Duration {
	capacity := c.capacity()
	if capacity <= 0 {
		return 0
	}
	ahead := 0
	for k := int(class); k < contract.NumClasses; k++ {
		ahead += c.queues[k].length
	}
	return seconds(float64(ahead) / capacity)
}

// waitIsLong reports whether a waiting request is expected to wait for longer than
// it should: a call as long at each further hop of its tree would keep it for more
// than the time after which its caller would come back if it were refused.
func (c *Controller) waitIsLong(now time.Time) bool {
	capacity := c.capacity()
	if capacity <= 0 {
		return false
	}
	ahead := 0
	for k := contract.NumClasses - 1; k >= 0; k-- {
		for i := c.queues[k].head; i != none; i = c.arena.entries[i].next {
			ahead++
			e := &c.arena.entries[i]
			hops := 1 + max(maxDepth-int(e.depth), 0)
			wait := seconds(float64(ahead*hops) / capacity)
			if !e.deadline.IsZero() && wait > e.deadline.Sub(now)/contract.ReturnDivisor {
				return true
			}
		}
	}
	return false
}

// evictBelow makes room in a full queue by shedding a request of a lower class,
// or of the same class with a lower score. It returns false if there is none.
func (c *Controller) evictBelow(class contract.Class, score contract.Level) bool {
	for k := contract.ClassLookup; k <= class; k++ {
		if c.queues[k].length == 0 {
			continue
		}
		i := c.queues[k].lowest(&c.arena)
		if k == class && c.arena.entries[i].score >= score {
			return false
		}
		c.shed(i, contract.ReasonOverload)
		return true
	}
	return false
}

// shed removes a queued request and refuses it.
func (c *Controller) shed(i int32, reason contract.Reason) {
	class := c.arena.entries[i].class
	t := c.arena.ticket(i)
	c.shedder.recordShed(c.arena.entries[i].since)
	c.unqueue(i)
	c.arena.release(i)
	c.events = append(c.events, Event{Ticket: t, Outcome: Refused, Refusal: c.refusal(class, reason)})
}

func (c *Controller) unqueue(i int32) {
	c.queues[c.arena.entries[i].class].remove(&c.arena, i)
	c.queued--
}

// dispatch starts waiting requests while there is room, highest class first.
func (c *Controller) dispatch(now time.Time) {
	for k := contract.NumClasses - 1; k >= 0; k-- {
		class := contract.Class(k)
		for c.queues[k].length > 0 && c.inFlight < c.classLimit(class) {
			c.startQueued(now, c.queues[k].head)
		}
	}
}

func (c *Controller) startQueued(now time.Time, i int32) {
	if reason := c.staleReason(now, i); reason != contract.ReasonNone {
		c.shed(i, reason)
		return
	}
	c.unqueue(i)
	e := &c.arena.entries[i]
	c.queueWait = now.Sub(e.since)
	e.state, e.since = entryRunning, now
	c.addRunning(now, e)
	c.events = append(c.events, Event{Ticket: c.arena.ticket(i), Outcome: Running})
}

// staleReason returns why a queued request should wait no longer, or ReasonNone:
// it can't be answered by its deadline any more, or the upstream has ended nothing
// since it came and it can still be answered elsewhere.
func (c *Controller) staleReason(now time.Time, i int32) contract.Reason {
	e := &c.arena.entries[i]
	switch {
	case e.deadline.IsZero():
		return contract.ReasonNone
	case e.deadline.Sub(now) <= e.kind.expected():
		return contract.ReasonDeadline
	case !c.lastEnd.After(e.since) && now.After(e.silentUntil):
		return contract.ReasonQueueTimeout
	}
	return contract.ReasonNone
}

// dropStale sheds all queued requests that should wait no longer.
func (c *Controller) dropStale(now time.Time) {
	for k := contract.NumClasses - 1; k >= 0; k-- {
		for i := c.queues[k].head; i != none; {
			next := c.arena.entries[i].next
			if reason := c.staleReason(now, i); reason != contract.ReasonNone {
				c.shed(i, reason)
			}
			i = next
		}
	}
}
