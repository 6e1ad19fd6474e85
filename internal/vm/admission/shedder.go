package admission

import (
	"time"

	"heathershed/internal/contract"
)

const (
	// shedWindow is the time between two changes of the threshold.
	shedWindow = 100 * time.Millisecond
	// levelsPerBucket is the width of a bucket of the histogram of levels.
	levelsPerBucket = 4
	bucketsPerClass = contract.RanksPerClass / levelsPerBucket
	buckets         = int(contract.MaxLevel) / levelsPerBucket
	// histogramGain is the weight of the latest window in the histogram.
	histogramGain = 0.5
	// minShedStep and maxShedStep bound the doubling step by which the threshold
	// falls. The threshold rises by minShedStep if the histogram shows no excess.
	minShedStep = contract.Level(8)
	maxShedStep = contract.Level(256)
	// maxThreshold always admits the highest ranks of orders, so that there are
	// requests to learn from.
	maxThreshold = contract.MaxLevel - levelsPerBucket
	// The margin is the fraction of the capacity that the threshold admits.
	// Slightly more than the capacity keeps the slots busy; the queue takes the
	// excess.
	minMargin, maxMargin = 0.8, 1.5
	// marginDecrease is the step by which the margin falls under overload.
	// Without overload it rises by marginIncrease times the fraction of the
	// limit that is not in use, up to maxMarginIncrease.
	marginDecrease    = 0.02
	marginIncrease    = 0.3
	maxMarginIncrease = 0.1
	// targetUse is the fraction of the limit in use at which the margin no
	// longer rises.
	targetUse = 0.95
)

// shedder moves the threshold below which requests are shed.
type shedder struct {
	threshold        contract.Level
	highestThreshold contract.Level // bound on threshold: while all orders fit, none is shed by rank
	step             contract.Level
	margin           float64

	windowAt    time.Time
	arrived     [buckets]uint32              // in the open window
	rates       [buckets]float64             // arrivals per second, smoothed
	offered     [contract.NumClasses]float64 // sum of the rates of the class and above
	shedByQueue int                          // requests that arrived and were shed by the queue in the open window
	use         float64                      // sum of useSamples samples of the fraction of the limit in use
	useSamples  int
	neverEmpty  bool // the queue was never empty in the open window
}

func newShedder(now time.Time) shedder {
	return shedder{highestThreshold: maxThreshold, step: minShedStep, margin: 1, windowAt: now}
}

// arrive counts one offered request.
func (s *shedder) arrive(score contract.Level) {
	s.arrived[int(score)/levelsPerBucket]++
}

// recordShed counts a request that arrived at the given time and was shed by
// the queue. A request that arrived before the open window was counted in its
// own window or met an older threshold.
func (s *shedder) recordShed(arrivedAt time.Time) {
	if !arrivedAt.Before(s.windowAt) {
		s.shedByQueue++
	}
}

// recordUse adds a sample of the fraction of the limit in use.
func (s *shedder) recordUse(use float64) {
	s.use += use
	s.useSamples++
}

// tick moves the threshold if it is due. capacity is in requests per second, 0
// if unknown; waitIsLong reports that the expected wait in the queue is long. A
// queue that is never empty but not long keeps the slots busy, and the
// threshold is left unchanged.
func (s *shedder) tick(now time.Time, capacity float64, waitIsLong bool) {
	age := now.Sub(s.windowAt)
	if age < shedWindow {
		return
	}
	s.closeHistogram(age.Seconds())
	target := contract.Level(0)
	if capacity > 0 {
		target = s.fitting(capacity * s.margin)
	}
	s.highestThreshold = maxThreshold
	if s.offered[contract.ClassOrder] <= capacity {
		s.highestThreshold = contract.LevelOf(contract.ClassOrder, 0)
	}
	switch {
	case s.shedByQueue > 0 || s.neverEmpty && waitIsLong:
		s.raise(target)
	case !s.neverEmpty:
		s.lower(target)
	}
	s.windowAt = now
	s.shedByQueue = 0
	s.use, s.useSamples = 0, 0
	s.neverEmpty = true
}

func (s *shedder) closeHistogram(seconds float64) {
	s.offered = [contract.NumClasses]float64{}
	for i, n := range s.arrived {
		s.rates[i] += (float64(n)/seconds - s.rates[i]) * histogramGain
		s.arrived[i] = 0
		s.offered[i/bucketsPerClass] += s.rates[i]
	}
	for class := contract.NumClasses - 2; class >= 0; class-- {
		s.offered[class] += s.offered[class+1]
	}
}

// raise sets the threshold to the target. If the target is not above the current
// threshold, because what is offered above it seems to fit, raise adds
// minShedStep to the threshold instead.
func (s *shedder) raise(target contract.Level) {
	s.margin = max(minMargin, min(s.margin, 1+marginDecrease)-marginDecrease)
	if target <= s.threshold {
		target = s.threshold + minShedStep
	}
	s.threshold = min(target, s.highestThreshold)
	s.step = minShedStep
}

// lower moves the threshold down towards the target. If the target is above 0,
// the demand is visible, and half the gap is closed in one step. Otherwise there
// may be hidden demand that callers refuse before it arrives here: the steps
// start small and double as long as there is no overload.
func (s *shedder) lower(target contract.Level) {
	if s.threshold == 0 {
		s.margin = 1
		return
	}
	spare := targetUse - s.use/float64(max(s.useSamples, 1))
	s.margin = min(maxMargin, s.margin+min(max(0, marginIncrease*spare), maxMarginIncrease))
	step := s.step
	if target > 0 && target < s.threshold {
		step = max(step, (s.threshold-target)/2)
	}
	fallen := s.threshold - min(step, s.threshold)
	s.threshold = min(s.threshold, s.highestThreshold, max(target, fallen))
	s.step = min(s.step*2, maxShedStep)
}

// fitting returns the lowest threshold that admits no more than the rate.
func (s *shedder) fitting(rate float64) contract.Level {
	for i := buckets - 1; i >= 0; i-- {
		rate -= s.rates[i]
		if rate < 0 {
			return contract.Level((i + 1) * levelsPerBucket)
		}
	}
	return 0
}

// overload returns the ratio of what is offered in the class and above to the
// capacity, at least 1.
func (s *shedder) overload(class contract.Class, capacity float64) float64 {
	if capacity <= 0 {
		return 1
	}
	return max(1, s.offered[class]/capacity)
}
