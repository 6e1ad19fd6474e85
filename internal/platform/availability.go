package platform

import (
	"time"

	"github.com/cockroachdb/errors"
)

// IsAnswer reports whether the API answered a call that returned err. Errors
// that the API itself returns are answers.
func IsAnswer(err error) bool {
	return err == nil || errors.IsAny(err, ErrNotFound, ErrConflict, ErrTooLarge, ErrCompacted)
}

// AvailabilityChange says how one more call changed the availability of the
// API.
type AvailabilityChange int

const (
	// Unchanged: the API remains available or unavailable.
	Unchanged AvailabilityChange = iota
	// Lost: this is the first call without an answer.
	Lost
	// Regained: this is the first answered call after Lost.
	Regained
)

// Availability tracks since when the API has answered every call. The zero
// value stands for no call so far. It is not safe for concurrent use.
type Availability struct {
	availableSince   time.Time // zero while unavailable
	unavailableSince time.Time // zero while available
}

// Record records whether a call was answered and returns what that changed.
func (a *Availability) Record(now time.Time, answered bool) AvailabilityChange {
	if !answered {
		a.availableSince = time.Time{}
		if !a.unavailableSince.IsZero() {
			return Unchanged
		}
		a.unavailableSince = now
		return Lost
	}
	if a.availableSince.IsZero() {
		a.availableSince = now
	}
	if a.unavailableSince.IsZero() {
		return Unchanged
	}
	a.unavailableSince = time.Time{}
	return Regained
}

// AvailableSince returns the time since which every call has been answered, or
// the zero time if the last call was not answered or none was made.
func (a *Availability) AvailableSince() time.Time { return a.availableSince }

// UnavailableSince returns the time of the first call without an answer since
// the last answered one, or the zero time if the last call was answered or
// none was made.
func (a *Availability) UnavailableSince() time.Time { return a.unavailableSince }
