package routing

import (
	"fmt"
	"testing"
	"time"
)

// Orders must never probe an ejected target; idempotent calls probe it and bring
// it back.
func TestOutlierIsProbedByIdempotentCallsOnly(t *testing.T) {
	for _, c := range []struct {
		fail         float64
		stuck        bool
		maxPerSecond int // calls per second to an ejected target
	}{{1, false, 20}, {0, true, 2}} {
		sim := newSimulation(local, local, local, local)
		sim.run(time.Second, 1000)
		sim.fakes[0].fail, sim.fakes[0].stuck = c.fail, c.stuck
		sim.run(3*time.Second, 1000)
		for range 20 {
			sim.run(time.Second, 1000)
			if received := sim.fakes[0].received; received[1] != 0 || received[0] > c.maxPerSecond {
				t.Errorf("stuck %v: ejected target got %d calls and %d orders in one second", c.stuck, received[0], received[1])
			}
		}
		sim.fakes[0].fail, sim.fakes[0].stuck = 0, false
		sim.run(45*time.Second, 1000)
		checkShares(t, sim, "recovered, after 45 s", sim.run(5*time.Second, 1000), shareRange{0.2, 0.3})
	}
}

// Without idempotent calls nothing can probe an ejected target. It must still be
// reinstated, or the service would lose its targets one after the other.
func TestOutlierOfOrderOnlyServiceIsReinstatedAtLowestWeight(t *testing.T) {
	sim := newSimulation(local, local, local)
	sim.ordersOnly = true
	sim.fakes[0].fail = 1
	sim.run(2*time.Second, 300)
	sim.fakes[0].fail = 0
	checkShares(t, sim, "orders only, ejected", sim.run(50*time.Second, 300), shareRange{0, 0})
	sim.run(15*time.Second, 300)
	checkShares(t, sim, "orders only, reinstated", sim.run(20*time.Second, 300), shareRange{0.2, 0.4})
}

// A restarted target ramps up from a small share. If all restart together, they
// share the calls evenly from the start.
func TestRestartedTargetsRampUp(t *testing.T) {
	sim := newSimulation(local, local, local, local)
	sim.run(2*time.Second, 1000)
	sim.restart(0)
	checkShares(t, sim, "one restarted, first second", sim.run(time.Second, 1000), shareRange{0.005, 0.1})
	sim.run(10*time.Second, 1000)
	checkShares(t, sim, "one restarted, after 12 s", sim.run(5*time.Second, 1000), shareRange{0.2, 0.3})
	for i := range sim.fakes {
		sim.restart(i)
	}
	fair := shareRange{0.2, 0.3}
	checkShares(t, sim, "all restarted, first 2 s", sim.run(2*time.Second, 1000), fair, fair, fair, fair)
}

// Orders avoid a restarted target until it has answered calls or part of its
// ramp-up is over.
func TestOrdersAvoidTargetThatIsWarmingUp(t *testing.T) {
	sim := newSimulation(local, local)
	sim.restart(0)
	sim.ordersOnly = true
	checkShares(t, sim, "orders only, first 2 s", sim.run(2*time.Second, 300), shareRange{0, 0})
	sim.run(time.Second, 300)
	checkShares(t, sim, "orders only, then ramping up", sim.run(time.Second, 300), shareRange{0.1, 0.4})
	sim.restart(0)
	sim.ordersOnly = false
	sim.run(time.Second, 300)
	if sim.fakes[0].received[1] == 0 {
		t.Error("a target that has answered calls still gets no orders")
	}
}

// When the local data centre comes back, its share of the calls must grow
// steadily: a jump would overload targets that are still warming up.
func TestDatacentreRecoversWithoutSurge(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		sim := newSimulation(local, local, near, near)
		sim.run(2*time.Second, 1000)
		for i := range 2 {
			sim.setLinked(i, false)
		}
		checkShares(t, sim, "local data centre down", sim.run(2*time.Second, 1000), shareRange{0, 0}, shareRange{0, 0}, shareRange{0.4, 0.6})
		for i := range 2 {
			if restarted {
				sim.fakes[i].Incarnation++
			}
			sim.setLinked(i, true)
		}
		sim.setTargets()
		before := 0.0
		for second := range 12 {
			got := sim.run(time.Second, 1000)
			back := got[0] + got[1]
			if second == 0 && back > 0.3 || back < before-0.1 || back-before > 0.3 {
				t.Errorf("restarted %v, second %d: share of the local data centre went from %.2f to %.2f", restarted, second, before, back)
			}
			before = back
		}
		if before < 0.9 {
			t.Errorf("restarted %v: local data centre got %.2f after 12 s, want 0.9", restarted, before)
		}
	}
}

// Nodes that eject a target at the same time must return to it at different
// times.
func TestEjectionTimesAreSpreadOverNodes(t *testing.T) {
	var counts [10]int
	for i := range 600 {
		sim := newSimulation(local, local, local)
		sim.router.t.cfg.VM = fmt.Sprint("node", i)
		e := sim.router.t.byVM["vm0"]
		e.pool.eject(e, sim.router.clock.at(sim.now), &sim.router.t.cfg)
		delay := e.ejectedUntil.Sub(sim.router.clock.at(sim.now)) - defaultEjectBase
		counts[min(int(10*delay/(defaultEjectBase/2)), 9)]++
	}
	for i, n := range counts {
		if n < 30 || n > 90 {
			t.Errorf("%d of 600 nodes return in tenth %d of the spread, want 30 to 90", n, i)
		}
	}
}

// A target that is avoided because of an old latency must be tried again.
func TestSlowTargetIsUsedAgainAfterRecovery(t *testing.T) {
	sim := newSimulation(local, local, local)
	sim.fakes[0].latency = 500 * time.Millisecond
	sim.run(5*time.Second, 500)
	sim.fakes[0].latency = 10 * time.Millisecond
	sim.run(20*time.Second, 500)
	checkShares(t, sim, "slow, recovered for 20 s", sim.run(5*time.Second, 500), shareRange{0.2, 0.45})
}

// Only targets that fail clearly more often than the others are ejected, and at
// most half of those with links.
func TestNumberOfEjectedTargets(t *testing.T) {
	for _, c := range []struct {
		name  string
		first [4]float64 // shares of failures in the first second; fail applies later
		fail  [4]float64
		mixed bool
		want  int
	}{
		{name: "none fails"},
		{name: "one fails always", fail: [4]float64{1}, want: 1},
		{name: "one fails always, others sometimes", first: [4]float64{0.2, 0.2, 0.2, 0.2}, fail: [4]float64{1, 0.2, 0.2, 0.2}, want: 1},
		{name: "one fails three of four calls", mixed: true, want: 1},
		{name: "three of the four with links fail always", fail: [4]float64{1, 1, 1}, want: 2},
		{name: "three fail always after a while", first: [4]float64{0.2, 0.2, 0.2, 0.2}, fail: [4]float64{1, 1, 1}, want: 2},
	} {
		sim := newSimulation(local, local, local, local)
		sim.addUnlinked(4)
		for i, f := range sim.fakes[:4] {
			f.fail = c.first[i]
		}
		sim.run(time.Second, 1000)
		for i, f := range sim.fakes[:4] {
			f.fail, f.mixed = c.fail[i], c.mixed && i == 0
		}
		sim.run(5*time.Second, 1000)
		out := 0
		for _, s := range sim.router.Snapshot(sim.now) {
			if s.Status == StatusOutlier || s.Status == StatusProbing {
				out++
			}
		}
		if out != c.want {
			t.Errorf("%s: %d ejected, want %d", c.name, out, c.want)
		}
	}
}

// Ejected targets are used again if too few others are left to carry the calls.
func TestPanicModeUsesEjectedTargets(t *testing.T) {
	sim := newSimulation(local, local, local, local, local, local)
	for _, f := range sim.fakes[:3] {
		f.fail = 1
	}
	sim.run(2*time.Second, 1000)
	for i, f := range sim.fakes[:5] {
		f.fail = 0
		sim.setLinked(i, i < 3)
	}
	checkShares(t, sim, "three ejected, two more links down", sim.run(time.Second, 1000), shareRange{0.1, 0.4}, shareRange{0.1, 0.4}, shareRange{0.1, 0.4}, shareRange{0, 0}, shareRange{0, 0}, shareRange{0.2, 0.5})
}

// A target without samples is assumed to have the latency of its service;
// otherwise it would look faster than measured ones and attract the calls.
func TestUnmeasuredTargetHasLatencyOfService(t *testing.T) {
	sim := newSimulation(local, near)
	sim.setLinked(1, false)
	for _, f := range sim.fakes {
		f.latency, f.slots, f.Slots = 200*time.Millisecond, 1000, 1000
	}
	sim.setTargets()
	sim.run(5*time.Second, 1000)
	sim.setLinked(1, true)
	checkShares(t, sim, "near, never measured, first second", sim.run(time.Second, 1000), shareRange{0.95, 1})
}
