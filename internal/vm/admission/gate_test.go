package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"heathershed/internal/contract"
)

func request(class contract.Class) Request {
	return Request{Kind: testKinds[class], Level: contract.LevelOf(class, 512)}
}

func gateOf(slots int, now time.Time, clock func() time.Time) *Gate {
	cfg := DefaultConfig(slots)
	cfg.ColdFraction = 1
	return NewGate(NewController(cfg, now), clock)
}

// TestGateReleasesAllSlots sends many callers through a small gate. All must end,
// the slots must be free afterwards, and a refusal for want of time may come neither
// while an answer is still possible nor after the deadline.
func TestGateReleasesAllSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gateOf(2, time.Now(), time.Now)
		ended := make(chan struct{})
		const callers, tick, work = 300, 10 * time.Millisecond, 20 * time.Millisecond
		for i := range callers {
			class := contract.Class(i % contract.NumClasses)
			go func() {
				defer func() { ended <- struct{}{} }()
				time.Sleep(time.Duration(i) * time.Millisecond)
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(10+i%90)*time.Millisecond)
				defer cancel()
				r := request(class)
				r.Deadline, _ = ctx.Deadline()
				permit, refusal := g.Acquire(ctx, r)
				if (permit == nil) == (refusal == nil) {
					t.Error("want either a permit or a refusal")
				}
				if permit == nil {
					left := time.Until(r.Deadline)
					if left < 0 || refusal.Reason == contract.ReasonDeadline && left > work {
						t.Errorf("%v refused with %v left, reason %v; want it before the deadline, and for want of time only with less than %v left", class, left, refusal.Reason, work)
					}
					return
				}
				time.Sleep(work)
				permit.Release(Result{Verdict: contract.Ran})
			}()
		}
		ticker := time.NewTicker(tick)
		defer ticker.Stop()
		for left := callers; left > 0; {
			select {
			case <-ended:
				left--
			case now := <-ticker.C:
				g.Tick(now)
			}
		}
		if l := g.Load(); l.InFlight != 0 || l.Queued != 0 {
			t.Errorf("load after the last caller = %+v, want nothing in flight or queued", l)
		}
	})
}

// TestOrderEvictsQueuedLookup fills the slots and the queue with lookups before
// an order arrives.
func TestOrderEvictsQueuedLookup(t *testing.T) {
	c := NewController(Config{Slots: 2, MinLimit: 2, MaxQueue: 2, ColdFraction: 1}, epoch)
	first, _, _ := c.Offer(epoch, request(contract.ClassLookup))
	for range 3 {
		c.Offer(epoch, request(contract.ClassLookup))
	}
	order, outcome, _ := c.Offer(epoch, request(contract.ClassOrder))
	if outcome != Queued || c.Events()[0].Outcome != Refused {
		t.Fatalf("order: outcome %v, want queued in place of a lookup", outcome)
	}
	c.Done(epoch, first, Result{Verdict: contract.Ran, Latency: time.Millisecond})
	if e := c.Events(); len(e) != 1 || e[0].Ticket != order || e[0].Outcome != Running {
		t.Errorf("after a slot became free: events %+v, want the order running", e)
	}
}

func TestRefusesRequestsThatCannotMeetTheirDeadline(t *testing.T) {
	c := NewController(DefaultConfig(30), epoch)
	now := epoch
	for range 50 {
		ticket, _, _ := c.Offer(now, request(contract.ClassOrder))
		now = now.Add(40 * time.Millisecond)
		c.Done(now, ticket, Result{Verdict: contract.Ran})
	}
	for _, row := range []struct {
		left time.Duration
		want Outcome
	}{{30 * time.Millisecond, Refused}, {50 * time.Millisecond, Running}} {
		r := request(contract.ClassOrder)
		r.Deadline = now.Add(row.left)
		_, got, refusal := c.Offer(now, r)
		if got != row.want || got == Refused && refusal.Reason != contract.ReasonDeadline {
			t.Errorf("%v left for 40ms of work: %v %v, want %v", row.left, got, refusal.Reason, row.want)
		}
	}
	// An estimate without new samples must not refuse a kind forever.
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		c.Tick(now)
	}
	r := request(contract.ClassOrder)
	r.Deadline = now.Add(30 * time.Millisecond)
	if _, got, _ := c.Offer(now, r); got != Running {
		t.Errorf("after 10s without a sample: %v, want running", got)
	}
}

func BenchmarkAcquireRelease(b *testing.B) {
	g := gateOf(30, time.Now(), time.Now)
	r := request(contract.ClassLookup)
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		p, _ := g.Acquire(ctx, r)
		p.Release(Result{Verdict: contract.Ran, Latency: time.Millisecond})
	}
}

func BenchmarkRefuse(b *testing.B) {
	g := gateOf(30, time.Now(), time.Now)
	g.c.shedder.threshold = maxThreshold
	r := request(contract.ClassLookup)
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		g.Acquire(ctx, r)
	}
}

func BenchmarkTick(b *testing.B) {
	g := gateOf(30, epoch, time.Now)
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		g.Tick(now)
	}
}
