// Package upstreamload holds what the upstream beside a node reports of its load in
// its responses: the samples of the current instance, smoothed, ordered and aged.
//
// A sample is noise by itself. What counts is how the pace differs from the pace of
// the runs whose latency was measured: a figure that never changes, right or wrong,
// has no effect.
package upstreamload

import (
	"math"
	"time"
)

const (
	// smoothing is the time constant of the moving means. The figures change several
	// times within it.
	smoothing = 100 * time.Millisecond
	// Expiry is the age from which a report counts as none: an upstream that stops
	// reporting, or answers nobody, is chosen as one that never reported.
	Expiry = 5 * time.Second
	// runWeight is the weight of one run in RunPace. It equals the weight of one run
	// in the mean latencies of the scheduler, so that both cover the same runs.
	runWeight = 0.1
)

// Sample is what one response says of the load of its upstream.
type Sample struct {
	// Running and Waiting are the requests that the upstream runs and that wait in
	// it, Slots those that it can run at once.
	Running, Waiting, Slots int
	// Pace is how long work takes now, as a multiple of what is usual. 0: not given.
	Pace float64
}

// Report is what a node reports of its upstream's load. The zero Report says nothing.
type Report struct {
	// Incarnation is that of the node beside the upstream, and Sequence counts the
	// samples that it has read since its start; 0: no report.
	Incarnation, Sequence uint64
	// Busy is the mean number of requests that run or wait in the upstream.
	Busy float64
	// Pace is the recent mean pace, RunPace the mean pace in the runs whose mean
	// latency the node reports.
	Pace, RunPace float64
	// Age is the time since the newest sample.
	Age time.Duration
}

// Known reports whether there is a report.
func (r Report) Known() bool { return r.Sequence > 0 }

// Older reports whether r is older than other, a report from the same node.
func (r Report) Older(other Report) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation < other.Incarnation
	}
	return r.Sequence < other.Sequence
}

// Tracker holds the samples of the current instance. The zero Tracker has none. It is
// not safe for concurrent use.
type Tracker struct {
	instance string
	report   Report
	hasPace  bool
	// sent is when the request of the newest sample was sent, at when it was read.
	sent, at time.Time
}

// Observe adds a sample from a response that was read at now, to a request that was
// sent at sent to an instance. The samples of another instance are discarded. A sample
// is ignored if one of a later request was read before: responses overtake each other.
func (t *Tracker) Observe(now time.Time, instance string, sent time.Time, s Sample) {
	if instance == "" {
		return
	}
	if instance != t.instance {
		*t = Tracker{instance: instance, report: Report{Sequence: t.report.Sequence}}
	} else if sent.Before(t.sent) {
		return
	}
	weight := 1.0
	if elapsed := now.Sub(t.at); !t.at.IsZero() && elapsed < Expiry {
		weight = 1 - math.Exp(-elapsed.Seconds()/smoothing.Seconds())
	}
	t.sent, t.at = sent, now
	t.report.Sequence++
	t.report.Busy += weight * (float64(s.Running+s.Waiting) - t.report.Busy)
	t.observePace(s.Pace, weight)
}

func (t *Tracker) observePace(pace, weight float64) {
	if pace <= 0 {
		return
	}
	if !t.hasPace {
		t.hasPace, t.report.Pace, t.report.RunPace = true, pace, pace
		return
	}
	t.report.Pace += weight * (pace - t.report.Pace)
	t.report.RunPace += runWeight * (pace - t.report.RunPace)
}

// Report returns the report on an instance. ok is false if there is none, if it has
// expired, or if the instance gives no pace: the scheduler counts its requests itself,
// so the other figures say nothing new.
func (t *Tracker) Report(now time.Time, instance string) (r Report, ok bool) {
	if instance == "" || instance != t.instance || !t.hasPace || now.Sub(t.at) >= Expiry {
		return Report{}, false
	}
	r = t.report
	r.Age = max(now.Sub(t.at), 0)
	return r, true
}
