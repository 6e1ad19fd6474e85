package door

import (
	"time"

	"heathershed/internal/contract"
)

const (
	// waitLeast and waitPart give the wait in the queue that is taken for
	// normal: a part of the mean latency, at least waitLeast.
	waitLeast = 15 * time.Millisecond
	waitPart  = 0.25
	// rise and fall are how fast the threshold moves, in levels a second, for a
	// wait of twice the normal one and for none.
	rise = 500.0
	fall = 400.0
	// idleFall is the fall while slots are idle.
	idleFall = 1000.0
	// idleBelow is the part of the slots below which some count as idle.
	idleBelow = 0.9
	// worst bounds what a long wait adds.
	worst = 3.0
	// longest bounds the time between two looks that counts.
	longest = 200 * time.Millisecond
)

// shedder moves the threshold below which the front doors refuse clients'
// requests, so that the queue here stays short: requests are turned away where
// they have cost nothing yet, not at the bottom of a chain of work done.
type shedder struct {
	level float64
	at    time.Time
}

// look moves the threshold for the time since the last look.
func (s *shedder) look(now time.Time, wait, mean time.Duration, use float64) {
	if s.at.IsZero() {
		s.at = now
	}
	dt := min(now.Sub(s.at), longest).Seconds()
	if dt <= 0 {
		return
	}
	s.at = now
	normal := max(waitLeast, time.Duration(waitPart*float64(mean)))
	excess := min(wait.Seconds()/normal.Seconds()-1, worst)
	switch {
	case excess > 0:
		s.level += rise * excess * dt
	case use < idleBelow:
		s.level -= idleFall * dt
	default:
		s.level += fall * excess * dt
	}
	s.level = min(max(s.level, 0), float64(contract.MaxLevel))
}

func (s *shedder) threshold() contract.Level { return contract.Level(s.level) }
