// Package transit estimates how long messages are held up on their way, from the
// wall clocks of both ends, which need not agree.
//
// The time of receipt less the time of sending is the time on the way plus the
// difference of the clocks. The least such value of the recent past stands for a
// message that was not held up; what a message takes beyond it is its delay.
// Unlike steady clocks, wall clocks include the time for which a VM is suspended.
//
// A clock that jumps makes delays look longer until the window has passed, or
// shorter by the jump for as long as it lasts.
package transit

import "time"

// window is the time for which the least value counts: for one to two windows.
const window = time.Minute

// Estimator estimates the delays of the messages of one connection in one
// direction. The zero value is ready to use. It is not safe for concurrent use.
type Estimator struct {
	// current is the least value of the window that began at began, and previous
	// that of the one before.
	current, previous least
	began             time.Time
}

// least is the least of the values that were added.
type least struct {
	value time.Duration
	valid bool
}

func (l *least) add(value time.Duration) {
	if !l.valid || value < l.value {
		*l = least{value, true}
	}
}

// Observe records a message and returns for how long it was held up. received is
// the local wall clock, sent that of the sender, both in microseconds since 1970;
// now is the local steady clock.
func (e *Estimator) Observe(now time.Time, received, sent int64) time.Duration {
	if now.Sub(e.began) >= window {
		e.previous, e.current, e.began = e.current, least{}, now
	}
	taken := time.Duration(received-sent) * time.Microsecond
	e.current.add(taken)
	base := e.current
	if e.previous.valid {
		base.add(e.previous.value)
	}
	return taken - base.value
}
