package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Factors by which the cost of an upstream is multiplied.
const (
	// loadFactor scales the square of the utilisation: a fully used upstream
	// costs 1+loadFactor times as much as an idle one.
	loadFactor = 2.0
	// failureFactor scales the failure rate: an upstream whose requests all fail
	// costs 1+failureFactor times as much as one without failures. orderFailureFactor
	// is the same for orders and their calls, which can't be repeated.
	failureFactor      = 8.0
	orderFailureFactor = 3 * failureFactor
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
	// An upstream counts as full above fullUse of its slots: what is known of it is
	// as old as its last answer. One with a higher doubt than maxDoubt counts as full
	// too, so that it is not preferred to one that answers and has a queue.
	fullUse  = 0.95
	maxDoubt = 2.0
	// jitter is the fraction by which costs are randomised, so that nodes with
	// the same information do not all choose the same upstream.
	jitter = 0.2
	// remoteFactor applies to upstreams in other data centres. Below it a
	// difference of expected latencies is noise, above it the request would take
	// longer only to stay in its data centre.
	remoteFactor = 1 + jitter
)

// Pick chooses the upstream of the service with the lowest cost among those that have
// room, or else the one that has most, and counts a request as outstanding there until
// Done. If upstreams of the service report their load, it compares a few that are drawn,
// see uneven.go. It returns false if no upstream of the service outside q.Exclude can
// take requests.
func (f *Fleet) Pick(now time.Time, q Query) (Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	best := f.pickDrawn(now, q)
	if best == nil {
		best = f.pickLowest(now, q)
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
		NoWait:   best.limits() && f.hasUnlimited(q),
		e:        best,
	}, true
}

// pickLowest returns the candidate with the lowest cost, or nil if there is none.
func (f *Fleet) pickLowest(now time.Time, q Query) *entry {
	service := f.kindLatency(now, q)
	unlimited := f.hasUnlimited(q)
	random := q.Random
	var best *entry
	var lowest cost
	for _, e := range f.byService[q.Service] {
		if !e.isCandidate(&q) || unlimited && e.passedOver(now, &q) {
			continue
		}
		random = nextRandom(random)
		c := f.cost(now, e, q, service)
		c.value *= 1 + jitter*unitFloat(random)
		if best == nil || c.less(lowest) {
			best, lowest = e, c
		}
	}
	return best
}

// isCandidate reports whether a request may be sent to the upstream.
func (e *entry) isCandidate(q *Query) bool {
	return e.usable() && !(len(q.Exclude) > 0 && slices.Contains(q.Exclude, e.VM)) && (q.Only == "" || q.Only == e.VM)
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
	for _, e := range f.byService[q.Service] {
		if e.isCandidate(&q) && !e.limits() {
			return true
		}
	}
	return false
}

// cost ranks an upstream for one request.
type cost struct {
	// full reports that no room is expected there.
	full bool
	// doubtful reports that requests may not be answered there.
	doubtful bool
	value    float64
}

// less reports whether an upstream is chosen before another one. One that is full is
// chosen only if all are: a quick upstream with a queue would otherwise be cheaper
// than a slow one that is idle.
func (c cost) less(other cost) bool {
	if c.full != other.full {
		return other.full
	}
	return c.value < other.value
}

// cost returns the cost of an upstream. That of one with room is the expected
// latency in seconds, multiplied by the factors that apply. Among full ones only load
// and doubt count, with the wait for the limit that the upstream names.
func (f *Fleet) cost(now time.Time, e *entry, q Query, service kindLatency) cost {
	expected := e.expectedLatency(now, q.Kind, service)
	busy := max(e.outstanding, e.load.InFlight+e.load.Waiting+e.sent)
	use := float64(busy+1) / float64(max(e.Slots, 1))
	doubt := e.doubt(now, q, expected)
	value := (1 + loadFactor*use*use) * doubt
	pace := e.paceWait(now)
	if use > fullUse || doubt > maxDoubt {
		return cost{full: true, value: value * (1 + pace.Seconds()/max(expected, time.Millisecond).Seconds())}
	}
	value *= (expected + pace).Seconds()
	if e.Datacentre != f.datacentre {
		value *= remoteFactor
	}
	if e.load.Cold {
		value *= warmupFactor
	}
	return cost{value: value}
}

// doubt is the factor by which the cost grows because requests may not be answered.
func (e *entry) doubt(now time.Time, q Query, expected time.Duration) float64 {
	doubt := 1 + q.failureFactor()*e.failureRate(now)
	if e.rejects(now) {
		doubt *= rejectFactor
	}
	if e.unresponsive(now, expected) {
		doubt *= unresponsiveFactor
	}
	return doubt
}

// rejects reports whether an attempt has just ended as "not run".
func (e *entry) rejects(now time.Time) bool {
	return !e.rejectedAt.IsZero() && now.Sub(e.rejectedAt) < rejectPeriod
}

func (q *Query) failureFactor() float64 {
	if q.Order {
		return orderFailureFactor
	}
	return failureFactor
}

// failureRate returns the share of failed requests: of those that this node has
// sent, or of all as the node beside the upstream has reported it, the higher one.
func (e *entry) failureRate(now time.Time) float64 {
	reported := failureRate{value: e.load.LossRate, at: e.loadAt}
	return max(e.failures.rate(now), reported.rate(now))
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
