package scheduler

import "time"

const (
	// silentAfter and silentLatencies say after which time without any answer,
	// while requests run, an upstream is taken for silent: the longer one.
	silentAfter     = 800 * time.Millisecond
	silentLatencies = 5
	// silentRunning is the number of requests that must wait: a single one may
	// just take long.
	silentRunning = 2
	// probeEvery is how often one request may try a silent upstream.
	probeEvery = 300 * time.Millisecond
)

// silence watches for an upstream that accepts requests and answers none. What
// is sent to it would wait in vain until its deadline; refused at the door, it
// goes to another upstream at once.
type silence struct {
	// since is when the last answer came, or the first request began.
	since time.Time
	probe time.Time
}

// began takes in a request that starts while so many others run.
func (s *silence) began(now time.Time, others int) {
	if others == 0 {
		s.since = now
	}
}

func (s *silence) answered(now time.Time) { s.since = now }

// admits reports whether a request may be sent. To a silent upstream only one
// that can be sent again may go, now and then.
func (s *silence) admits(now time.Time, running int, mean time.Duration, idempotent bool) bool {
	if running < silentRunning || now.Sub(s.since) <= max(silentAfter, silentLatencies*mean) {
		return true
	}
	if !idempotent || now.Sub(s.probe) < probeEvery {
		return false
	}
	s.probe = now
	return true
}
