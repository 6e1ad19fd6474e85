package scheduler

import "time"

const (
	// An upstream counts as unresponsive when at least minRunning requests run
	// and none has been answered for unresponsiveAfter or for
	// unresponsiveLatencies times the mean latency, whichever is longer.
	unresponsiveAfter     = 800 * time.Millisecond
	unresponsiveLatencies = 5
	// minRunning is more than 1 because a single request may just take long.
	minRunning = 2
	// probeInterval is the shortest time between two probes of an unresponsive
	// upstream.
	probeInterval = 300 * time.Millisecond
)

// responsiveness detects an upstream that accepts requests and answers none.
// Requests sent to it would wait until their deadline. Rejected by the
// scheduler, they are sent to another upstream immediately.
type responsiveness struct {
	// since is the time of the last answer, or of the start of a request while
	// no other ran, whichever is later.
	since time.Time
	// probe is when the last probe was admitted.
	probe time.Time
}

// started records the start of a request while others run.
func (r *responsiveness) started(now time.Time, others int) {
	if others == 0 {
		r.since = now
	}
}

func (r *responsiveness) answered(now time.Time) { r.since = now }

// admits reports whether a request may be sent. An unresponsive upstream gets
// one idempotent request per probeInterval as a probe.
func (r *responsiveness) admits(now time.Time, running int, mean time.Duration, idempotent bool) bool {
	if running < minRunning || now.Sub(r.since) <= max(unresponsiveAfter, unresponsiveLatencies*mean) {
		return true
	}
	if !idempotent || now.Sub(r.probe) < probeInterval {
		return false
	}
	r.probe = now
	return true
}
