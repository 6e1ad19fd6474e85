package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"
)

// saturated lets a saturation observe runs that began with some slots idle, and then
// as many with all of them in use, which take longer by the factor.
func saturated(rng *rand.Rand, slots, runs int, slowdown float64) *saturation {
	s := &saturation{}
	took := func() time.Duration {
		return time.Duration((0.5 + rng.Float64()) * float64(20*time.Millisecond))
	}
	for range runs {
		s.observe(at(0), "k", took(), reduced(slots), slots)
	}
	for range runs {
		s.observe(at(0), "k", time.Duration(slowdown*float64(took())), slots, slots)
	}
	return s
}

func TestSaturation(t *testing.T) {
	cases := []struct {
		name     string
		slots    int
		runs     int
		slowdown float64
		reduced  bool
	}{
		{"no slowdown", 20, 1000, 1, false},
		{"less than the idle slots cost", 20, 1000, 1.04, false},
		{"slows down", 20, 1000, 1.3, true},
		{"slows down, many slots", 229, 1000, 1.3, true},
		{"few runs", 20, minRuns - 1, 3, false},
		{"one slot", 1, 1000, 3, false},
		{"four slots, one of them costs more than it brings", 4, 1000, 2, true},
		{"four slots, one of them brings more than it costs", 4, 1000, 1.3, false},
	}
	for _, c := range cases {
		for seed := range uint64(20) {
			s := saturated(rand.New(rand.NewPCG(1, seed)), c.slots, c.runs, c.slowdown)
			usable := s.usable(at(0), c.slots)
			if got := usable < c.slots; got != c.reduced {
				t.Errorf("%s, seed %d: got %d of %d slots usable, slowdown %.2f; want fewer: %v", c.name, seed, usable, c.slots, s.slowdown.value, c.reduced)
			}
			if got := s.usable(at(0).Add(saturationHold), c.slots); got != c.slots {
				t.Errorf("%s, seed %d: got %d of %d slots usable after %v, want all", c.name, seed, got, c.slots, saturationHold)
			}
		}
	}
}
