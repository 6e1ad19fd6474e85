package admission

import (
	"time"

	"heathershed/internal/contract"
)

// dropper is the state of PolicyFixedCoin: the share of calls to drop,
// computed from the excess of the last window.
type dropper struct {
	random    rng
	windowAt  time.Time
	arrived   int
	dropShare float64
}

func newDropper(seed uint64, now time.Time) dropper {
	return dropper{random: rng{state: seed}, windowAt: now}
}

func (c *dropper) tick(now time.Time, capacity float64) {
	age := now.Sub(c.windowAt)
	if age < shedWindow {
		return
	}
	offered := float64(c.arrived) / age.Seconds()
	c.dropShare = 0
	if capacity > 0 && offered > capacity {
		c.dropShare = 1 - capacity/offered
	}
	c.windowAt, c.arrived = now, 0
}

// offerFixed decides under PolicyFixedCoin: all classes share one queue.
func (c *Controller) offerFixed(now time.Time, r *Request) (Ticket, Outcome, Refusal) {
	c.dropper.arrived++
	if c.dropper.random.unit() < c.dropper.dropShare {
		return 0, Refused, c.refusal(r.Level.Class(), contract.ReasonOverload)
	}
	if c.inFlight < c.cfg.Slots {
		return c.start(now, r), Running, Refusal{}
	}
	if c.queued >= c.cfg.MaxQueue {
		return 0, Refused, c.refusal(r.Level.Class(), contract.ReasonOverload)
	}
	i := c.arena.alloc()
	e := &c.arena.entries[i]
	e.state, e.class = entryQueued, contract.ClassLookup
	e.since, e.deadline = now, r.Deadline
	e.kind = c.kinds.of(r)
	c.queues[e.class].push(&c.arena, i)
	c.queued++
	return c.arena.ticket(i), Queued, Refusal{}
}
