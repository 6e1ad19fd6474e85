package routing

import "time"

// instant is a time in nanoseconds, counted from one hour before the first
// event. Plain numbers keep the choice of a target fast. The zero instant means
// "never" or "not set".
type instant int64

// firstInstant is the instant of the first event; it differs from the zero
// instant.
const firstInstant = instant(time.Hour)

// Add returns the instant later by d.
func (t instant) Add(d time.Duration) instant { return t + instant(d) }

// Sub returns the time from other to t.
func (t instant) Sub(other instant) time.Duration { return time.Duration(t - other) }

// Before reports whether t is earlier than other.
func (t instant) Before(other instant) bool { return t < other }

// IsZero reports whether t is not set.
func (t instant) IsZero() bool { return t == 0 }

// clock converts times to instants.
type clock struct{ first time.Time }

// at returns the instant of a time. It uses the monotonic clock reading of the
// time where there is one.
func (c *clock) at(now time.Time) instant {
	if c.first.IsZero() {
		c.first = now
	}
	return firstInstant.Add(now.Sub(c.first))
}
