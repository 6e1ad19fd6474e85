package fleet

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of one outcome in the failure rate.
	failureWeight = 0.1
	// failureHalfLife is the time in which a failure rate halves while there are
	// no new outcomes.
	failureHalfLife = 2 * time.Second
)

// failureRate is an exponentially weighted moving average of failed outcomes,
// from 0 to 1, that also decays with time. The zero value is a rate of 0.
type failureRate struct {
	value float64
	at    time.Time
}

func (r *failureRate) add(now time.Time, failed bool) {
	v := r.rate(now)
	if failed {
		v += failureWeight * (1 - v)
	} else {
		v -= failureWeight * v
	}
	r.value, r.at = v, now
}

func (r *failureRate) rate(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp2(-now.Sub(r.at).Seconds()/failureHalfLife.Seconds())
}
