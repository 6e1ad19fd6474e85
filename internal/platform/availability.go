package platform

import (
	"time"

	"github.com/cockroachdb/errors"
)

// IsAnswer reports whether a call that ended with err had an answer: the API's
// own refusals are answers.
func IsAnswer(err error) bool {
	return err == nil || errors.IsAny(err, ErrNotFound, ErrConflict, ErrTooLarge, ErrCompacted)
}

// AvailabilityChange is what one more call has changed.
type AvailabilityChange int

const (
	// Unchanged: the API answers, or is away, as before.
	Unchanged AvailabilityChange = iota
	// Lost: the first call without an answer.
	Lost
	// Regained: the first answer after Lost.
	Regained
)

// Availability knows since when the API answers every call. The zero value has
// made no call. It is not safe for concurrent use.
type Availability struct {
	since time.Time // zero while it does not
	lost  time.Time // zero while it does
}

// Record takes in whether a call had an answer.
func (a *Availability) Record(now time.Time, answered bool) AvailabilityChange {
	if !answered {
		a.since = time.Time{}
		if !a.lost.IsZero() {
			return Unchanged
		}
		a.lost = now
		return Lost
	}
	if a.since.IsZero() {
		a.since = now
	}
	if a.lost.IsZero() {
		return Unchanged
	}
	a.lost = time.Time{}
	return Regained
}

// AvailableSince is the time since which every call had an answer, or zero.
func (a *Availability) AvailableSince() time.Time { return a.since }

// UnavailableSince is when the first call had no answer since one had; zero where the last
// one had.
func (a *Availability) UnavailableSince() time.Time { return a.lost }
