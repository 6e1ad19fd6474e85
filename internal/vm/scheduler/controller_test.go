package scheduler

import (
	"context"
	"testing"
	"time"

	"heathershed/internal/contract"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func request(rank, deadline int) Request {
	return Request{Kind: "k", Rank: rank, Deadline: at(deadline)}
}

// newController returns a door with slots whose upstream takes 100 ms.
func newController(slots int) *controller {
	c := &controller{slots: slots}
	c.times.observe("k", 100*time.Millisecond)
	return c
}

func mustOffer(t *testing.T, c *controller, now time.Time, r Request) *entry {
	t.Helper()
	e, refusal := c.offer(now, r)
	if refusal != nil {
		t.Fatalf("refused: %v", refusal.Reason)
	}
	return e
}

func TestNoSlotStaysIdleAndRankGoesFirst(t *testing.T) {
	c := newController(1)
	running := mustOffer(t, c, at(0), request(1, 1000))
	low := mustOffer(t, c, at(1), request(3, 1000))
	lowNext := mustOffer(t, c, at(2), request(3, 1000))
	high := mustOffer(t, c, at(3), request(0, 1000))
	for i, want := range []*entry{high, low, lowNext} {
		c.done(at(10+i), running, true)
		if want.state != running.state && want.state != 1 {
			t.Fatalf("entry %d in state %d, want running", i, want.state)
		}
		if refusal := <-want.told; refusal != nil {
			t.Fatalf("entry %d refused: %v", i, refusal.Reason)
		}
		running = want
	}
}

func TestWhatCantBeAnsweredInTimeIsRefusedAtOnce(t *testing.T) {
	cases := []struct {
		name   string
		r      Request
		refuse bool
	}{
		{"enough time", request(1, 1000), false},
		{"deadline before an answer", request(1, 150), true},
		{"of use too short", Request{Kind: "k", Rank: 1, Deadline: at(1000), ObjectiveAt: at(150)}, true},
		{"use beyond the deadline", Request{Kind: "k", Rank: 1, Deadline: at(150), ObjectiveAt: at(1000)}, true},
		{"unknown kind", Request{Kind: "new", Rank: 1, Deadline: at(150)}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newController(1)
			mustOffer(t, c, at(0), request(1, 1000))
			_, refusal := c.offer(at(0), tc.r)
			if (refusal != nil) != tc.refuse {
				t.Fatalf("refusal %+v, want refused %v", refusal, tc.refuse)
			}
			if refusal != nil && (refusal.RetryAfter <= 0 || refusal.Reason != contract.ReasonOverload) {
				t.Fatalf("refusal %+v, want a wait and overload", refusal)
			}
		})
	}
}

func TestStaleEntryGivesItsSlotToTheNext(t *testing.T) {
	c := newController(1)
	running := mustOffer(t, c, at(0), request(1, 5000))
	stale := mustOffer(t, c, at(0), request(1, 300))
	good := mustOffer(t, c, at(0), request(1, 5000))
	c.done(at(250), running, true)
	if refusal := <-stale.told; refusal == nil || refusal.Reason != contract.ReasonQueueTimeout {
		t.Fatalf("stale entry: %+v, want refused by its time in the queue", refusal)
	}
	if refusal := <-good.told; refusal != nil {
		t.Fatalf("next entry refused: %v", refusal.Reason)
	}
}

func TestClosedGateRefusesWaitersAndNewcomers(t *testing.T) {
	g := NewScheduler()
	if _, refusal := g.Acquire(t.Context(), time.Now(), Request{Deadline: time.Now().Add(time.Second)}); refusal == nil {
		t.Fatal("a gate that was never opened let a request in")
	}
	g.Open(time.Now(), 1, time.Time{}, true)
	now := time.Now()
	r := Request{Kind: "k", Deadline: now.Add(time.Minute)}
	if _, refusal := g.Acquire(t.Context(), now, r); refusal != nil {
		t.Fatal(refusal.Reason)
	}
	refused := make(chan *Refusal)
	go func() {
		_, refusal := g.Acquire(context.Background(), now, r)
		refused <- refusal
	}()
	for g.Load(time.Now(), "").Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	g.Close(contract.ReasonLeaving)
	if refusal := <-refused; refusal == nil || refusal.Reason != contract.ReasonLeaving {
		t.Fatalf("waiter: %+v, want refused because the upstream leaves", refusal)
	}
}

func TestCancelledWaiterLeavesTheQueue(t *testing.T) {
	g := NewScheduler()
	now := time.Now()
	g.Open(now, 1, time.Time{}, true)
	r := Request{Kind: "k", Deadline: now.Add(time.Minute)}
	p, _ := g.Acquire(t.Context(), now, r)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan *Refusal)
	go func() {
		_, refusal := g.Acquire(ctx, now, r)
		ended <- refusal
	}()
	for g.Load(time.Now(), "").Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if refusal := <-ended; refusal == nil || refusal.Reason != contract.ReasonCancelled {
		t.Fatalf("cancelled waiter: %+v", refusal)
	}
	g.Release(time.Now(), p, true)
	if l := g.Load(time.Now(), ""); l.Waiting != 0 || l.InFlight != 0 {
		t.Fatalf("load %+v, want an empty door", l)
	}
}
