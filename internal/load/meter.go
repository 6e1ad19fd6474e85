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
	// maxLatencyUS bounds the recorded latencies, in microseconds.
	maxLatencyUS = 60_000_000
	// latencyDigits is the number of significant digits of recorded latencies.
	latencyDigits = 3
)

// Outcome is how a caller's request ended, after its last attempt.
type Outcome uint8

// The outcomes.
const (
	// OutcomeComplete is a complete answer.
	OutcomeComplete Outcome = iota
	// OutcomeNotRun is a rejection with the verdict that the request did not
	// run.
	OutcomeNotRun
	// OutcomeFailed is a complete answer of an upstream that reports a failure.
	OutcomeFailed
	// OutcomeMayHaveRun leaves open whether the request ran: its answer says so,
	// names no verdict or is partial, or its attempts ended in different ways.
	OutcomeMayHaveRun
	// OutcomeNoVerdict is the lack of any answer: the caller's connection failed
	// or its time ran out.
	OutcomeNoVerdict

	numOutcomes = iota
)

var outcomeNames = [numOutcomes]string{"whole", "not_run", "failed", "may_have_run", "no_verdict"}

// bucket counts the requests that arrived within one bucketSize, by class.
type bucket struct {
	offered  [contract.NumClasses]int
	outcomes [contract.NumClasses][numOutcomes]int
}

// Meter counts offered requests and their outcomes. It is safe for concurrent
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

// RecordArrival records a request that arrives at the given time.
func (m *Meter) RecordArrival(at time.Time, c contract.Class) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b := m.bucket(at); b != nil {
		b.offered[c]++
	}
}

// RecordOutcome records the outcome of the request that arrived at the given
// time. The reason counts only if the answer was not complete.
func (m *Meter) RecordOutcome(arrived, now time.Time, c contract.Class, outcome Outcome, reason contract.Reason) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.bucket(arrived)
	if b == nil {
		return
	}
	b.outcomes[c][outcome]++
	if outcome == OutcomeComplete {
		_ = m.latencies[c].RecordValue(min(now.Sub(arrived).Microseconds(), maxLatencyUS))
		return
	}
	m.reasons[c.String()+" "+outcomeNames[outcome]+" "+reason.String()]++
}

// bucket returns the bucket of the time, or nil if it is before the start.
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

// sumBuckets adds up the buckets of [from, to), counted from the start.
func sumBuckets(buckets []bucket, from, to time.Duration) bucket {
	var total bucket
	first, last := int(from/bucketSize), int(to/bucketSize)
	for i := max(0, first); i < min(last, len(buckets)); i++ {
		for c := range contract.NumClasses {
			total.offered[c] += buckets[i].offered[c]
			for e := range numOutcomes {
				total.outcomes[c][e] += buckets[i].outcomes[c][e]
			}
		}
	}
	return total
}

// completeShare returns the fraction of the offered requests that got a
// complete answer.
func (b bucket) completeShare() float64 {
	offered := b.totalOffered()
	if offered == 0 {
		return 0
	}
	return float64(b.complete()) / float64(offered)
}

func (b bucket) totalOffered() (n int) {
	for _, k := range b.offered {
		n += k
	}
	return n
}

func (b bucket) complete() (n int) {
	for _, outcomes := range b.outcomes {
		n += outcomes[OutcomeComplete]
	}
	return n
}
