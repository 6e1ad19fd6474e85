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
	// maxInFlight bounds the callers' concurrent requests. Arrivals above it
	// are dropped and counted.
	maxInFlight = 20_000
	// firstBackoff is the wait before a caller's second attempt. It doubles
	// with each further attempt.
	firstBackoff = 100 * time.Millisecond
	// surgeAttempts is the number of attempts of a lookup's caller in a surge,
	// made without a wait.
	surgeAttempts = 4
)

// Callers are the callers of a profile.
type Callers struct {
	layout *Layout
	client *client
	meter  *Meter
	ledger *Ledger
	// targets returns the addresses that callers currently use for a service.
	targets func(service, datacentre string) []string

	calls    atomic.Uint64
	inFlight atomic.Int64
	dropped  atomic.Uint64
	surge    atomic.Uint64 // percent of the normal rate of lookups; 0 for the normal rate
	wg       sync.WaitGroup
}

// newRand returns a random source with the seed. It is cheap enough for one per
// caller.
func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// run sends the requests of one stream until the context ends.
func (c *Callers) run(ctx context.Context, s Stream, seed uint64) {
	route, _ := c.layout.Profile.Route(s.Kind)
	rng := newRand(seed)
	next := time.Now()
	for {
		next = next.Add(c.interarrival(rng, s, route))
		if !sleepUntil(ctx, next) {
			return
		}
		c.startRequest(s, route, next, rng.Uint64())
	}
}

// interarrival draws the time to the next arrival. The times are exponentially
// distributed.
func (c *Callers) interarrival(rng *rand.Rand, s Stream, r Route) time.Duration {
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

// startRequest starts one caller, or two where an order is sent twice
// concurrently.
func (c *Callers) startRequest(s Stream, r Route, at time.Time, seed uint64) {
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
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		defer c.inFlight.Add(-1)
		c.runCallers(s, r, order, at, callers, rng)
	}()
}

// runCallers runs the callers of one request. It records the first complete
// answer or, if there is none, the combined outcome of all callers.
func (c *Callers) runCallers(s Stream, r Route, order contract.OrderID, at time.Time, callers int, rng *rand.Rand) {
	type result struct {
		outcome Outcome
		last    answer
	}
	results := make(chan result, callers)
	for range callers {
		callerRNG := newRand(rng.Uint64())
		go func() {
			outcome, last := c.callWithRetries(s, r, order, callerRNG)
			results <- result{outcome, last}
		}()
	}
	combined, metered := OutcomeComplete, false
	for i := range callers {
		res := <-results
		combined = combineOutcomes(i, combined, res.outcome)
		if !metered && (res.outcome == OutcomeComplete || i+1 == callers) {
			c.meter.RecordOutcome(at, time.Now(), r.Class, combined, res.last.reason)
			metered = true
		}
	}
}

// callWithRetries makes the attempts of one caller and returns their combined
// outcome and the last answer.
func (c *Callers) callWithRetries(s Stream, r Route, order contract.OrderID, rng *rand.Rand) (Outcome, answer) {
	attempts, surging := s.Attempts, c.surge.Load() > 0 && r.Class == contract.ClassLookup
	if surging {
		attempts = surgeAttempts
	}
	datacentres := c.layout.Profile.Datacentres
	datacentre := datacentres[rng.IntN(len(datacentres))]
	tried := make(map[string]bool)
	var outcome Outcome
	var a answer
	for i := range attempts {
		target := c.pickTarget(c.targets(r.Service, datacentre), tried, rng)
		tried[target] = true
		a = c.attempt(target, request{route: r, attempt: i, order: order, timeout: s.Timeout})
		outcome = combineOutcomes(i, outcome, outcomeOf(a))
		if outcome == OutcomeComplete || !mayRetry(a) {
			break
		}
		if !surging && i+1 < attempts {
			time.Sleep(backoff(a, i, rng))
		}
	}
	if r.IsOrder() {
		c.ledger.RecordOrder(order, orderOutcome{outcome: outcome, nodes: len(tried)})
	}
	return outcome, a
}

func (c *Callers) attempt(target string, r request) answer {
	r.call = c.calls.Add(1)
	a := c.client.roundTrip(target, r)
	c.ledger.RecordAttempt(r.call, a)
	return a
}

// combineOutcomes returns what a caller knows after one more attempt, counted
// from 0: a complete answer settles the outcome, and two different failures
// leave open whether the request ran. For attempt 0, before is ignored.
func combineOutcomes(attempt int, before, now Outcome) Outcome {
	if attempt == 0 || now == OutcomeComplete || before == now {
		return now
	}
	return OutcomeMayHaveRun
}

// pickTarget chooses the address of the next attempt, if possible one that has
// not been tried yet.
func (c *Callers) pickTarget(targets []string, tried map[string]bool, rng *rand.Rand) string {
	first := rng.IntN(len(targets))
	for i := range targets {
		if f := targets[(first+i)%len(targets)]; !tried[f] {
			return f
		}
	}
	return targets[first]
}

// mayRetry reports whether a caller tries again. Reads are idempotent and an
// order's id makes repeating it safe, but after some reasons a retry can't
// succeed.
func mayRetry(a answer) bool {
	switch a.reason {
	case contract.ReasonBadRequest, contract.ReasonUnknownKind, contract.ReasonTooLarge,
		contract.ReasonRetryBudget, contract.ReasonOrderExpired:
		return false
	}
	return true
}

// backoff returns how long a caller waits before its next attempt outside a
// surge: the time that the answer asks for, or else an exponential backoff.
// Either is multiplied by a random factor from 0.5 to 1.5.
func backoff(a answer, attempt int, rng *rand.Rand) time.Duration {
	d := firstBackoff << attempt
	if a.retryAfter > 0 {
		d = a.retryAfter
	}
	return d/2 + time.Duration(rng.Int64N(int64(d)))
}

// outcomeOf returns what one answer means to its caller.
func outcomeOf(a answer) Outcome {
	switch {
	case a.err != nil:
		return OutcomeNoVerdict
	case a.complete:
		return OutcomeComplete
	case a.hasVerdict && a.verdict == contract.NotRun:
		return OutcomeNotRun
	case a.hasVerdict && a.verdict == contract.Ran && !a.partial:
		return OutcomeFailed
	default:
		return OutcomeMayHaveRun
	}
}
