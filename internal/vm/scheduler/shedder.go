package scheduler

import (
	"time"

	"heathershed/internal/contract"
)

const (
	// window is the shortest time over which the demand is measured.
	window = 40 * time.Millisecond
	// longest bounds the time between two looks that counts.
	longest = 250 * time.Millisecond
	// demandWeight is the part that a window has in the mean demand.
	demandWeight = 0.3
	// wanted is the part of the slots that the demand may take.
	wanted = 0.97
	// gain is how fast the threshold moves, in levels a second, for a demand of
	// one whole set of slots too much.
	gain = 1200.0
	// waitLeast and waitPart give the wait in the queue that is taken for
	// normal: a part of the mean latency, at least waitLeast.
	waitLeast = 15 * time.Millisecond
	waitPart  = 0.1
	// waitLevels is what a wait of twice the normal one adds to the threshold,
	// and worst bounds how many times over.
	waitLevels = 150.0
	worst      = 4.0
)

// shedder moves the threshold below which the front doors refuse clients'
// requests, so that the queue here stays short: requests are turned away where
// they have cost nothing yet, not at the bottom of a chain of work done.
//
// The threshold is an integral over the demand, the work offered in a second
// in parts of the slots, and not over the queue: the queue is an integral
// itself, and the news takes some tenths of a second to the fronts and back.
// The queue only adds to it for as long as it is long.
type shedder struct {
	level  float64
	extra  float64
	demand float64
	work   time.Duration // offered in the open window
	since  time.Time
}

// offered takes in a request that takes so long.
func (s *shedder) offered(expected time.Duration) { s.work += expected }

// look moves the threshold where the window is over.
func (s *shedder) look(now time.Time, wait, mean time.Duration, slots int) {
	age := now.Sub(s.since)
	if age < window {
		return
	}
	dt := min(age, longest).Seconds()
	demand := s.work.Seconds() / (age.Seconds() * float64(slots))
	s.demand += demandWeight * (demand - s.demand)
	s.work, s.since = 0, now
	s.level += gain * (s.demand - wanted) * dt
	s.level = min(max(s.level, 0), float64(contract.MaxLevel))
	normal := max(waitLeast, time.Duration(waitPart*float64(mean)))
	s.extra = waitLevels * min(max(wait.Seconds()/normal.Seconds()-1, 0), worst)
}

func (s *shedder) threshold() contract.Level {
	return contract.Level(min(s.level+s.extra, float64(contract.MaxLevel)))
}
