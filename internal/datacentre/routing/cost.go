package routing

import "time"

// Constants of the cost model.
const (
	// latencyGain is the weight of one sample in the latency of a target.
	latencyGain = 1.0 / 8
	// latencyDecay is how long an old latency keeps calls away: without
	// samples, an estimate returns to its baseline in this time.
	latencyDecay = 10 * time.Second
	// defaultLatency is assumed for a service without any sample.
	defaultLatency = 10 * time.Millisecond
	// minLatency keeps costs above zero.
	minLatency = 50 * time.Microsecond

	// refusalGain is the weight of one call in the share of refusals.
	// shareDecay is the time in which the shares of refusals and failures decay
	// to zero without calls.
	refusalGain = 1.0 / 10
	shareDecay  = 4 * time.Second
	// failurePenalty is the time that a refusal or failure adds to the expected
	// time of a call.
	failurePenalty = 200 * time.Millisecond

	// maxLoadPenalty is the largest fraction by which an announced load raises
	// the cost of a target.
	maxLoadPenalty = 0.2
	// spillMargin is the factor by which the expected time in the nearer tiers
	// must exceed the expected time in a farther tier before any call goes
	// there.
	spillMargin = 1.5
)

// expected returns the time, in seconds, that a call to the target is expected
// to take, including the distance and the risk of a refusal or failure.
func (e *entry) expected(now instant, order bool) float64 {
	baseline := e.pool.latency.read(now, defaultLatency.Seconds(), latencyDecay)
	t := e.latency.read(now, baseline, latencyDecay)
	if e.Slots > 0 && e.inFlight >= e.Slots {
		t *= float64(e.inFlight+1) / float64(e.Slots)
	}
	risk := e.refusalShare[orderIndex(order)].read(now, 0, shareDecay)
	risk += e.failureShare.read(now, 0, shareDecay)
	return t + e.distance.Seconds() + risk*failurePenalty.Seconds()
}

// cost returns the value by which targets of the same tier are compared: the
// expected time, raised by the node's own calls in flight relative to the
// weight and, slightly, by the announced load. meanWeight is the mean weight in
// the tier.
func (e *entry) cost(now instant, order bool, meanWeight float64, maxLoadAge time.Duration) float64 {
	c := e.expected(now, order)
	c *= 1 + float64(e.inFlight)*meanWeight/e.weight
	return c * (1 + maxLoadPenalty*e.utilisation(now, maxLoadAge))
}

// utilisation returns the announced utilisation in [0, 1], scaled down by its
// age to zero at maxLoadAge.
func (e *entry) utilisation(now instant, maxLoadAge time.Duration) float64 {
	age := now.Sub(e.loadAt)
	if e.loadAt.IsZero() || e.load.Limit == 0 || age >= maxLoadAge {
		return 0
	}
	used := min(float64(e.load.InFlight)/float64(e.load.Limit), 1)
	return used * (1 - float64(max(age, 0))/float64(maxLoadAge))
}

// addLatency records the latency of a call, less the distance to the target.
func (e *entry) addLatency(now instant, latency time.Duration) {
	s := max(latency-e.distance, minLatency).Seconds()
	baseline := e.pool.latency.read(now, s, latencyDecay)
	e.latency.add(now, s, latencyGain, baseline, latencyDecay)
	e.pool.latency.add(now, s, latencyGain/4, s, latencyDecay)
}
