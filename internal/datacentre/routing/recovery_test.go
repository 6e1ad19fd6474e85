package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestOutlierComesBackByCallsThatAreNoOrders(t *testing.T) {
	for _, c := range []struct {
		fail  float64
		stuck bool
		most  int // calls a second to a target that is out
	}{{1, false, 20}, {0, true, 2}} {
		w := newWorld(local, local, local, local)
		w.run(time.Second, 1000)
		w.fakes[0].fail, w.fakes[0].stuck = c.fail, c.stuck
		w.run(3*time.Second, 1000)
		for range 20 {
			w.run(time.Second, 1000)
			if got := w.fakes[0].got; got[1] != 0 || got[0] > c.most {
				t.Errorf("stuck %v: a target that is out got %d calls and %d orders in a second", c.stuck, got[0], got[1])
			}
		}
		w.fakes[0].fail, w.fakes[0].stuck = 0, false
		w.run(45*time.Second, 1000)
		check(t, w, "mended, after 45 s", w.run(5*time.Second, 1000), bound{0.2, 0.3})
	}
}

func TestOutlierOfAServiceThatOnlyTakesOrdersComesBackAtItsLowestWeight(t *testing.T) {
	w := newWorld(local, local, local)
	w.ordersOnly = true
	w.fakes[0].fail = 1
	w.run(2*time.Second, 300)
	w.fakes[0].fail = 0
	check(t, w, "orders only, out", w.run(50*time.Second, 300), bound{0, 0})
	w.run(15*time.Second, 300)
	check(t, w, "orders only, back", w.run(20*time.Second, 300), bound{0.2, 0.4})
}

func TestColdRestarts(t *testing.T) {
	w := newWorld(local, local, local, local)
	w.run(2*time.Second, 1000)
	w.restart(0)
	check(t, w, "one restarted, first second", w.run(time.Second, 1000), bound{0.005, 0.1})
	w.run(10*time.Second, 1000)
	check(t, w, "one restarted, after 12 s", w.run(5*time.Second, 1000), bound{0.2, 0.3})
	for i := range w.fakes {
		w.restart(i)
	}
	fair := bound{0.2, 0.3}
	check(t, w, "all restarted, first 2 s", w.run(2*time.Second, 1000), fair, fair, fair, fair)
}

func TestOrdersWaitForAColdTargetToWarmUp(t *testing.T) {
	w := newWorld(local, local)
	w.restart(0)
	w.ordersOnly = true
	check(t, w, "orders only, first 2 s", w.run(2*time.Second, 300), bound{0, 0})
	w.run(time.Second, 300)
	check(t, w, "orders only, then ramping up", w.run(time.Second, 300), bound{0.1, 0.4})
	w.restart(0)
	w.ordersOnly = false
	w.run(time.Second, 300)
	if w.fakes[0].got[1] == 0 {
		t.Error("a target that has answered calls still gets no orders")
	}
}

func TestDataCentreOutAndBackWithoutAWave(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		w := newWorld(local, local, near, near)
		w.run(2*time.Second, 1000)
		for i := range 2 {
			w.link(i, false)
		}
		check(t, w, "own data centre out", w.run(2*time.Second, 1000), bound{0, 0}, bound{0, 0}, bound{0.4, 0.6})
		for i := range 2 {
			if restarted {
				w.fakes[i].Incarnation++
			}
			w.link(i, true)
		}
		w.adopt()
		before := 0.0
		for second := range 12 {
			got := w.run(time.Second, 1000)
			back := got[0] + got[1]
			if second == 0 && back > 0.3 || back < before-0.1 || back-before > 0.3 {
				t.Errorf("restarted %v, second %d: share of the own data centre went from %.2f to %.2f", restarted, second, before, back)
			}
			before = back
		}
		if before < 0.9 {
			t.Errorf("restarted %v: own data centre got %.2f after 12 s, want 0.9", restarted, before)
		}
	}
}

func TestNodesDoNotComeBackToAnOutlierTogether(t *testing.T) {
	var tenths [10]int
	for i := range 600 {
		w := newWorld(local, local, local)
		w.router.t.cfg.VM = fmt.Sprint("node", i)
		e := w.router.t.byVM["vm0"]
		e.pool.eject(e, w.router.clock.at(w.now), &w.router.t.cfg)
		late := e.outUntil.Sub(w.router.clock.at(w.now)) - defaultEjectBase
		tenths[min(int(10*late/(defaultEjectBase/2)), 9)]++
	}
	for i, n := range tenths {
		if n < 30 || n > 90 {
			t.Errorf("%d of 600 nodes come back in tenth %d of the spread", n, i)
		}
	}
}

func TestSlowTargetIsTriedAgainWhenItIsQuick(t *testing.T) {
	w := newWorld(local, local, local)
	w.fakes[0].latency = 500 * time.Millisecond
	w.run(5*time.Second, 500)
	w.fakes[0].latency = 10 * time.Millisecond
	w.run(20*time.Second, 500)
	check(t, w, "slow, mended for 20 s", w.run(5*time.Second, 500), bound{0.2, 0.45})
}

func TestHowManyAreOut(t *testing.T) {
	for _, c := range []struct {
		name  string
		first [4]float64 // shares of failures in the first second, and then
		fail  [4]float64
		mixed bool
		want  int
	}{
		{name: "none fails"},
		{name: "one dead", fail: [4]float64{1}, want: 1},
		{name: "one dead, others fail now and then", first: [4]float64{0.2, 0.2, 0.2, 0.2}, fail: [4]float64{1, 0.2, 0.2, 0.2}, want: 1},
		{name: "one fails three in four, in turn", mixed: true, want: 1},
		{name: "three of the four with links dead", fail: [4]float64{1, 1, 1}, want: 2},
		{name: "three dead after a while", first: [4]float64{0.2, 0.2, 0.2, 0.2}, fail: [4]float64{1, 1, 1}, want: 2},
	} {
		w := newWorld(local, local, local, local)
		w.unlinked(4)
		for i, f := range w.fakes[:4] {
			f.fail = c.first[i]
		}
		w.run(time.Second, 1000)
		for i, f := range w.fakes[:4] {
			f.fail, f.mixed = c.fail[i], c.mixed && i == 0
		}
		w.run(5*time.Second, 1000)
		out := 0
		for _, s := range w.router.Snapshot(w.now) {
			if s.Status == StatusOutlier || s.Status == StatusProbing {
				out++
			}
		}
		if out != c.want {
			t.Errorf("%s: %d are out, want %d", c.name, out, c.want)
		}
	}
}

func TestOutliersAreUsedWhereTooFewOthersAreLeft(t *testing.T) {
	w := newWorld(local, local, local, local, local, local)
	for _, f := range w.fakes[:3] {
		f.fail = 1
	}
	w.run(2*time.Second, 1000)
	for i, f := range w.fakes[:5] {
		f.fail = 0
		w.link(i, i < 3)
	}
	check(t, w, "three out, two more silent", w.run(time.Second, 1000), bound{0.1, 0.4}, bound{0.1, 0.4}, bound{0.1, 0.4}, bound{0, 0}, bound{0, 0}, bound{0.2, 0.5})
}

func TestUnknownLatencyCountsAsThatOfTheService(t *testing.T) {
	w := newWorld(local, near)
	w.link(1, false)
	for _, f := range w.fakes {
		f.latency, f.slots, f.Slots = 200*time.Millisecond, 1000, 1000
	}
	w.adopt()
	w.run(5*time.Second, 1000)
	w.link(1, true)
	check(t, w, "near, never measured, first second", w.run(time.Second, 1000), bound{0.95, 1})
}
