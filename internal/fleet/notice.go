package fleet

import (
	"time"

	"heathershed/internal/vm/instance"
)

const (
	// minLimitBackoff and maxLimitBackoff bound how long an upstream that names
	// a limit is passed over after it had no room within it.
	minLimitBackoff = 50 * time.Millisecond
	maxLimitBackoff = 8 * time.Second
)

// limitBackoff spaces the attempts of one node at an upstream that names a
// limit, so that those of all nodes together come near the limit. The zero value
// is without a wait.
type limitBackoff struct {
	wait  time.Duration
	until time.Time
}

// observe records an attempt: the wait doubles with each one that found no room
// and is halved with each other one.
func (b *limitBackoff) observe(now time.Time, noRoom bool) {
	if !noRoom {
		b.wait, b.until = b.wait/2, now
		return
	}
	b.wait = min(max(2*b.wait, minLimitBackoff), maxLimitBackoff)
	spread := 0.5 + unitFloat(nextRandom(uint64(now.UnixNano())))
	b.until = now.Add(time.Duration(spread * float64(b.wait)))
}

// Report returns the newest report on the upstream of a VM, or the zero value.
func (f *Fleet) Report(vm string) instance.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.byVM[vm]; e != nil {
		return e.report
	}
	return instance.Report{}
}

// hear records a report on the upstream of a VM and returns whether it is news.
// The entry may not be the one that a request was sent to, if the VM was
// forgotten meanwhile. The caller holds f.mu.
func (f *Fleet) hear(vm string, r instance.Report) (isNews bool) {
	e := f.byVM[vm]
	if e == nil {
		return false
	}
	before := e.report
	e.hear(r)
	return e.report.Notice != before.Notice || e.report.Instance != before.Instance && r.Restricts()
}

// hear records a report. Reports on one VM arrive over several paths, so an
// older one may arrive last. An instance that has said that it leaves has said
// it for good.
func (e *entry) hear(r instance.Report) {
	if r.Incarnation == 0 || r.Older(e.report) {
		return
	}
	same := r.Instance == e.report.Instance
	leaving, ended := same && e.report.Leaving, same && e.report.Limited && !r.Limited
	e.report = r
	e.report.Leaving = r.Leaving || leaving
	if ended { // what was learnt under the limit says nothing of the time after it
		clear(e.latency)
		e.failures = failureRate{}
	}
}

// heard returns what the current instance has said of itself, the zero value if
// nothing is known.
func (e *entry) heard() instance.Report {
	if e.report.Instance != e.Instance {
		return instance.Report{}
	}
	return e.report
}

// limits reports whether the current instance names a limit.
func (e *entry) limits() bool { return e.report.Limited && e.report.Instance == e.Instance }

// passedOver reports whether an upstream that names a limit is passed over
// because others name none.
func (e *entry) passedOver(now time.Time, q *Query) bool {
	return e.limits() && (q.AvoidLimited || now.Before(e.backoff.until))
}

// paceWait is how long a request would wait for the limit of the upstream: what
// was reported last, and the requests sent since.
func (e *entry) paceWait(now time.Time) time.Duration {
	if !e.limits() {
		return 0
	}
	limit := e.report.Limit
	wait := e.load.PacedUntil.Sub(now)
	if limit > 0 {
		wait += time.Duration(float64(e.sent) / limit * float64(time.Second))
	}
	return max(wait, 0)
}
