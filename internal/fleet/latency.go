package fleet

import (
	"math"
	"time"
)

const (
	// A known latency counts fully for freshLatency and not at all after maxLatencyAge:
	// an upstream that is not chosen because it was slow must be tried again. One node
	// may send few requests of a kind to each upstream, seconds apart.
	freshLatency  = 5 * time.Second
	maxLatencyAge = 10 * time.Second
	// limitedHalfLife is the time in which the known latency of an upstream
	// that names a limit halves: only its answers show that the limit has
	// ended, so it must be tried again soon.
	limitedHalfLife = time.Second
	// defaultLatency is assumed while no latency is known.
	defaultLatency = 100 * time.Millisecond
	// minWeight is left of the oldest answer, so that the mean of answers that are all
	// old is defined.
	minWeight = 1e-9
)

// latency is that of one kind of request at one upstream, as an answer reported it.
type latency struct {
	value time.Duration
	at    time.Time
	// runPace is the mean pace that the upstream reported of the runs; 0: none.
	runPace float64
}

// weight is what the latency counts after some time, from 1 to 0.
func (l latency) weight(now time.Time) float64 {
	left := maxLatencyAge - now.Sub(l.at)
	return min(max(left.Seconds()/(maxLatencyAge-freshLatency).Seconds(), 0), 1)
}

// kindLatency is what is known of the latency of a kind over the upstreams of a
// service: the mean, in which old answers count less, and the lowest.
type kindLatency struct{ mean, lowest time.Duration }

// kindLatency returns the latency of the kind over the upstreams of the service.
func (f *Fleet) kindLatency(now time.Time, q Query) kindLatency {
	var sum, weights float64
	lowest := time.Duration(math.MaxInt64)
	for _, e := range f.byService[q.Service] {
		l, known := e.latency[q.Kind]
		if !known {
			continue
		}
		w := max(l.weight(now), minWeight)
		sum += w * l.value.Seconds()
		weights += w
		lowest = min(lowest, l.value)
	}
	if weights == 0 {
		return kindLatency{defaultLatency, defaultLatency}
	}
	return kindLatency{time.Duration(sum / weights * float64(time.Second)), lowest}
}

// Latency returns the mean latency of a kind of request over the upstreams of a
// service, as this node knows it.
func (f *Fleet) Latency(now time.Time, service, kind string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kindLatency(now, Query{Service: service, Kind: kind}).mean
}

// expectedLatency returns the latency to expect of a kind of request. One that is
// not known is assumed to be the lowest of the service, so that a new upstream is
// tried. A known one approaches the mean of the service while no answer comes; while
// the upstream names a limit it falls to 0.
func (e *entry) expectedLatency(now time.Time, kind string, service kindLatency) time.Duration {
	l, known := e.latency[kind]
	if !known {
		return service.lowest
	}
	if e.limits() {
		left := math.Exp2(-now.Sub(l.at).Seconds() / limitedHalfLife.Seconds())
		return time.Duration(float64(l.value) * left)
	}
	excess := float64(l.value - service.mean)
	return service.mean + time.Duration(excess*l.weight(now))
}
