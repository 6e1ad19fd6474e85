package scheduler

import (
	"context"
	"sync"
	"time"

	"heathershed/internal/contract"
	"heathershed/internal/vm/pace"
)

// Scheduler admits requests to one upstream. It is closed at first, and safe
// for concurrent use.
type Scheduler struct {
	mu     sync.Mutex
	c      controller
	open   bool
	warmAt time.Time
	// timer starts waiting requests when the limit of the upstream allows it.
	timer *time.Timer
}

// NewScheduler returns a closed scheduler.
func NewScheduler() *Scheduler { return &Scheduler{} }

// Permit is the right to run one request. It must be passed to Release once.
type Permit struct{ e *entry }

// Open admits requests, as many at a time as there are slots, but at least one.
// The upstream is warming up until warmAt. fresh says that it is a new instance
// of the upstream: the latencies and the last answer of the earlier one no
// longer count.
func (s *Scheduler) Open(now time.Time, slots int, warmAt time.Time, fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fresh {
		s.c.latencies.reset()
		s.c.saturation = saturation{}
		s.c.responsiveness = responsiveness{since: now}
	}
	s.open, s.warmAt = true, warmAt
	s.c.slots = max(slots, 1)
	s.c.dispatch(now)
	s.setTimer(now)
}

// SetLimit paces requests by the limit that the upstream names, in requests a
// second, or no longer if it names none. limit must be finite and 0 or more.
func (s *Scheduler) SetLimit(now time.Time, limited bool, limit float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.c.setLimit(now, limited, limit)
	s.setTimer(now)
}

// RampUp records that the upstream has begun to take requests since its start: it ramps
// up as soon as there is evidence of its peers. The scheduler must be open.
func (s *Scheduler) RampUp(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.c.ramp.Start(now, s.c.slots)
}

// SetEvidence tells what the node knows of its upstream and of the upstream's peers.
// Without it, an upstream that starts or recovers gets all of its slots at once.
func (s *Scheduler) SetEvidence(now time.Time, e pace.Evidence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.c.ramp.SetEvidence(now, e, s.c.slots, s.c.inFlight)
	s.c.dispatch(now)
	s.setTimer(now)
}

// setTimer sets the timer if requests wait only for the limit of the upstream.
// The caller holds s.mu.
func (s *Scheduler) setTimer(now time.Time) {
	wait, ok := s.c.nextDispatch(now)
	switch {
	case !ok:
	case s.timer == nil:
		s.timer = time.AfterFunc(wait, s.dispatch)
	default:
		s.timer.Reset(wait)
	}
}

// dispatch starts waiting requests when the timer fires.
func (s *Scheduler) dispatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.c.dispatch(now)
	s.setTimer(now)
}

// Close rejects all requests until the next Open, waiting requests with the
// reason and new ones with ReasonLeaving. Running requests are not affected.
func (s *Scheduler) Close(reason contract.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = false
	s.c.rejectAll(reason)
}

// Acquire asks for a slot and waits for it while the request can still be
// answered in time. The Permit is nil if and only if the request is rejected.
func (s *Scheduler) Acquire(ctx context.Context, now time.Time, r Request) (*Permit, *Refusal) {
	s.mu.Lock()
	if !s.open {
		s.mu.Unlock()
		return nil, &Refusal{Reason: contract.ReasonLeaving}
	}
	e, refusal := s.c.offer(now, r)
	if refusal != nil {
		s.mu.Unlock()
		return nil, refusal
	}
	queued := e.state == waiting
	latest := s.c.latestStart(e).Sub(now)
	silent := max(s.c.expectedWait(now, e), e.Deadline.Sub(now)/contract.ReturnDivisor)
	s.setTimer(now)
	s.mu.Unlock()
	if !queued {
		return &Permit{e}, nil
	}
	return s.wait(ctx, e, silent, latest)
}

// wait blocks until the request is started or rejected, it can't be answered in
// time any more or ctx ends. If the upstream has answered nothing since the request
// came, it waits for the time of silent only: it can still be answered elsewhere.
func (s *Scheduler) wait(ctx context.Context, e *entry, silent, latest time.Duration) (*Permit, *Refusal) {
	silence, timeout := time.NewTimer(silent), time.NewTimer(latest)
	defer silence.Stop()
	defer timeout.Stop()
	for {
		select {
		case refusal := <-e.decision:
			return permitOf(e, refusal)
		case <-silence.C:
			if s.hasAnsweredSince(e) {
				continue
			}
			return s.withdraw(e, contract.ReasonUpstreamSilent)
		case <-timeout.C:
			return s.withdraw(e, contract.ReasonQueueTimeout)
		case <-ctx.Done():
			return s.withdraw(e, contract.ReasonCancelled)
		}
	}
}

// hasAnsweredSince reports whether the upstream has answered a request since the
// entry was queued.
func (s *Scheduler) hasAnsweredSince(e *entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.c.responsiveness.since.After(e.since)
}

// withdraw rejects a request that waits, unless that is decided already.
func (s *Scheduler) withdraw(e *entry, reason contract.Reason) (*Permit, *Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.c.withdraw(e) {
		return nil, e.refusal(reason, s.c.expectedWait(time.Now(), e))
	}
	return permitOf(e, <-e.decision) // decided before s.mu was taken
}

func permitOf(e *entry, refusal *Refusal) (*Permit, *Refusal) {
	if refusal != nil {
		return nil, refusal
	}
	return &Permit{e}, nil
}

// Release frees the slot. ran says that the upstream answered; only then does
// the time since the start count as a latency.
func (s *Scheduler) Release(now time.Time, p *Permit, ran bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.c.release(now, p.e, ran)
	s.setTimer(now)
}

// Load returns a snapshot with the latency of the kind, or with the mean over
// all kinds if kind is empty.
func (s *Scheduler) Load(now time.Time, kind string) Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	latency := s.c.latencies.expected(kind)
	if kind == "" {
		latency = s.c.latencies.mean()
	}
	s.c.updateThreshold(now)
	return Load{
		Threshold: s.c.threshold(now),
		Demand:    s.c.shedder.demand,
		PaceWait:  s.c.pacer.wait(now, len(s.c.queue)+1),
		InFlight:  s.c.inFlight,
		Waiting:   len(s.c.queue),
		Slots:     s.c.slots,
		Usable:    s.c.usable(now),
		Slowdown:  s.c.saturation.slowdown.value,
		Latency:   latency,
		Reported:  s.c.reported(now),
		Ramping:   s.c.ramp.Active(now),
		Cold:      now.Before(s.warmAt) && !s.c.ramp.Ended(),
	}
}
