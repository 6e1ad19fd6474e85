package routing

import "time"

// estimate is an exponentially weighted moving average that returns to a
// baseline while no samples arrive, so that a target that is avoided for an old
// reason is tried again.
type estimate struct {
	value float64
	at    instant
}

// add moves the average towards a sample by the given gain in (0, 1]. If no
// sample arrived for the duration decay, the average starts again from the
// baseline.
func (e *estimate) add(now instant, sample, gain, baseline float64, decay time.Duration) {
	v := e.read(now, baseline, decay)
	e.value = v + gain*(sample-v)
	e.at = now
}

// read returns the average, moved linearly towards the baseline by its age and
// equal to it from the age decay on. An estimate without samples equals the
// baseline.
func (e *estimate) read(now instant, baseline float64, decay time.Duration) float64 {
	if e.at.IsZero() {
		return baseline
	}
	age := now.Sub(e.at)
	switch {
	case age <= 0:
		return e.value
	case age >= decay:
		return baseline
	}
	return e.value + (baseline-e.value)*float64(age)/float64(decay)
}
