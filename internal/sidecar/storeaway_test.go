package sidecar

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"heathershed/internal/platform/fake"
	"heathershed/internal/soak"
)

// storeTroubles are what the object API can do to two nodes that run. The third node
// is one that it turns away.
var storeTroubles = []struct {
	name  string
	begin func(tc *testCluster, turnedAway *vm)
}{
	{"down", func(tc *testCluster, _ *vm) { tc.store.SetFaults(fake.Faults{Down: true}) }},
	{"slow", func(tc *testCluster, _ *vm) { tc.store.SetFaults(fake.Faults{Latency: 700 * time.Millisecond}) }},
	{"answers lost", func(tc *testCluster, _ *vm) {
		tc.store.SetFaults(fake.Faults{LostAnswer: 0.5, DelayedWrite: 0.3, WriteDelay: time.Second})
	}},
	{"silent for one node", func(_ *testCluster, m *vm) { m.storeProxy.SetMode(soak.ModeBlackholeOut) }},
	{"resets one node", func(_ *testCluster, m *vm) { m.storeProxy.SetMode(soak.ModeReset) }},
	{"history gone", func(tc *testCluster, _ *vm) { tc.store.Compact() }},
}

// startBesideTrouble starts two nodes and lets a trouble of the store begin for the
// one named "far".
func startBesideTrouble(t *testing.T, begin func(*testCluster, *vm)) (tc *testCluster, near, far *vm) {
	t.Helper()
	tc = newTestCluster(t)
	tc.configure(1, "near", "far")
	near = tc.start("near")
	far, _ = tc.startBehindProxies("far")
	tc.waitFor("both ready", func() bool { return near.ready() && far.ready() })
	near.heartbeat("near", "ready")
	far.heartbeat("far", "ready")
	near.waitServing("/far/1")
	begin(tc, far)
	t.Cleanup(func() { tc.store.SetFaults(fake.Faults{}) })
	return tc, near, far
}

// askBoth sends requests for the service "far" at both nodes for a while. It reports
// each answer that is neither complete nor "not run".
func askBoth(t *testing.T, length time.Duration, near, far *vm) {
	var all sync.WaitGroup
	for _, m := range []*vm{near, far} {
		for _, request := range [][2]string{{"GET", "/far/1"}, {"POST", "/far-order/1"}} {
			all.Go(func() {
				for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					a := m.request(request[0], request[1], nil)
					served := a.status == http.StatusOK && a.body == "complete answer"
					notRun := a.status == http.StatusServiceUnavailable && a.retryAfter != ""
					if !served && !notRun {
						t.Errorf("%s %s at %s: got status %d, err %v; want a complete answer, or 503 with Retry-After", request[0], request[1], m.cfg.VM, a.status, a.err)
					}
				}
			})
		}
	}
	all.Wait()
}

// TestDrainIsKeptWhileTheStoreIsInTrouble guards against a node that sends requests
// to an upstream whose leaving it has acknowledged, also after its restart.
func TestDrainIsKeptWhileTheStoreIsInTrouble(t *testing.T) {
	t.Parallel()
	for _, trouble := range storeTroubles {
		for _, restart := range []bool{false, true} {
			t.Run(fmt.Sprint(trouble.name, ", node restarts: ", restart), func(t *testing.T) {
				t.Parallel()
				tc, near, far := startBesideTrouble(t, trouble.begin)
				far.heartbeat("far", "draining")
				if restart {
					far.halt()
					far.run()
					tc.waitFor("the node takes heartbeats", func() bool { return dials(far.cfg.Heartbeats) })
					far.heartbeat("far", "draining")
				}
				before := far.up.ran.Load()
				askBoth(t, 600*time.Millisecond, near, far)
				if got := far.up.ran.Load() - before; got > 0 {
					t.Errorf("%d requests ran at the upstream after its leaving was acknowledged, want none", got)
				}
			})
		}
	}
}

// TestPlannedWorkCutsNothingWhileTheStoreIsInTrouble guards against requests that are
// cut by a planned stop, a reload or a release because the store is in trouble too.
func TestPlannedWorkCutsNothingWhileTheStoreIsInTrouble(t *testing.T) {
	t.Parallel()
	work := []struct {
		name string
		do   func(far *vm)
	}{
		{"planned stop", func(far *vm) { far.stopWithinGrace() }},
		{"reload", func(far *vm) {
			next := *far.cfg
			next.RetrySlack = 10
			far.node.Apply(&next)
		}},
		{"release", func(far *vm) {
			far.heartbeat("far", "draining")
			time.Sleep(200 * time.Millisecond)
			far.up.replace()
			far.heartbeat("far", "ready")
		}},
	}
	for _, trouble := range storeTroubles {
		for _, w := range work {
			t.Run(trouble.name+", "+w.name, func(t *testing.T) {
				t.Parallel()
				_, near, far := startBesideTrouble(t, trouble.begin)
				var all sync.WaitGroup
				all.Go(func() { askBoth(t, 600*time.Millisecond, near, near) })
				time.Sleep(100 * time.Millisecond)
				w.do(far)
				all.Wait()
			})
		}
	}
}
