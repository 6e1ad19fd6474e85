package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"heathershed/internal/contract"
)

// limitSim offers requests to a controller whose upstream names a limit and
// has slots to spare, and records when they start.
type limitSim struct {
	c       *controller
	now     time.Time
	waiting map[*entry]bool
	running map[*entry]time.Time // end of each run
	starts  []time.Time
	byRank  map[int]int
}

const (
	simStep = 10 * time.Millisecond
	simRun  = 100 * time.Millisecond
)

func newLimitSim(limit float64) *limitSim {
	s := &limitSim{
		c: newController(1000), now: at(0),
		waiting: make(map[*entry]bool), running: make(map[*entry]time.Time), byRank: make(map[int]int),
	}
	s.c.setLimit(s.now, true, limit)
	return s
}

func (s *limitSim) offer(r Request) (refusal *Refusal) {
	e, refusal := s.c.offer(s.now, r)
	if refusal != nil {
		return refusal
	}
	s.waiting[e] = true
	return nil
}

// step advances the clock, ends runs that are over and lets requests start.
func (s *limitSim) step() {
	s.now = s.now.Add(simStep)
	for e, end := range s.running {
		if !s.now.Before(end) {
			s.c.release(s.now, e, true)
			delete(s.running, e)
		}
	}
	s.c.dispatch(s.now)
	for e := range s.waiting {
		if e.state == running {
			s.starts = append(s.starts, s.now)
			s.byRank[e.Rank]++
			s.running[e] = s.now.Add(simRun)
		}
		if e.state != waiting {
			delete(s.waiting, e)
		}
	}
}

// most returns the most starts in any window of the length.
func (s *limitSim) most(window time.Duration) int {
	most, first := 0, 0
	for i, start := range s.starts {
		for start.Sub(s.starts[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func TestStartsStayWithinTheLimit(t *testing.T) {
	const window, length = 4 * time.Second, 30 * time.Second
	for _, limit := range []float64{0, 0.5, 3, 7.4, 8, 50, 400} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, uint64(limit)))
			s := newLimitSim(limit)
			for s.now.Before(at(0).Add(length)) {
				for range rng.IntN(20) {
					s.offer(Request{Kind: "k", Rank: rng.IntN(3), Idempotent: true, Deadline: s.now.Add(5 * time.Second)})
				}
				s.step()
			}
			if got, allowed := s.most(window), 1.5*limit*window.Seconds()+5; float64(got) > allowed {
				t.Errorf("limit %v: %d starts in %v, want at most %v", limit, got, window, allowed)
			}
			want := max(limit, minRate) * length.Seconds()
			if got := float64(len(s.starts)); got < 0.95*want-1 || got > 1.05*want+2 {
				t.Errorf("limit %v: %v starts in %v, want about %v", limit, got, length, want)
			}
		})
	}
}

func TestLimitGoesToTheMostUrgentRequests(t *testing.T) {
	s := newLimitSim(10)
	urgent := 0
	for i := range 2000 {
		if i%20 == 0 { // 5 a second, half of the limit
			urgent++
			s.offer(Request{Kind: "k", Rank: 0, Deadline: s.now.Add(2 * time.Second)})
		}
		s.offer(Request{Kind: "k", Rank: 4, Idempotent: true, Deadline: s.now.Add(2 * time.Second)})
		s.step()
	}
	if s.byRank[0] < urgent-2 {
		t.Errorf("%d of %d urgent requests started, want all", s.byRank[0], urgent)
	}
	if s.byRank[4] < 80 || s.byRank[4] > 120 {
		t.Errorf("%d other requests started, want about 100, the rest of the limit", s.byRank[4])
	}
}

func TestRequestsUnderALimit(t *testing.T) {
	cases := []struct {
		name   string
		limit  float64
		r      Request
		reason contract.Reason // ReasonNone: not rejected
	}{
		{"may wait", 2, Request{Idempotent: true, Deadline: at(5000)}, contract.ReasonNone},
		{"another upstream has no limit", 2, Request{Idempotent: true, NoWait: true, Deadline: at(5000)}, contract.ReasonUpstreamLimit},
		{"no start before the deadline", 2, Request{Idempotent: true, Deadline: at(300)}, contract.ReasonUpstreamLimit},
		{"order under a limit of 0", 0, Request{Deadline: at(5000)}, contract.ReasonUpstreamLimit},
		{"lookup under a limit of 0", 0, Request{Idempotent: true, Deadline: at(5000)}, contract.ReasonNone},
		{"order under a limit", 2, Request{Deadline: at(5000)}, contract.ReasonNone},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newLimitSim(tc.limit)
			refusal := s.offer(tc.r)
			if got := refusal != nil; got != (tc.reason != contract.ReasonNone) {
				t.Fatalf("got refusal %+v, want reason %v", refusal, tc.reason)
			}
			if refusal != nil && (refusal.Reason != tc.reason || refusal.RetryAfter <= 0) {
				t.Fatalf("got refusal %+v, want reason %v and a wait", refusal, tc.reason)
			}
		})
	}
}

// TestQueuedRequestsAreRejectedWhenALimitBeginsOrFalls guards against requests
// that wait for nothing while another upstream has room.
func TestQueuedRequestsAreRejectedWhenALimitBeginsOrFalls(t *testing.T) {
	lookup := Request{Kind: "k", Idempotent: true, Deadline: at(3000)}
	order := Request{Kind: "k", Deadline: at(60_000)}
	cases := []struct {
		name   string
		before float64 // less than 0: no limit
		after  float64
		r      Request
		reject bool
	}{
		{"begins", -1, 5, lookup, true},
		{"falls, still in time", 5, 2, lookup, false},
		{"falls, too late then", 5, 0.1, Request{Kind: "k", Idempotent: true, Deadline: at(1500)}, true},
		{"falls to 0, order", 5, 0, order, true},
		{"rises", 2, 5, lookup, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newController(1)
			if tc.before >= 0 {
				c.setLimit(at(0), true, tc.before)
			} else {
				mustOffer(t, c, at(0), lookup) // takes the slot
			}
			e := mustOffer(t, c, at(0), tc.r)
			c.setLimit(at(1), true, tc.after)
			select {
			case refusal := <-e.decision:
				if !tc.reject || refusal == nil || refusal.Reason != contract.ReasonUpstreamLimit {
					t.Errorf("got refusal %+v, want rejected %v", refusal, tc.reject)
				}
			default:
				if tc.reject {
					t.Error("still waits, want it rejected")
				}
			}
		})
	}
}

// TestNothingOfAnEndedLimitIsLeft checks that queue, threshold and latencies say
// nothing of the limit in the moment in which it ends.
func TestNothingOfAnEndedLimitIsLeft(t *testing.T) {
	s := newLimitSim(2)
	for range 500 {
		s.offer(Request{Kind: "k", Idempotent: true, Deadline: s.now.Add(2 * time.Second)})
		s.step()
	}
	if s.c.threshold(s.now) == 0 || len(s.c.queue) == 0 {
		t.Fatalf("threshold %d and %d queued under the limit, want both above 0", s.c.threshold(s.now), len(s.c.queue))
	}
	s.c.setLimit(s.now, false, 0)
	if s.c.threshold(s.now) != 0 || len(s.c.queue) != 0 || s.c.latencies.mean() != 0 {
		t.Errorf("threshold %d, %d queued, mean latency %v after its end; want none", s.c.threshold(s.now), len(s.c.queue), s.c.latencies.mean())
	}
	const more = 500
	for range more {
		if _, refusal := s.c.offer(s.now, Request{Kind: "k", Idempotent: true, Deadline: s.now.Add(time.Second)}); refusal != nil {
			t.Fatalf("rejected after the end of the limit: %v", refusal.Reason)
		}
	}
}

func TestRunThatBeganUnderALimitIsNotMeasuredAfterIt(t *testing.T) {
	c := newController(4)
	slow := mustOffer(t, c, at(0), request(1, 5000))
	c.setLimit(at(10), true, 8)
	c.setLimit(at(500), false, 0)
	fast := mustOffer(t, c, at(500), request(1, 5000))
	c.release(at(520), fast, true)
	c.release(at(1000), slow, true)
	if got := c.latencies.expected("k"); got != 20*time.Millisecond {
		t.Errorf("latency %v after the limit, want 20 ms, that of the run that began after it", got)
	}
}

// TestThresholdBringsDemandDownToTheLimit sheds requests below the threshold,
// as the ingress does a little later.
func TestThresholdBringsDemandDownToTheLimit(t *testing.T) {
	for _, limit := range []float64{0.5, 4, 8, 50} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(2, uint64(limit)))
			s := newLimitSim(limit)
			var thresholds [20]contract.Level // reported 200 ms ago
			offered, refused := 0, 0
			const steps, settled = 6000, 1500
			for i := range steps {
				level := contract.Level(rng.IntN(int(contract.MaxLevel)))
				if level >= thresholds[i%len(thresholds)] {
					refusal := s.offer(Request{Kind: "k", Level: level, Idempotent: true, Deadline: s.now.Add(1500 * time.Millisecond)})
					if i >= settled {
						offered++
						if refusal != nil {
							refused++
						}
					}
				}
				s.c.updateThreshold(s.now)
				thresholds[i%len(thresholds)] = s.c.threshold(s.now)
				s.step()
			}
			seconds := (time.Duration(steps) * simStep).Seconds()
			if got := float64(len(s.starts)) / seconds; got < 0.9*limit {
				t.Errorf("%.2f starts a second, want at least 0.9 of the limit", got)
			}
			if share := float64(refused) / float64(offered); limit >= 4 && share > 0.2 {
				t.Errorf("%d of %d requests refused after they were let in, want at most a fifth", refused, offered)
			}
			t.Logf("limit %v: %.2f starts a second, %d of %d refused", limit, float64(len(s.starts))/seconds, refused, offered)
		})
	}
}

// TestRequestsThatFindNothingWaitingDoNotRaiseTheThreshold guards against an ingress
// that sheds clients although all of them are served long before their time is over.
func TestRequestsThatFindNothingWaitingDoNotRaiseTheThreshold(t *testing.T) {
	const clients = 8 // each asks again 50 ms after its answer
	s := newLimitSim(20)
	pauses := make([]int, clients) // steps until the next request
	for range 6000 {               // a minute
		idle := clients - len(s.waiting) - len(s.running)
		for i := range pauses {
			if pauses[i]--; pauses[i] < 0 && idle > 0 {
				idle--
				pauses[i] = 5
				s.offer(Request{Kind: "k", Idempotent: true, Deadline: s.now.Add(2500 * time.Millisecond)})
			}
		}
		s.step()
		s.c.updateThreshold(s.now)
		if got := s.c.threshold(s.now); got > 0 {
			t.Fatalf("threshold %d after %v, want 0", got, s.now.Sub(at(0)))
		}
	}
}

// TestRequestsThatCanGoElsewhereDoNotRaiseTheThreshold guards against an ingress
// that sheds requests although another upstream has room for them.
func TestRequestsThatCanGoElsewhereDoNotRaiseTheThreshold(t *testing.T) {
	s := newLimitSim(8)
	for range 6000 { // a minute, 100 a second
		s.offer(Request{Kind: "k", Idempotent: true, NoWait: true, Deadline: s.now.Add(2 * time.Second)})
		s.step()
		s.c.updateThreshold(s.now)
		if got := s.c.threshold(s.now); got > 0 {
			t.Fatalf("threshold %d after %v, want 0", got, s.now.Sub(at(0)))
		}
	}
	if got := len(s.starts); got < 450 {
		t.Errorf("%d starts in a minute, want about 480", got)
	}
}
