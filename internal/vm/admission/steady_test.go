package admission

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"heathershed/internal/contract"
)

// steadyLoad is a constant load on an upstream that announces its true slots.
type steadyLoad struct {
	slots   int
	service time.Duration
	rate    float64 // requests per second
	orders  float64 // fraction of the requests; the rest are lookups
}

// refusedAfter offers the load to a new controller, whose limit is still
// ramping up, and counts the requests, and the refused ones, that arrived later
// than the given time. It runs for 2 s beyond that time. Gaps vary by half and
// service times by a fifth.
func (s steadyLoad) refusedAfter(judged time.Duration) (refused, offered int) {
	const step = time.Millisecond
	rng := rand.New(rand.NewSource(int64(s.slots)))
	spread := func(d, part float64) time.Duration { return time.Duration(d * (1 + part*(2*rng.Float64()-1))) }
	c := NewController(DefaultConfig(s.slots), epoch)
	type run struct {
		ticket Ticket
		end    time.Duration
	}
	var running []run
	came := map[Ticket]time.Duration{}
	refuse := func(at time.Duration) {
		if at > judged {
			refused++
		}
	}
	begin := func(t Ticket, now time.Duration) {
		running = append(running, run{t, now + spread(float64(s.service), 0.2)})
	}
	next := time.Duration(0)
	for now := time.Duration(0); now < judged+2*time.Second; now += step {
		running = slices.DeleteFunc(running, func(r run) bool {
			return now >= r.end && c.Done(epoch.Add(now), r.ticket, Result{Verdict: contract.Ran})
		})
		for ; next <= now; next += spread(float64(time.Second)/s.rate, 0.5) {
			class := contract.ClassLookup
			if rng.Float64() < s.orders {
				class = contract.ClassOrder
			}
			if now > judged {
				offered++
			}
			level := contract.LevelOf(class, uint16(rng.Intn(contract.RanksPerClass)))
			switch t, outcome, _ := c.Offer(epoch.Add(now), Request{Kind: testKinds[class], Level: level}); outcome {
			case Running:
				begin(t, now)
			case Queued:
				came[t] = now
			case Refused:
				refuse(now)
			}
		}
		if now%(10*time.Millisecond) == 0 {
			c.Tick(epoch.Add(now))
		}
		for _, e := range c.Events() {
			if e.Outcome == Running {
				begin(e.Ticket, now)
			} else {
				refuse(came[e.Ticket])
			}
		}
	}
	return refused, offered
}

// TestSteadyLoadIsNotRefused offers 60 percent of the capacity, and low rates,
// to upstreams of every size that start warming up. No request may be refused
// after 4 s.
func TestSteadyLoadIsNotRefused(t *testing.T) {
	const use, within = 0.6, 4 * time.Second
	for _, service := range []time.Duration{5 * time.Millisecond, 20 * time.Millisecond, 60 * time.Millisecond} {
		for slots := 1; slots <= 64; slots++ {
			t.Run(fmt.Sprintf("%v/%d", service, slots), func(t *testing.T) {
				t.Parallel()
				for i, atMost := range []float64{1e9, 1e9, 100, 20} {
					s := steadyLoad{slots, service, min(atMost, use*float64(slots)/service.Seconds()), 0.02 * float64(i%2)}
					if refused, offered := s.refusedAfter(within); refused > 0 {
						t.Errorf("%+v: %d of %d refused", s, refused, offered)
					}
				}
			})
		}
	}
}

// TestLookupsCanRaiseEveryLimit fills each limit with lookups alone for one
// window. The window must count as saturated and, with the usual latency, the
// limit must grow up to the slots, although some slots are reserved for other
// classes.
func TestLookupsCanRaiseEveryLimit(t *testing.T) {
	for limit := 1; limit <= 64; limit++ {
		cfg := DefaultConfig(2 * limit)
		cfg.ColdFraction, cfg.MinLimit = 0.5, 1
		c := NewController(cfg, epoch)
		for _, outcome, _ := c.Offer(epoch, request(contract.ClassLookup)); outcome == Running; {
			_, outcome, _ = c.Offer(epoch, request(contract.ClassLookup))
		}
		end := epoch.Add(windowLength)
		c.limiter.setInFlight(end, c.inFlight, c.inFlight)
		if !c.limiter.saturated(end) {
			t.Errorf("limit %d: window not saturated by %d lookups", limit, c.inFlight)
		}
		for range warmupSamples {
			c.limiter.observe(1)
		}
		if c.Tick(end); c.Load().Limit <= limit {
			t.Errorf("limit %d did not grow", limit)
		}
	}
}
