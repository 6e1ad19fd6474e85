package retry

import (
	"time"

	"heathershed/internal/contract"
)

const (
	// minReturn is the wait where it is not known when there will be room: a
	// client that returns sooner is likely to find what it found before.
	minReturn = 150 * time.Millisecond
	// returnSpread is the time over which returns are spread: some tenths of a
	// second, about as long as a threshold takes to reach the ingress nodes.
	returnSpread = 350 * time.Millisecond
)

// Return describes a request that was rejected, to its client's next one.
type Return struct {
	// Room is the expected time until there is room; 0 if that is not known.
	Room time.Duration
	// Left is the time that the client has left.
	Left time.Duration
	// Takes is the time to allow for an answer.
	Takes time.Duration
}

// After returns how long the client should wait: until there is room, but not
// longer than clients do, nor so long that the answer would come too late. The
// returns are spread over returnSpread, so that they do not meet, and over no more,
// because room that comes while a client stays away goes unused. random is in [0, 1).
func (r Return) After(random float64) time.Duration {
	latest := max(min(r.Left/contract.ReturnDivisor, r.Left-r.Takes), 0)
	from := max(r.Room, minReturn)
	to := min(from+returnSpread, latest)
	from = min(from, max(to-returnSpread, to/2))
	return from + time.Duration(random*float64(to-from))
}
