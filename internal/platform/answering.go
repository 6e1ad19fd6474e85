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

// Change is what one more call has changed.
type Change int

const (
	// Same: the API answers, or is away, as before.
	Same Change = iota
	// Lost: the first call without an answer.
	Lost
	// Regained: the first answer after Lost.
	Regained
)

// Answering knows since when the API answers every call. The zero value has
// made no call. It is not safe for concurrent use.
type Answering struct {
	since time.Time // zero while it does not
	lost  time.Time // zero while it does
}

// Note takes in whether a call had an answer.
func (a *Answering) Note(now time.Time, answered bool) Change {
	if !answered {
		a.since = time.Time{}
		if !a.lost.IsZero() {
			return Same
		}
		a.lost = now
		return Lost
	}
	if a.since.IsZero() {
		a.since = now
	}
	if a.lost.IsZero() {
		return Same
	}
	a.lost = time.Time{}
	return Regained
}

// Since is the time since which every call had an answer, or zero.
func (a *Answering) Since() time.Time { return a.since }

// Lost is when the first call had no answer since one had; zero where the last
// one had.
func (a *Answering) Lost() time.Time { return a.lost }
