package routing

import (
	"testing"
	"time"
)

// shareRange is the range in which the share of a target must be.
type shareRange struct{ min, max float64 }

func checkShares(t *testing.T, sim *simulation, name string, shares []float64, want ...shareRange) {
	t.Helper()
	t.Logf("%-44s %.3f  none %d", name, shares, sim.unrouted)
	for i, b := range want {
		if shares[i] < b.min || shares[i] > b.max {
			t.Errorf("%s: target %d got %.3f of the calls, want %.3f to %.3f", name, i, shares[i], b.min, b.max)
		}
	}
	if sim.unrouted > 0 {
		t.Errorf("%s: %d calls found no target", name, sim.unrouted)
	}
}

// numIdle is the number of cases of TestShares that also run with idle targets.
const numIdle = 9

func TestShares(t *testing.T) {
	four := []location{local, local, local, local}
	honest := func(n int) Load { return Load{InFlight: uint32(n), Limit: 30} }
	zero := func(int) Load { return Load{Limit: 30} }
	full := func(int) Load { return Load{InFlight: 3e6, Limit: 30} }
	cold := func(int) Load { return Load{Limit: 30, Cold: true} }
	announce := func(sim *simulation, first func(int) Load) {
		for _, f := range sim.fakes {
			f.otherInFlight, f.announce = 24, honest
		}
		sim.fakes[0].announce = first
	}
	all := func(fail float64) func(sim *simulation) {
		return func(sim *simulation) {
			for _, f := range sim.fakes {
				f.fail = fail
			}
		}
	}
	fair, quarter := shareRange{0.20, 0.30}, 0.25
	cases := []struct {
		name      string
		locations []location
		set       func(sim *simulation)
		want      []shareRange
	}{
		{"equal", four, func(*simulation) {}, []shareRange{fair, fair, fair, fair}},
		{"a third of the slots", four, func(sim *simulation) { sim.fakes[0].slots, sim.fakes[0].Slots = 10, 10; sim.setTargets() }, []shareRange{{0.05, 0.15}}},
		{"true loads", four, func(sim *simulation) { announce(sim, honest) }, []shareRange{fair, fair, fair, fair}},
		{"load stuck at zero", four, func(sim *simulation) { announce(sim, zero) }, []shareRange{{quarter, 1.5 * quarter}}},
		{"load stuck at full", four, func(sim *simulation) { announce(sim, full) }, []shareRange{{0.5 * quarter, 1.05 * quarter}}},
		{"announced full load once, long ago", four, func(sim *simulation) {
			sim.fakes[0].announce = full
			sim.run(500*time.Millisecond, 1000)
			sim.fakes[0].announce = nil
		}, []shareRange{fair, fair, fair, fair}},
		{"always announces warming up", four, func(sim *simulation) { announce(sim, cold) }, []shareRange{{0.3 * quarter, quarter}}},
		{"load stuck at zero, five times as slow", four, func(sim *simulation) { announce(sim, zero); sim.fakes[0].latency *= 5 }, []shareRange{{0, 0.05}}},
		{"load of all but one stuck at full", four, func(sim *simulation) {
			announce(sim, zero)
			for _, f := range sim.fakes[1:] {
				f.announce = full
			}
		}, []shareRange{{quarter, 1.5 * quarter}}},
		{"slots overstated 1000 times", four, func(sim *simulation) { sim.fakes[0].Slots *= 1000; sim.setTargets() }, []shareRange{{quarter, 0.7}}},
		{"slots overstated 1000 times, overloaded", four, func(sim *simulation) {
			sim.fakes[0].Slots *= 1000
			sim.fakes[0].slots = 3
			sim.setTargets()
		}, []shareRange{{0.05, 0.4}}},
		{"ten times as slow", four, func(sim *simulation) { sim.fakes[0].latency *= 10 }, []shareRange{{0, 0.05}}},
		{"never answers", four, func(sim *simulation) { sim.fakes[0].stuck = true }, []shareRange{{0, 0.03}}},
		{"fails every call quickly", four, func(sim *simulation) { sim.fakes[0].fail = 1 }, []shareRange{{0, 0.02}, {0.25, 0.42}}},
		{"fails two of three calls", four, func(sim *simulation) { sim.fakes[0].fail = 0.67 }, []shareRange{{0, 0.05}}},
		{"all fail", four, all(1), []shareRange{fair, fair, fair, fair}},
		{"all fail, other random numbers", four, func(sim *simulation) { sim.rng.Seed(3); all(1)(sim) }, []shareRange{fair, fair, fair, fair}},
		{"all fail two of five calls", four, func(sim *simulation) { all(0.4)(sim); sim.run(30*time.Second, 1000) }, []shareRange{fair, fair, fair, fair}},
		{"one link down", four, func(sim *simulation) { sim.setLinked(0, false) }, []shareRange{{0, 0}, {0.28, 0.38}}},
		{"three tiers, all healthy", []location{local, local, near, near, far, far}, func(*simulation) {},
			[]shareRange{{0.45, 0.55}, {0.45, 0.55}, {0, 0.05}, {0, 0.05}, {0, 0}, {0, 0}}},
		{"two tiers, slow service", []location{local, near}, func(sim *simulation) {
			sim.fakes[0].latency, sim.fakes[1].latency = 200*time.Millisecond, 200*time.Millisecond
			for _, f := range sim.fakes {
				f.slots, f.Slots = 1000, 1000
			}
			sim.setTargets()
			sim.run(5*time.Second, 1000)
		}, []shareRange{{0.95, 1}}},
		{"near twice as fast", []location{local, near}, func(sim *simulation) {
			sim.setLinked(0, false)
			sim.fakes[1].latency = 4 * time.Millisecond
			sim.run(time.Second, 1000)
			sim.setLinked(0, true)
			sim.run(8*time.Second, 1000)
		}, []shareRange{{0.65, 0.9}}},
		{"local targets refuse half", []location{local, local, near, near, far, far}, func(sim *simulation) { sim.fakes[0].refuse, sim.fakes[1].refuse = 0.5, 0.5 },
			[]shareRange{{0, 0.2}, {0, 0.2}, {0.25, 0.5}, {0.25, 0.5}, {0, 0.02}, {0, 0.02}}},
		{"local targets refuse one in fifty", []location{local, local, near, near}, func(sim *simulation) { sim.fakes[0].refuse, sim.fakes[1].refuse = 0.02, 0.02 },
			[]shareRange{{0.35, 0.55}, {0.35, 0.55}}},
		{"local and near slow", []location{local, near, far}, func(sim *simulation) { sim.fakes[0].latency, sim.fakes[1].latency = time.Second, time.Second },
			[]shareRange{{0, 0.3}, {0, 0.3}, {0.6, 1}}},
		{"local data centre down", []location{local, local, near, near, far, far}, func(sim *simulation) { sim.setLinked(0, false); sim.setLinked(1, false) },
			[]shareRange{{0, 0}, {0, 0}, {0.45, 0.55}, {0.45, 0.55}, {0, 0.02}, {0, 0.02}}},
		{"local region down", []location{local, near, far, far}, func(sim *simulation) { sim.setLinked(0, false); sim.setLinked(1, false) },
			[]shareRange{{0, 0}, {0, 0}, {0.4, 0.6}, {0.4, 0.6}}},
		{"single local target overloaded", []location{local, near, near}, func(sim *simulation) { sim.fakes[0].slots = 2 },
			[]shareRange{{0.1, 0.6}, {0.2, 0.5}, {0.2, 0.5}}},
	}
	for _, c := range cases {
		sim := newSimulation(c.locations...)
		sim.run(time.Second, 1000)
		c.set(sim)
		sim.run(2*time.Second, 1000)
		checkShares(t, sim, c.name, sim.run(5*time.Second, 1000), c.want...)
	}
	// With few calls per second all targets are idle, as seen by one node among
	// hundreds, and announced loads have the largest effect.
	for _, c := range cases[:numIdle] {
		sim := newSimulation(c.locations...)
		c.set(sim)
		sim.run(2*time.Second, 60)
		checkShares(t, sim, c.name+", idle", sim.run(100*time.Second, 60), c.want...)
	}
}
