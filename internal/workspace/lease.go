package workspace

import "time"

// marginDivisor gives the part of a revocation bound by which a lease ends early. It
// covers the drift of clocks and the error of the age that another node reports.
const marginDivisor = 10

// Lease decides whether a node may use its table of keys. A key that was taken away
// must be refused everywhere within a bound, also at a node that can't hear of it, so
// the table is valid for that time only after it was last confirmed as the newest.
//
// The zero Lease never ends.
type Lease struct {
	// Bound is the time after which a key that was taken away must be refused; 0 if
	// none applies.
	Bound time.Duration
}

// Holds reports whether the table may be used if its newest confirmation has the given
// age. The age must include the time for which the VM was suspended.
func (l Lease) Holds(age time.Duration) bool { return l.Bound == 0 || age < l.duration() }

// Left returns how long the table may still be used.
func (l Lease) Left(age time.Duration) time.Duration { return max(l.duration()-age, 0) }

func (l Lease) duration() time.Duration { return l.Bound - l.Bound/marginDivisor }
