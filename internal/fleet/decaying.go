package fleet

import (
	"math"
	"time"
)

const (
	// failWeight is the part that one outcome has in the share of failures.
	failWeight = 0.1
	// failHalfLife is the time in which a share without new outcomes halves.
	failHalfLife = 2 * time.Second
)

// decaying is a share of failures that fades with time. Its zero value is a
// share of 0.
type decaying struct {
	value float64
	at    time.Time
}

func (d *decaying) add(now time.Time, failed bool) {
	v := d.share(now)
	if failed {
		v += failWeight * (1 - v)
	} else {
		v -= failWeight * v
	}
	d.value, d.at = v, now
}

func (d *decaying) share(now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp2(-now.Sub(d.at).Seconds()/failHalfLife.Seconds())
}
