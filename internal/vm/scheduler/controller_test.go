package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"heathershed/internal/contract"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func request(rank, deadline int) Request {
	return Request{Kind: "k", Rank: rank, Deadline: at(deadline)}
}

// newController returns a controller whose upstream answers in 100 ms.
func newController(slots int) *controller {
	c := &controller{slots: slots}
	c.latencies.observe("k", 100*time.Millisecond)
	return c
}

func mustOffer(t *testing.T, c *controller, now time.Time, r Request) *entry {
	t.Helper()
	e, refusal := c.offer(now, r)
	if refusal != nil {
		t.Fatalf("rejected: %v", refusal.Reason)
	}
	return e
}

func isRunning(e *entry) bool { return e.state == running }

func TestRequestThatEndsSoonerStartsFirst(t *testing.T) {
	c := newController(1)
	running := mustOffer(t, c, at(0), request(1, 1000))
	young := mustOffer(t, c, at(1), request(1, 900))
	old := mustOffer(t, c, at(2), request(1, 500))
	urgent := mustOffer(t, c, at(3), request(0, 1000))
	for i, next := range []*entry{urgent, old, young} {
		c.release(at(100*(i+1)), running, true)
		if !isRunning(next) {
			t.Fatalf("slot %d went to another request", i)
		}
		running = next
	}
}

func TestFreedSlotGoesToLowestRankFirst(t *testing.T) {
	c := newController(1)
	running := mustOffer(t, c, at(0), request(1, 1000))
	low := mustOffer(t, c, at(1), request(3, 1000))
	lowNext := mustOffer(t, c, at(2), request(3, 1000))
	high := mustOffer(t, c, at(3), request(0, 1000))
	for i, want := range []*entry{high, low, lowNext} {
		c.release(at(10+i), running, true)
		if want.state != running.state && want.state != 1 {
			t.Fatalf("entry %d: got state %d, want running", i, want.state)
		}
		if refusal := <-want.decision; refusal != nil {
			t.Fatalf("entry %d rejected: %v", i, refusal.Reason)
		}
		running = want
	}
}

func TestUnanswerableRequestIsRejectedOnArrival(t *testing.T) {
	cases := []struct {
		name   string
		r      Request
		reject bool
	}{
		{"enough time", request(1, 1000), false},
		{"deadline before an answer", request(1, 150), true},
		{"unknown kind", Request{Kind: "new", Rank: 1, Deadline: at(150)}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newController(1)
			mustOffer(t, c, at(0), request(1, 1000))
			_, refusal := c.offer(at(0), tc.r)
			if (refusal != nil) != tc.reject {
				t.Fatalf("got refusal %+v, want rejected %v", refusal, tc.reject)
			}
			if refusal != nil && (refusal.RetryAfter <= 0 || refusal.Reason != contract.ReasonOverload) {
				t.Fatalf("got refusal %+v, want reason overload and a wait", refusal)
			}
		})
	}
}

func TestExpiredEntryGivesItsSlotToTheNext(t *testing.T) {
	c := newController(1)
	running := mustOffer(t, c, at(0), request(1, 5000))
	expired := mustOffer(t, c, at(0), request(1, 300))
	good := mustOffer(t, c, at(0), request(1, 5000))
	c.release(at(250), running, true)
	if refusal := <-expired.decision; refusal == nil || refusal.Reason != contract.ReasonQueueTimeout {
		t.Fatalf("expired entry: got %+v, want a queue timeout", refusal)
	}
	if refusal := <-good.decision; refusal != nil {
		t.Fatalf("next entry rejected: %v", refusal.Reason)
	}
}

func TestClosedSchedulerRejectsWaitingAndNewRequests(t *testing.T) {
	s := NewScheduler()
	if _, refusal := s.Acquire(t.Context(), time.Now(), Request{Deadline: time.Now().Add(time.Second)}); refusal == nil {
		t.Fatal("a scheduler that was never opened admitted a request")
	}
	s.Open(time.Now(), 1, time.Time{}, true)
	now := time.Now()
	r := Request{Kind: "k", Deadline: now.Add(time.Minute)}
	if _, refusal := s.Acquire(t.Context(), now, r); refusal != nil {
		t.Fatal(refusal.Reason)
	}
	refused := make(chan *Refusal)
	go func() {
		_, refusal := s.Acquire(context.Background(), now, r)
		refused <- refusal
	}()
	for s.Load(time.Now(), "").Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	s.Close(contract.ReasonLeaving)
	if refusal := <-refused; refusal == nil || refusal.Reason != contract.ReasonLeaving {
		t.Fatalf("waiting request: got %+v, want reason leaving", refusal)
	}
}

// TestRequestLeavesAnUpstreamThatAnswersNothing guards against spending all of a
// caller's time in the queue of an upstream that has gone silent.
func TestRequestLeavesAnUpstreamThatAnswersNothing(t *testing.T) {
	const left, takes = 3 * time.Second, 100 * time.Millisecond
	cases := []struct {
		name    string
		answers bool
		want    time.Duration
		reason  contract.Reason
	}{
		{"no answer", false, left / contract.ReturnDivisor, contract.ReasonUpstreamSilent},
		{"answers", true, left - takes, contract.ReasonQueueTimeout},
	}
	for _, tc := range cases {
		synctest.Test(t, func(t *testing.T) {
			s := NewScheduler()
			now := time.Now()
			s.Open(now, 1, time.Time{}, true)
			s.c.latencies.observe("k", takes)
			if _, refusal := s.Acquire(t.Context(), now, Request{Kind: "k", Deadline: now.Add(time.Minute)}); refusal != nil {
				t.Fatal(refusal.Reason)
			}
			if tc.answers {
				time.AfterFunc(takes, func() {
					s.mu.Lock()
					defer s.mu.Unlock()
					s.c.responsiveness.answered(time.Now())
				})
			}
			_, refusal := s.Acquire(t.Context(), now, Request{Kind: "k", Deadline: now.Add(left)})
			if waited := time.Since(now); refusal == nil || refusal.Reason != tc.reason || waited != tc.want {
				t.Errorf("%s: got refusal %+v after %v, want reason %v after %v", tc.name, refusal, waited, tc.reason, tc.want)
			}
		})
	}
}

func TestCancelledRequestLeavesTheQueue(t *testing.T) {
	s := NewScheduler()
	now := time.Now()
	s.Open(now, 1, time.Time{}, true)
	r := Request{Kind: "k", Deadline: now.Add(time.Minute)}
	p, _ := s.Acquire(t.Context(), now, r)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan *Refusal)
	go func() {
		_, refusal := s.Acquire(ctx, now, r)
		ended <- refusal
	}()
	for s.Load(time.Now(), "").Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if refusal := <-ended; refusal == nil || refusal.Reason != contract.ReasonCancelled {
		t.Fatalf("cancelled request: got %+v, want reason cancelled", refusal)
	}
	s.Release(time.Now(), p, true)
	if l := s.Load(time.Now(), ""); l.Waiting != 0 || l.InFlight != 0 {
		t.Fatalf("got load %+v, want nothing waiting or in flight", l)
	}
}

// sharedRequest is a request of a workspace.
func sharedRequest(rank int, level contract.Level, deadline int) Request {
	r := request(rank, deadline)
	r.Shared, r.Level = true, level
	return r
}

// Guards against a request beyond its workspace's share that starts before one within
// it, and against another order where no workspaces are.
func TestRequestWithinItsShareStartsFirst(t *testing.T) {
	const threshold = 500
	for _, shared := range []bool{true, false} {
		c := newController(1)
		c.shedder.level, c.shedder.since = threshold, at(0)
		running := mustOffer(t, c, at(0), request(1, 2000))
		offer := func(ms, rank int, level contract.Level, deadline int) *entry {
			r := sharedRequest(rank, level, deadline)
			r.Shared = shared
			return mustOffer(t, c, at(ms), r)
		}
		beyond := offer(1, 1, threshold-1, 900)
		within := offer(2, 1, threshold, 1500)
		otherRank := offer(3, 2, 2*threshold, 800)
		want := []*entry{within, beyond, otherRank}
		if !shared {
			want = []*entry{beyond, within, otherRank}
		}
		for i, next := range want {
			c.release(at(4+i), running, true)
			if !isRunning(next) {
				t.Fatalf("with shares %v: slot %d went to another request", shared, i)
			}
			running = next
		}
	}
}

// Guards against a full queue that turns away a request while one of a lower level
// waits, and against an eviction where no workspaces are.
func TestFullQueueEvictsTheLowestLevel(t *testing.T) {
	for _, row := range []struct {
		name    string
		shared  bool
		level   contract.Level
		evicted bool
	}{
		{"above the lowest", true, 101, true},
		{"as the lowest", true, 100, false},
		{"without a workspace", false, 101, false},
	} {
		c := newController(1)
		c.latencies = latencies{}
		mustOffer(t, c, at(0), request(1, 1e6))
		lowest := mustOffer(t, c, at(0), sharedRequest(1, 100, 1e6))
		for range maxWaiting - 1 {
			mustOffer(t, c, at(0), sharedRequest(1, 200, 1e6))
		}
		r := sharedRequest(1, row.level, 1e6)
		r.Shared = row.shared
		e, refusal := c.offer(at(0), r)
		if (e != nil) != row.evicted || len(c.queue) != maxWaiting {
			t.Errorf("%s: admitted %v, refusal %v, %d waiting; want admitted %v, %d waiting", row.name, e != nil, refusal, len(c.queue), row.evicted, maxWaiting)
		}
		if (lowest.state == ended) != row.evicted {
			t.Errorf("%s: lowest level ended %v, want %v", row.name, lowest.state == ended, row.evicted)
		}
		if row.evicted {
			if got := <-lowest.decision; got == nil || got.Reason != contract.ReasonOverload {
				t.Errorf("%s: got decision %v for the evicted request, want overload", row.name, got)
			}
		}
	}
}

// Guards against a rejection that does not tell the caller that its workspace has its
// share.
func TestRefusalTellsThatTheWorkspaceHasItsShare(t *testing.T) {
	c := newController(1)
	c.shedder.level, c.shedder.since = 500, at(0)
	mustOffer(t, c, at(0), request(1, 2000))
	for _, row := range []struct {
		level contract.Level
		want  bool
	}{{499, true}, {500, false}} {
		_, refusal := c.offer(at(1), sharedRequest(1, row.level, 150))
		if refusal == nil || refusal.BeyondShare != row.want {
			t.Errorf("level %d: got refusal %+v, want one with BeyondShare %v", row.level, refusal, row.want)
		}
	}
}
