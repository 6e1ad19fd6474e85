package admission

import (
	"context"
	"sync"
	"time"

	"heathershed/internal/contract"

	"github.com/cockroachdb/errors"
)

// Gate is a Controller that is safe for concurrent use. Acquire blocks while
// the request is queued.
type Gate struct {
	clock func() time.Time

	mu          sync.Mutex
	c           *Controller
	waiters     []*Permit // by index of the ticket
	freePermits []*Permit
}

// maxFreePermits bounds the number of permits kept for reuse.
const maxFreePermits = 4096

// NewGate returns a gate that takes ownership of the controller.
func NewGate(c *Controller, clock func() time.Time) *Gate {
	return &Gate{c: c, clock: clock}
}

// Permit is the right to run one request. It must be released exactly once and
// not be used afterwards, because it is reused for another request.
type Permit struct {
	gate     *Gate
	ticket   Ticket
	class    contract.Class
	decision chan Event // buffers the one event of a queued request
}

// Acquire requests a slot and, if necessary, waits in the queue of the
// request's class. The permit is nil if and only if the request is refused.
func (g *Gate) Acquire(ctx context.Context, r Request) (*Permit, *Refusal) {
	g.mu.Lock()
	ticket, outcome, refusal := g.c.Offer(g.clock(), r)
	// The new ticket may reuse the index of a request that Offer evicted, whose
	// event must be delivered first.
	g.deliverEvents()
	if outcome == Refused {
		g.mu.Unlock()
		return nil, newRefusal(refusal)
	}
	p := g.newPermit(ticket)
	p.class = r.Level.Class()
	if outcome == Queued {
		g.addWaiter(p)
	}
	g.mu.Unlock()
	if outcome == Running {
		return p, nil
	}
	return g.wait(ctx, p)
}

// newRefusal is a separate function so that a refusal escapes to the heap here
// only: admitted requests do not pay for the allocation.
func newRefusal(r Refusal) *Refusal { return &r }

// Release ends the request and frees its slot.
func (p *Permit) Release(res Result) {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.c.Done(g.clock(), p.ticket, res) {
		g.recycle(p)
	}
	g.deliverEvents()
}

// Tick drops stale requests from the queues and adapts the limit and the
// threshold. It should be called every few milliseconds.
func (g *Gate) Tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.c.Tick(now)
	g.deliverEvents()
}

// Load returns a snapshot of the state of admission.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.c.Load()
}

// SetCeiling sets the announced slots; a value less than 1 is ignored.
func (g *Gate) SetCeiling(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.c.SetCeiling(slots)
}

// Reset records that the upstream was restarted; see Controller.Reset.
func (g *Gate) Reset(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.c.Reset(now)
}

// wait blocks until the queued request runs, is refused or its context ends.
func (g *Gate) wait(ctx context.Context, p *Permit) (*Permit, *Refusal) {
	select {
	case e := <-p.decision:
		return g.applyDecision(p, e)
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	if g.c.Cancel(now, p.ticket) {
		g.waiters[p.ticket.index()] = nil
	} else if e := <-p.decision; e.Outcome == Running {
		// The controller decided before the cancellation, so the event is
		// already in the channel.
		g.c.Done(now, p.ticket, Result{Verdict: contract.NotRun, Reason: contract.ReasonCancelled})
		g.deliverEvents()
	}
	g.recycle(p)
	return nil, newRefusal(g.c.refusal(p.class, contextReason(ctx)))
}

// applyDecision returns the permit, or the refusal, that the controller decided
// on.
func (g *Gate) applyDecision(p *Permit, e Event) (*Permit, *Refusal) {
	if e.Outcome == Running {
		return p, nil
	}
	g.mu.Lock()
	g.recycle(p)
	g.mu.Unlock()
	return nil, newRefusal(e.Refusal)
}

// contextReason returns the reason of a request whose context has ended.
func contextReason(ctx context.Context) contract.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return contract.ReasonDeadline
	}
	return contract.ReasonCancelled
}

// The functions below require g.mu to be held.

// deliverEvents passes the controller's events to the waiting requests.
func (g *Gate) deliverEvents() {
	for _, e := range g.c.Events() {
		i := e.Ticket.index()
		p := g.waiters[i]
		g.waiters[i] = nil
		p.decision <- e
	}
}

// addWaiter registers the permit of a queued request.
func (g *Gate) addWaiter(p *Permit) {
	i := int(p.ticket.index())
	for len(g.waiters) <= i {
		g.waiters = append(g.waiters, nil)
	}
	g.waiters[i] = p
}

func (g *Gate) newPermit(t Ticket) *Permit {
	n := len(g.freePermits)
	if n == 0 {
		return &Permit{gate: g, ticket: t, decision: make(chan Event, 1)}
	}
	p := g.freePermits[n-1]
	g.freePermits = g.freePermits[:n-1]
	p.ticket = t
	return p
}

func (g *Gate) recycle(p *Permit) {
	p.ticket = 0
	if len(g.freePermits) < maxFreePermits {
		g.freePermits = append(g.freePermits, p)
	}
}
