package scheduler

import "time"

const (
	// saturatedShare is the share of its slots above which an upstream may be slower
	// than below.
	saturatedShare = 0.95
	// minRuns is the number of runs after which a mean counts, below and above that
	// share.
	minRuns = 128
	// slowdownMargin is how much more the slowdown must cost than the slots that
	// are left idle for it.
	slowdownMargin = 1.1
	// saturationHold is how long slots are left idle until the upstream is tried
	// with all of them again.
	saturationHold = 5 * time.Second
	// saturationWeight is the weight of one run in a mean.
	saturationWeight = 0.01
)

// saturation finds out whether an upstream runs fewer requests a second with all of
// its slots in use than with some of them idle, and leaves these idle then. Only
// kinds that make no calls count: the latency of others is also that of the services
// they call. The zero value has found nothing.
type saturation struct {
	// below are the latencies, in seconds, of the runs that began with slots idle.
	below map[string]runMean
	// slowdown is the latency over that of the same kind below, of the runs that
	// began above the share since the last trial.
	slowdown runMean
	// until is when the upstream is tried with all slots again.
	until time.Time
}

// runMean is a moving mean over runs.
type runMean struct {
	value float64
	runs  int
}

// add adds a run. The first ones count equally.
func (m *runMean) add(value float64) {
	m.runs++
	m.value += max(saturationWeight, 1/float64(m.runs)) * (value - m.value)
}

// reduced returns the slots that are used of an upstream that slows down.
func reduced(slots int) int { return max(int(saturatedShare*float64(slots)), 1) }

// usable returns the number of slots to use.
func (s *saturation) usable(now time.Time, slots int) int {
	if now.Before(s.until) {
		return reduced(slots)
	}
	return slots
}

// observe records a run of a kind that began when n requests ran, itself included.
func (s *saturation) observe(now time.Time, kind string, took time.Duration, n, slots int) {
	if n <= reduced(slots) {
		s.observeBelow(kind, took)
		return
	}
	normal := s.below[kind]
	if normal.runs < minRuns || now.Before(s.until) {
		return
	}
	s.slowdown.add(took.Seconds() / normal.value)
	if s.slowdown.runs < minRuns {
		return
	}
	if s.slowdown.value > slowdownMargin*float64(slots)/float64(reduced(slots)) {
		s.until = now.Add(saturationHold)
		s.slowdown.runs = 0
	}
}

func (s *saturation) observeBelow(kind string, took time.Duration) {
	if s.below == nil {
		s.below = make(map[string]runMean)
	}
	m, known := s.below[kind]
	if !known && len(s.below) >= maxKinds {
		return
	}
	m.add(took.Seconds())
	s.below[kind] = m
}
