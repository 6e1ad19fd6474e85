package admission

import (
	"time"

	"heathershed/internal/contract"
)

// Controller decides on the requests for one upstream. It is deterministic: the
// time comes with each event, and the random source is seeded. It is not safe
// for concurrent use; see Gate.
type Controller struct {
	cfg      Config
	arena    arena
	queues   [contract.NumClasses]queue
	queued   int
	inFlight int
	running  [contract.NumClasses]int // in flight by class

	limiter limiter
	shedder shedder
	kinds   kindLatencies
	rng     rng
	dropper dropper

	latency   float64 // recent mean over all kinds, in seconds; 0 is unknown
	samples   int     // number of samples in the mean
	queueWait time.Duration
	lastEnd   time.Time // of a running request
	events    []Event
}

// NewController returns a controller for an upstream that starts at now.
func NewController(cfg Config, now time.Time) *Controller {
	cfg = cfg.normalised()
	c := &Controller{
		cfg:     cfg,
		limiter: newLimiter(cfg, now),
		shedder: newShedder(now),
		kinds:   newKindLatencies(),
		rng:     rng{state: cfg.Seed},
		dropper: newDropper(cfg.Seed, now),
	}
	for i := range c.queues {
		c.queues[i] = newQueue()
	}
	return c
}

// Offer requests a slot. A Running ticket holds one until Done. A Queued ticket
// ends with an Event or by Cancel. With Refused there is no ticket. Offer may
// also end other requests, see Events.
func (c *Controller) Offer(now time.Time, r Request) (Ticket, Outcome, Refusal) {
	switch c.cfg.Policy {
	case PolicyNone:
		return c.start(now, &r), Running, Refusal{}
	case PolicyFixedCoin:
		return c.offerFixed(now, &r)
	}
	class, score := r.Level.Class(), r.score()
	c.shedder.arrive(score)
	if c.tooLate(now, &r, 0) {
		return c.refuse(class, contract.ReasonDeadline)
	}
	free := c.inFlight < c.classLimit(class)
	// The threshold lags behind the demand: a request that finds a free slot
	// and no other request waiting runs, whatever its rank. An order needs a
	// free slot only.
	idle := free && (class == contract.ClassOrder || c.queued == 0)
	if score < c.shedder.threshold && !idle {
		return c.refuse(class, contract.ReasonOverload)
	}
	if free {
		return c.start(now, &r), Running, Refusal{}
	}
	return c.wait(now, &r, class, score)
}

// Done ends a running request and gives its slot to the next one. It returns
// false for a ticket that is not running.
func (c *Controller) Done(now time.Time, t Ticket, res Result) bool {
	i, ok := c.arena.find(t, entryRunning)
	if !ok {
		return false
	}
	e := &c.arena.entries[i]
	c.lastEnd = now
	c.recordResult(now, e, res)
	e.kind.running--
	c.running[e.class]--
	c.arena.release(i)
	c.limiter.setInFlight(now, c.inFlight, c.inFlight-1)
	c.inFlight--
	c.dispatch(now)
	return true
}

// Cancel removes a queued request. It returns false for a ticket that is not
// queued: the request has ended, or it is running and needs Done.
func (c *Controller) Cancel(_ time.Time, t Ticket) bool {
	i, ok := c.arena.find(t, entryQueued)
	if !ok {
		return false
	}
	c.unqueue(i)
	c.arena.release(i)
	return true
}

// Tick drops stale requests from the queues and adapts the limit and the
// threshold. It should be called every few milliseconds.
func (c *Controller) Tick(now time.Time) {
	c.dropStale(now)
	c.limiter.setInFlight(now, c.inFlight, c.inFlight)
	saturated, probing := c.limiter.saturated(now), c.limiter.probing()
	if c.limiter.tick(now, seconds(c.latency)) && !probing {
		c.kinds.closeWindow(saturated)
	}
	if c.queued == 0 {
		c.shedder.neverEmpty = false
		c.queueWait = 0
	}
	c.shedder.recordUse(float64(c.inFlight) / float64(c.limit()))
	c.shedder.tick(now, c.capacity(), c.waitIsLong(now))
	c.dropper.tick(now, c.capacity())
	c.dispatch(now)
}

// SetCeiling sets the announced slots; a value less than 1 is ignored.
func (c *Controller) SetCeiling(slots int) {
	if slots < 1 {
		return
	}
	c.cfg.Slots = slots
	c.limiter.setCeiling(slots, c.cfg.MinLimit)
}

// Reset records that the upstream was restarted: the limit ramps up again from
// Config.ColdFraction of the slots, and the measured latencies are discarded.
// Requests in flight and queued requests are kept.
func (c *Controller) Reset(now time.Time) {
	c.limiter.reset(c.cfg.ColdFraction, now)
	for _, k := range c.kinds.byName {
		k.forget()
	}
	c.kinds.other.forget()
	c.latency, c.samples = 0, 0
}

// Events returns the outcomes of queued requests since the last call. The slice
// is reused by the next decision.
func (c *Controller) Events() []Event {
	events := c.events
	c.events = c.events[:0]
	return events
}

// Load returns a snapshot of the state of admission.
func (c *Controller) Load() Load {
	return Load{
		InFlight:  c.inFlight,
		Limit:     c.limit(),
		Queued:    c.queued,
		QueueWait: c.queueWait,
		Latency:   seconds(c.latency),
		Threshold: c.announcedThreshold(),
		Cold:      c.limiter.warmingUp,
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// announcedThreshold returns the threshold that is announced to callers: 0
// while a lookup would find a free slot, so that ingresses do not shed requests
// that would run.
func (c *Controller) announcedThreshold() contract.Level {
	if c.queued == 0 && c.inFlight < c.classLimit(contract.ClassLookup) {
		return 0
	}
	return c.shedder.threshold
}
