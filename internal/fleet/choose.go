package fleet

import (
	"slices"
	"time"
)

const (
	// farFactor is what another data centre adds to the cost.
	farFactor = 1.6
	// loadFactor is how much a full upstream costs more than an idle one.
	loadFactor = 2.0
	// failFactor is how much an upstream costs more whose answers all fail.
	failFactor = 8.0
	// fullFactor is for an upstream whose door had no room just now.
	fullFactor = 3.0
	fullFor    = 100 * time.Millisecond
	// silentFactor is for an upstream that does not answer.
	silentFactor = 20.0
	// silentAfter and silentLatencies say after which time without any answer
	// an upstream counts as silent, the larger one.
	silentAfter     = 400 * time.Millisecond
	silentLatencies = 4
	// coldFactor is for an upstream that has just started.
	coldFactor = 2.0
	// jitter is the part by which costs are spread, so that nodes that know the
	// same do not all choose the same.
	jitter = 0.2
	// usualLatency stands where no latency is known.
	usualLatency = 100 * time.Millisecond
)

// Pick chooses the cheapest upstream of the service and counts it as in use
// until Done.
func (f *Fleet) Pick(now time.Time, q Query) (Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	usual := f.usual(q)
	random := q.Random
	var best *entry
	var lowest float64
	for _, e := range f.services[q.Service] {
		if !e.usable() || slices.Contains(q.Exclude, e.VM) {
			continue
		}
		random = spread(random)
		cost := f.cost(now, e, q.Kind, usual) * (1 + jitter*unit(random))
		if best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	if best == nil {
		return Choice{}, false
	}
	if best.out == 0 {
		best.unanswered = now
	}
	best.out++
	best.sent++
	return Choice{Upstream: best.Upstream, e: best}, true
}

// usual is the mean latency of the kind over the upstreams that have one.
func (f *Fleet) usual(q Query) time.Duration {
	var sum time.Duration
	known := 0
	for _, e := range f.services[q.Service] {
		if l := e.latency[q.Kind]; l > 0 {
			sum += l
			known++
		}
	}
	if known == 0 {
		return usualLatency
	}
	return sum / time.Duration(known)
}

// cost is the expected latency in seconds, made worse by what speaks against
// the upstream.
func (f *Fleet) cost(now time.Time, e *entry, kind string, usual time.Duration) float64 {
	latency := e.latency[kind]
	if latency == 0 {
		latency = usual
	}
	busy := max(e.out, e.load.InFlight+e.load.Waiting+e.sent)
	use := float64(busy+1) / float64(max(e.Slots, 1))
	cost := latency.Seconds() * (1 + loadFactor*use*use)
	cost *= 1 + failFactor*e.failures.share(now)
	if e.Datacentre != f.datacentre {
		cost *= farFactor
	}
	if now.Sub(e.refusedAt) < fullFor {
		cost *= fullFactor
	}
	if e.load.WarmingUp {
		cost *= coldFactor
	}
	if e.silent(now, latency) {
		cost *= silentFactor
	}
	return cost
}

// silent reports whether answers have stopped coming.
func (e *entry) silent(now time.Time, latency time.Duration) bool {
	return e.out > 0 && now.Sub(e.unanswered) > max(silentAfter, silentLatencies*latency)
}

// spread returns the next number of a stream of random ones.
func spread(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unit maps a random number to [0, 1).
func unit(x uint64) float64 { return float64(x>>11) / (1 << 53) }
