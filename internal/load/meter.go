package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heathershed/internal/contract"
)

const (
	// bucketSize is the resolution of the meter over time.
	bucketSize = 100 * time.Millisecond
	// maxLatencyUS bounds the latencies recorded, in microseconds.
	maxLatencyUS = 60_000_000
	// latencyDigits are the significant digits of recorded latencies.
	latencyDigits = 3
)

// Outcome is how a caller's request ended, after its last attempt.
type Outcome uint8

// The ends.
const (
	// OutcomeComplete is a whole answer.
	OutcomeComplete Outcome = iota
	// OutcomeNotRun is a refusal unrun.
	OutcomeNotRun
	// OutcomeFailed is a whole answer of an upstream that says that it failed.
	OutcomeFailed
	// OutcomeMayHaveRun is a verdict that it may have run.
	OutcomeMayHaveRun
	// OutcomeNoVerdict is none at all: the caller's connection failed.
	OutcomeNoVerdict

	numEnds = iota
)

var endNames = [numEnds]string{"whole", "not_run", "failed", "may_have_run", "no_verdict"}

// bucket counts requests by class, by the time they arrived.
type bucket struct {
	offered [contract.NumClasses]int
	ends    [contract.NumClasses][numEnds]int
}

// Meter counts offered requests and how they ended. It is safe for concurrent
// use.
type Meter struct {
	start time.Time

	mu        sync.Mutex
	buckets   []bucket
	latencies [contract.NumClasses]*hdrhistogram.Histogram
	reasons   map[string]int
}

// NewMeter returns a meter for the time from start on.
func NewMeter(start time.Time) *Meter {
	m := &Meter{start: start, reasons: make(map[string]int)}
	for i := range m.latencies {
		m.latencies[i] = newHistogram()
	}
	return m
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyUS, latencyDigits)
}

// RecordArrival takes note of an arrival.
func (m *Meter) RecordArrival(at time.Time, c contract.Class) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b := m.bucket(at); b != nil {
		b.offered[c]++
	}
}

// RecordOutcome takes note of the end of the request that arrived at the given time.
func (m *Meter) RecordOutcome(arrived, now time.Time, c contract.Class, end Outcome, reason contract.Reason) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.bucket(arrived)
	if b == nil {
		return
	}
	b.ends[c][end]++
	if end == OutcomeComplete {
		_ = m.latencies[c].RecordValue(min(now.Sub(arrived).Microseconds(), maxLatencyUS))
		return
	}
	m.reasons[c.String()+" "+endNames[end]+" "+reason.String()]++
}

// bucket returns the bucket of the time, or nil before the start.
func (m *Meter) bucket(at time.Time) *bucket {
	i := int(at.Sub(m.start) / bucketSize)
	if i < 0 {
		return nil
	}
	for len(m.buckets) <= i {
		m.buckets = append(m.buckets, bucket{})
	}
	return &m.buckets[i]
}

// snapshot returns a copy of the buckets.
func (m *Meter) snapshot() []bucket {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]bucket{}, m.buckets...)
}

// sum adds up the buckets of [from, to), counted from the start.
func sum(buckets []bucket, from, to time.Duration) bucket {
	var total bucket
	first, last := int(from/bucketSize), int(to/bucketSize)
	for i := max(0, first); i < min(last, len(buckets)); i++ {
		for c := range contract.NumClasses {
			total.offered[c] += buckets[i].offered[c]
			for e := range numEnds {
				total.ends[c][e] += buckets[i].ends[c][e]
			}
		}
	}
	return total
}

// share is the part of the offered requests that got whole answers.
func (b bucket) share() float64 {
	offered := b.totalOffered()
	if offered == 0 {
		return 0
	}
	return float64(b.whole()) / float64(offered)
}

func (b bucket) totalOffered() (n int) {
	for _, k := range b.offered {
		n += k
	}
	return n
}

func (b bucket) whole() (n int) {
	for _, ends := range b.ends {
		n += ends[OutcomeComplete]
	}
	return n
}
