package scheduler

import (
	"context"
	"sync"
	"time"

	"heathershed/internal/contract"
)

// Scheduler is the door of one upstream, safe for concurrent use. It is closed at
// first.
type Scheduler struct {
	mu     sync.Mutex
	c      controller
	open   bool
	warmAt time.Time
}

// NewScheduler returns a closed door.
func NewScheduler() *Scheduler { return &Scheduler{} }

// Permit is the right to run one request; it must be given to Done once.
type Permit struct{ e *entry }

// Open lets requests in, as many at once as there are slots. The upstream is
// cold until warmAt. What is known of its latency stays where fresh is false.
func (g *Scheduler) Open(now time.Time, slots int, warmAt time.Time, fresh bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if fresh {
		g.c.times.forget()
		g.c.silence = silence{since: now}
	}
	g.open, g.warmAt = true, warmAt
	g.c.slots = max(slots, 1)
	g.c.dispatch(now)
}

// Close lets no request in any more; what waits is refused with the reason.
func (g *Scheduler) Close(reason contract.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = false
	g.c.refuseAll(reason)
}

// Acquire asks for a slot and waits for it where that is of use. The Permit is
// nil if and only if the request is refused.
func (g *Scheduler) Acquire(ctx context.Context, now time.Time, r Request) (*Permit, *Refusal) {
	g.mu.Lock()
	if !g.open {
		g.mu.Unlock()
		return nil, &Refusal{Reason: contract.ReasonLeaving}
	}
	e, refusal := g.c.offer(now, r)
	if refusal != nil {
		g.mu.Unlock()
		return nil, refusal
	}
	queued := e.state == waiting
	latest := g.c.latestStart(e)
	g.mu.Unlock()
	if !queued {
		return &Permit{e}, nil
	}
	return g.wait(ctx, e, latest.Sub(now))
}

// wait blocks until the request may run, is refused or is of no use any more.
func (g *Scheduler) wait(ctx context.Context, e *entry, useful time.Duration) (*Permit, *Refusal) {
	timer := time.NewTimer(useful)
	defer timer.Stop()
	reason := contract.ReasonQueueTimeout
	select {
	case refusal := <-e.told:
		return permitOf(e, refusal)
	case <-timer.C:
	case <-ctx.Done():
		reason = contract.ReasonCancelled
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.c.withdraw(e) {
		return nil, &Refusal{Reason: reason, RetryAfter: g.c.expectedWait(e.Rank)}
	}
	return permitOf(e, <-e.told) // decided meanwhile
}

func permitOf(e *entry, refusal *Refusal) (*Permit, *Refusal) {
	if refusal != nil {
		return nil, refusal
	}
	return &Permit{e}, nil
}

// Release frees the slot. ran says that the upstream answered, so that its latency
// counts.
func (g *Scheduler) Release(now time.Time, p *Permit, ran bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.c.done(now, p.e, ran)
}

// Load returns a snapshot with the latency of the kind.
func (g *Scheduler) Load(now time.Time, kind string) Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	latency := g.c.times.expected(kind)
	if kind == "" {
		latency = g.c.times.mean()
	}
	g.c.look(now)
	return Load{
		Threshold: g.c.shedder.threshold(),
		InFlight:  g.c.inFlight,
		Waiting:   len(g.c.queue),
		Slots:     g.c.slots,
		Latency:   latency,
		Cold:      now.Before(g.warmAt),
	}
}
