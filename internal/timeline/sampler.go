package timeline

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"heathershed/internal/contract"
)

const (
	// maxLevel is the highest sampling level; it keeps one request in 65,536.
	maxLevel = 16
	// sampleWindow is the period over which kept events are counted.
	sampleWindow = time.Second
)

// sampler limits the rate of sampled events. At level L it keeps the root
// requests whose hash ends in at least L zero bits: a request kept at one level
// is kept at all lower ones, in every process. The time is passed in. It is not
// safe for concurrent use.
type sampler struct {
	budget int // events kept per window, before the level rises
	level  int
	kept   int
	window time.Time
}

// keep reports whether an event of the root request is kept.
func (s *sampler) keep(now time.Time, root contract.RootID) bool {
	if now.Sub(s.window) >= sampleWindow || now.Before(s.window) {
		s.startWindow(now)
	}
	if SampleLevel(root) < s.level {
		return false
	}
	s.kept++
	if s.kept > s.budget && s.level < maxLevel {
		s.level++
		s.kept = s.budget / 2
	}
	return true
}

// startWindow starts a new window. It lowers the level by one if the last window
// kept less than a quarter of its budget, and to 0 if the last window began at
// least 2*maxLevel windows (32 s) ago.
func (s *sampler) startWindow(now time.Time) {
	if s.kept < s.budget/4 && s.level > 0 {
		s.level--
	}
	if now.Sub(s.window) >= 2*maxLevel*sampleWindow {
		s.level = 0
	}
	s.window, s.kept = now, 0
}

// SampleLevel returns the highest sampling level at which events of the root
// request are kept. Events without a root request are kept at level 0 only.
func SampleLevel(root contract.RootID) int {
	if root == (contract.RootID{}) {
		return 0
	}
	return min(bits.TrailingZeros64(xxhash.Sum64(root[:])), maxLevel)
}
