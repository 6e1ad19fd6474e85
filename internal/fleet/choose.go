package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Factors by which the cost of an upstream is multiplied.
const (
	// remoteFactor applies to upstreams in other data centres.
	remoteFactor = 1.6
	// loadFactor scales the square of the utilisation: a fully used upstream
	// costs 1+loadFactor times as much as an idle one.
	loadFactor = 2.0
	// failureFactor scales the failure rate: an upstream whose requests all fail
	// costs 1+failureFactor times as much as one without failures.
	failureFactor = 8.0
	// rejectFactor applies for rejectPeriod after an attempt at the upstream
	// ended as "not run", usually because its scheduler had no room.
	rejectFactor = 3.0
	rejectPeriod = 100 * time.Millisecond
	// unresponsiveFactor applies to an upstream that does not answer.
	unresponsiveFactor = 20.0
	// An upstream counts as unresponsive when requests are outstanding and none
	// has ended for the larger of unresponsiveAfter and
	// unresponsiveLatencies times its latency.
	unresponsiveAfter     = 400 * time.Millisecond
	unresponsiveLatencies = 4
	// warmupFactor applies to an upstream that is still warming up.
	warmupFactor = 2.0
	// jitter is the fraction by which costs are randomised, so that nodes with
	// the same information do not all choose the same upstream.
	jitter = 0.2
	// defaultLatency is assumed while no latency is known.
	defaultLatency = 100 * time.Millisecond
)

// Pick chooses the upstream of the service with the lowest cost and counts a
// request as outstanding there until Done. It returns false if no upstream of
// the service outside q.Exclude can take requests.
func (f *Fleet) Pick(now time.Time, q Query) (Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	meanLatency := f.meanLatency(q)
	unlimited := f.hasUnlimited(q)
	random := q.Random
	var best *entry
	var lowest float64
	for _, e := range f.byService[q.Service] {
		if !e.isCandidate(q) || unlimited && e.passedOver(now, q) {
			continue
		}
		random = nextRandom(random)
		cost := f.cost(now, e, q.Kind, meanLatency) * (1 + jitter*unitFloat(random))
		if best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	if best == nil {
		return Choice{}, false
	}
	if best.outstanding == 0 {
		best.waitingSince = now
	}
	best.outstanding++
	best.sent++
	return Choice{
		Upstream: best.Upstream,
		Report:   best.heard(),
		NoWait:   unlimited && best.heard().Limited,
		e:        best,
	}, true
}

// isCandidate reports whether a request may be sent to the upstream.
func (e *entry) isCandidate(q Query) bool {
	return e.usable() && !slices.Contains(q.Exclude, e.VM) && (q.Only == "" || q.Only == e.VM)
}

// Owner returns the VM, of those with a usable upstream of the service, that
// rendezvous hashing assigns to a key; empty if there is none. Nodes that know the
// same upstreams agree on it.
func (f *Fleet) Owner(service string, key uint64) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	owner, highest := "", uint64(0)
	for _, e := range f.byService[service] {
		if !e.usable() {
			continue
		}
		if score := nextRandom(xxhash.Sum64String(e.VM) ^ key); owner == "" || score > highest {
			owner, highest = e.VM, score
		}
	}
	return owner
}

// hasUnlimited reports whether some candidate names no limit.
func (f *Fleet) hasUnlimited(q Query) bool {
	return slices.ContainsFunc(f.byService[q.Service], func(e *entry) bool {
		return e.isCandidate(q) && !e.heard().Limited
	})
}

// meanLatency returns the mean latency of the request kind over the upstreams
// of the service for which it is known.
func (f *Fleet) meanLatency(q Query) time.Duration {
	var sum time.Duration
	known := 0
	for _, e := range f.byService[q.Service] {
		if l := e.latency[q.Kind]; l > 0 {
			sum += l
			known++
		}
	}
	if known == 0 {
		return defaultLatency
	}
	return sum / time.Duration(known)
}

// cost returns the expected latency in seconds, with the wait for the limit that
// the upstream names, multiplied by the factors that apply to the upstream. mean
// stands in for an unknown latency.
func (f *Fleet) cost(now time.Time, e *entry, kind string, mean time.Duration) float64 {
	latency := e.expectedLatency(now, kind, mean)
	busy := max(e.outstanding, e.load.InFlight+e.load.Waiting+e.sent)
	use := float64(busy+1) / float64(max(e.Slots, 1))
	cost := (latency + e.paceWait(now)).Seconds() * (1 + loadFactor*use*use)
	cost *= 1 + failureFactor*e.failures.rate(now)
	if e.Datacentre != f.datacentre {
		cost *= remoteFactor
	}
	if now.Sub(e.rejectedAt) < rejectPeriod {
		cost *= rejectFactor
	}
	if e.load.Cold {
		cost *= warmupFactor
	}
	if e.unresponsive(now, latency) {
		cost *= unresponsiveFactor
	}
	return cost
}

// unresponsive reports whether requests are outstanding and none has ended for
// too long.
func (e *entry) unresponsive(now time.Time, latency time.Duration) bool {
	return e.outstanding > 0 && now.Sub(e.waitingSince) > max(unresponsiveAfter, unresponsiveLatencies*latency)
}

// nextRandom returns the successor of x in a SplitMix64 sequence.
func nextRandom(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unitFloat maps a random number to [0, 1).
func unitFloat(x uint64) float64 { return float64(x>>11) / (1 << 53) }
