package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"heathershed/internal/contract"
)

const (
	// maxInFlight bounds the callers' requests at once; more are dropped and
	// counted.
	maxInFlight = 20_000
	// firstBackoff is the wait before a caller's second attempt, doubled after.
	firstBackoff = 100 * time.Millisecond
	// hardAttempts is the number of attempts of a caller in a surge, made
	// without a wait.
	hardAttempts = 4
)

// Callers are the stand-in callers of a profile.
type Callers struct {
	layout *Layout
	client *client
	meter  *Meter
	ledger *Ledger
	// targets are the addresses that callers use now for a service.
	targets func(service, datacentre string) []string

	calls    atomic.Uint64
	inFlight atomic.Int64
	dropped  atomic.Uint64
	surge    atomic.Uint64 // percent of the rate of lookups; 0 is normal
	wait     sync.WaitGroup
}

// newRand returns a source with the seed; it is cheap enough for each caller.
func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// run sends one stream's arrivals until the context ends.
func (c *Callers) run(ctx context.Context, s Stream, seed uint64) {
	route, _ := c.layout.Profile.Route(s.Kind)
	rng := newRand(seed)
	next := time.Now()
	for {
		next = next.Add(c.gap(rng, s, route))
		if !sleepUntil(ctx, next) {
			return
		}
		c.arrive(s, route, next, rng.Uint64())
	}
}

// gap draws the time to the next arrival.
func (c *Callers) gap(rng *rand.Rand, s Stream, r Route) time.Duration {
	rate := s.Rate
	if percent := c.surge.Load(); percent > 0 && r.Class == contract.ClassLookup {
		rate *= float64(percent) / 100
	}
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// arrive starts one caller, or two where the order is repeated at once.
func (c *Callers) arrive(s Stream, r Route, at time.Time, seed uint64) {
	if c.inFlight.Add(1) > maxInFlight {
		c.inFlight.Add(-1)
		c.dropped.Add(1)
		return
	}
	rng := newRand(seed)
	var order contract.OrderID
	callers := 1
	if r.IsOrder() {
		order, _ = contract.NewOrderID()
		if rng.Float64() < s.DuplicateShare {
			callers = 2
		}
	}
	c.meter.RecordArrival(at, r.Class)
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		defer c.inFlight.Add(-1)
		c.serve(s, r, order, at, callers, rng)
	}()
}

// serve runs the callers of one request and meters the first whole answer, or
// what they know together.
func (c *Callers) serve(s Stream, r Route, order contract.OrderID, at time.Time, callers int, rng *rand.Rand) {
	type result struct {
		end  Outcome
		last answer
	}
	results := make(chan result, callers)
	for range callers {
		own := newRand(rng.Uint64())
		go func() {
			end, last := c.call(s, r, order, own)
			results <- result{end, last}
		}()
	}
	known, metered := OutcomeComplete, false
	for i := range callers {
		res := <-results
		known = combine(i, known, res.end)
		if !metered && (res.end == OutcomeComplete || i+1 == callers) {
			c.meter.RecordOutcome(at, time.Now(), r.Class, known, res.last.reason)
			metered = true
		}
	}
}

// call makes the attempts of one caller and returns how it ended and the last
// answer.
func (c *Callers) call(s Stream, r Route, order contract.OrderID, rng *rand.Rand) (Outcome, answer) {
	attempts, hard := s.Attempts, c.surge.Load() > 0 && r.Class == contract.ClassLookup
	if hard {
		attempts = hardAttempts
	}
	datacentres := c.layout.Profile.Datacentres
	datacentre := datacentres[rng.IntN(len(datacentres))]
	asked := make(map[string]bool)
	var end Outcome
	var a answer
	for i := range attempts {
		front := c.pick(c.targets(r.Service, datacentre), asked, rng)
		asked[front] = true
		a = c.attempt(front, request{route: r, attempt: i, order: order, timeout: s.Timeout})
		end = combine(i, end, endOf(a))
		if end == OutcomeComplete || !mayRepeat(a) {
			break
		}
		if !hard && i+1 < attempts {
			time.Sleep(pause(a, i, rng))
		}
	}
	if r.IsOrder() {
		c.ledger.RecordOrder(order, orderEnd{end: end, nodes: len(asked)})
	}
	return end, a
}

func (c *Callers) attempt(front string, r request) answer {
	r.call = c.calls.Add(1)
	a := c.client.do(front, r)
	c.ledger.RecordAttempt(r.call, a)
	return a
}

// combine is what a caller knows after one more attempt: a whole answer is
// the end, two different failures leave it open.
func combine(attempt int, before, now Outcome) Outcome {
	if attempt == 0 || now == OutcomeComplete || before == now {
		return now
	}
	return OutcomeMayHaveRun
}

// pick chooses an address for the next attempt: one not asked yet, if there is.
func (c *Callers) pick(fronts []string, asked map[string]bool, rng *rand.Rand) string {
	first := rng.IntN(len(fronts))
	for i := range fronts {
		if f := fronts[(first+i)%len(fronts)]; !asked[f] {
			return f
		}
	}
	return fronts[first]
}

// mayRepeat reports whether a caller tries again: a read is idempotent and an
// order's id makes it safe, but some answers say that it is no use.
func mayRepeat(a answer) bool {
	switch a.reason {
	case contract.ReasonBadRequest, contract.ReasonUnknownKind, contract.ReasonTooLarge,
		contract.ReasonRetryBudget, contract.ReasonOrderExpired:
		return false
	}
	return true
}

// pause is how long a polite caller waits: as told, else longer each time.
func pause(a answer, attempt int, rng *rand.Rand) time.Duration {
	d := firstBackoff << attempt
	if a.retryAfter > 0 {
		d = a.retryAfter
	}
	return d/2 + time.Duration(rng.Int64N(int64(d)))
}

// endOf is what one answer means to its caller.
func endOf(a answer) Outcome {
	switch {
	case a.err != nil:
		return OutcomeNoVerdict
	case a.whole:
		return OutcomeComplete
	case a.hasVerdict && a.verdict == contract.NotRun:
		return OutcomeNotRun
	case a.hasVerdict && a.verdict == contract.Ran && !a.partial:
		return OutcomeFailed
	default:
		return OutcomeMayHaveRun
	}
}
