package scheduler

import (
	"time"

	"heathershed/internal/contract"
)

const (
	// minWindow is the shortest time over which the demand is measured.
	minWindow = 40 * time.Millisecond
	// maxWindow bounds the time between two updates that the threshold is
	// integrated over.
	maxWindow = 250 * time.Millisecond
	// demandWeight is the weight of one window in the moving mean of the
	// demand.
	demandWeight = 0.3
	// targetDemand is the demand, as a share of the slots, at which the
	// threshold stays where it is.
	targetDemand = 0.97
	// gain is the speed of the threshold, in levels per second, for a demand
	// that is above the target by 1, the work of all slots.
	gain = 2400.0
	// The normal wait in the queue is normalWaitShare of the mean latency, but
	// at least minNormalWait.
	minNormalWait   = 15 * time.Millisecond
	normalWaitShare = 0.1
	// waitLevels is added to the threshold for each normal wait beyond the
	// first, at most maxWaitExcess times.
	waitLevels    = 150.0
	maxWaitExcess = 4.0
	// maxProjection bounds what few admitted requests say about many.
	maxProjection = 2.0
)

// shedder computes the threshold below which the ingress of other nodes rejects
// clients' requests, so that the queue here stays short: requests are rejected
// before any work was done for them, not at the end of a call chain.
//
// The threshold is the integral of the excess demand, that is, of the work
// offered per second as a share of the slots. It is not an integral of the
// queue length, because the queue is an integral itself, and it takes some
// tenths of a second until a threshold reaches the ingress nodes, and longer until
// its effect comes back: a call tree that was admitted makes calls until its end.
// So each request counts as it would had its root request met the present
// threshold. A long queue also adds to the threshold for as long as it lasts.
//
// Nested calls that follow one another wait for one another: the more call trees
// there are, the longer each call waits, and no more of them arrive than the slots
// take. So what waits counts as demand too.
//
// The threshold does not rise while requests wait and all of them can, see canWait,
// nor while none waits and a slot is free, unless requests of call trees were offered:
// what they will call is not known yet. The demand is reckoned with a mean latency,
// which a stalled VM raises for a while although there is room.
type shedder struct {
	level      float64       // integral of the excess demand, in priority levels
	queueLevel float64       // added for the queue, in priority levels
	demand     float64       // moving mean, as a share of the slots
	work       time.Duration // offered since the start of the window
	since      time.Time     // start of the window
	trees      bool          // requests of call trees were offered since then
}

// offered records an offered request with its expected latency.
func (s *shedder) offered(expected time.Duration, r *Request) {
	s.work += time.Duration(float64(expected) * s.projection(r.Level, r.Admitted))
	s.trees = s.trees || r.isTreePart()
}

// projection returns the factor by which the calls for root requests of the class
// of level change until all of them have met the integral's present level, and none
// the earlier threshold admitted. Ranks are uniform within a class.
func (s *shedder) projection(level, admitted contract.Level) float64 {
	base := float64(contract.LevelOf(level.Class(), 0))
	passed := func(threshold float64) float64 {
		return contract.RanksPerClass - min(max(threshold-base, 0), contract.RanksPerClass)
	}
	return min(passed(s.level)/max(passed(float64(admitted)), 1), maxProjection)
}

// updateThreshold moves the threshold if the current window has lasted minWindow.
func (s *shedder) updateThreshold(now time.Time, mean time.Duration, slots, inFlight int, queue []*entry) {
	age := now.Sub(s.since)
	if age < minWindow {
		return
	}
	dt := min(age, maxWindow).Seconds()
	demand := s.work.Seconds() / (age.Seconds() * float64(slots))
	demand += s.waiting(queue) / float64(slots)
	s.demand += demandWeight * (demand - s.demand)
	s.work, s.since = 0, now
	forSlot := func(n int) time.Duration { return time.Duration(n) * mean / time.Duration(slots) }
	excess := s.demand - targetDemand
	s.queueLevel = 0
	idle := len(queue) == 0 && inFlight < slots && !s.trees
	s.trees = false
	if idle || len(queue) > 0 && canWait(now, queue, forSlot) {
		excess = min(excess, 0)
	} else {
		normal := max(minNormalWait, time.Duration(normalWaitShare*float64(mean)))
		s.queueLevel = waitLevels * min(max(forSlot(len(queue)).Seconds()/normal.Seconds()-1, 0), maxWaitExcess)
	}
	s.level += gain * excess * dt
	s.level = min(max(s.level, 0), float64(contract.MaxLevel))
}

// canWait reports whether nothing would be gained by rejecting requests earlier:
// none of those in the queue belongs to a call tree, whose other calls have to wait
// as well, and each is expected to start sooner than its client would come back if
// it were rejected. startIn gives the time until the n-th in the queue starts.
func canWait(now time.Time, queue []*entry, startIn func(n int) time.Duration) bool {
	for i, e := range queue {
		if e.isTreePart() || startIn(i+1) > e.Deadline.Sub(now)/contract.ReturnDivisor {
			return false
		}
	}
	return true
}

// waiting returns the number of queued requests that would wait had they met the
// present threshold.
func (s *shedder) waiting(queue []*entry) float64 {
	sum := 0.0
	for _, e := range queue {
		sum += s.projection(e.Level, e.Admitted)
	}
	return sum
}

func (s *shedder) threshold() contract.Level {
	return contract.Level(min(s.level+s.queueLevel, float64(contract.MaxLevel)))
}
