package sidecar

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"heathershed/internal/platform/fake"
	"heathershed/internal/soak"
	"heathershed/platform"
	"heathershed/platform/platformtest"
)

// waysToLeave are how an upstream tells that it takes no more requests.
var waysToLeave = []struct {
	name  string
	leave func(near, far *vm)
}{
	{"deregisters", func(_, far *vm) { far.deregister() }},
	{"drains", func(_, far *vm) { far.heartbeat("far", "draining") }},
	{"drains and deregisters", func(_, far *vm) { far.heartbeat("far", "draining"); far.deregister() }},
	{"says so in an answer", func(near, far *vm) {
		newTalker(far.up).say(platformtest.HeaderLeaving, "1")
		near.request("GET", "/far/1", nil)
		near.tc.waitFor("the leaving is stored", func() bool { return far.leavingStored() })
	}},
}

// leavingStored reports whether the record of the node says that its upstream leaves.
func (m *vm) leavingStored() bool {
	m.tc.t.Helper()
	o, err := platform.NewObjectClient(m.tc.address).Get(m.tc.t.Context(), recordKind, m.cfg.VM)
	if err != nil {
		return false
	}
	r, err := decodeRecord(o)
	return err == nil && r.Instance == m.up.id && r.Leaving
}

// restart stops the node and starts it again.
func (m *vm) restart() {
	m.halt()
	m.run()
	m.tc.waitFor("the node takes heartbeats", func() bool { return dials(m.cfg.Heartbeats) })
}

// TestUpstreamThatLeavesGetsNothingAfterRestartsOfItsNode guards against a restarted
// node that takes an upstream for ready which has told the node before that it leaves.
func TestUpstreamThatLeavesGetsNothingAfterRestartsOfItsNode(t *testing.T) {
	t.Parallel()
	restarts := map[string]func(near, far *vm){
		"restart":                 func(_, far *vm) { far.restart() },
		"two restarts":            func(_, far *vm) { far.restart(); far.tc.waitFor("ready", far.ready); far.restart() },
		"restart of all nodes":    func(near, far *vm) { near.halt(); far.restart(); near.run() },
		"restart of the caller's": func(near, _ *vm) { near.restart() },
	}
	for _, way := range waysToLeave {
		for name, restart := range restarts {
			for _, late := range []bool{false, true} {
				t.Run(fmt.Sprint(way.name, ", ", name, ", late heartbeat: ", late), func(t *testing.T) {
					t.Parallel()
					tc, near, far := startPair(t)
					far.seq++ // that of the heartbeat which arrives late
					before := far.seq
					way.leave(near, far)
					restart(near, far)
					tc.waitFor("both ready", func() bool { return near.ready() && far.ready() })
					if late {
						far.heartbeatAs("far", "ready", before)
					}
					ran := far.up.ran.Load()
					askBoth(t, 600*time.Millisecond, near, far)
					if got := far.up.ran.Load() - ran; got > 0 {
						t.Errorf("%d requests ran at an upstream that leaves, want none", got)
					}
				})
			}
		}
	}
}

// TestLeavingIsStoredBeforeItIsAcknowledged guards against a leaving that a node
// which is killed right after its acknowledgement has told nobody.
func TestLeavingIsStoredBeforeItIsAcknowledged(t *testing.T) {
	t.Parallel()
	for _, way := range waysToLeave {
		t.Run(way.name, func(t *testing.T) {
			t.Parallel()
			_, near, far := startPair(t)
			if way.leave(near, far); !far.leavingStored() {
				t.Error("the leaving was acknowledged, but the record does not say it")
			}
		})
	}
}

// TestLeavingIsAcknowledgedAndKeptWhileTheStoreIsInTrouble guards against a leaving that
// is not acknowledged in a second, or forgotten in a restart, since it can't be stored.
func TestLeavingIsAcknowledgedAndKeptWhileTheStoreIsInTrouble(t *testing.T) {
	t.Parallel()
	// knownWithin counts from the late heartbeat; it is the time in which a leaving
	// holds everywhere.
	const ackWithin, knownWithin = time.Second, 2 * time.Second
	for _, trouble := range storeTroubles {
		for _, back := range []bool{false, true} {
			t.Run(fmt.Sprint(trouble.name, ", store back at the restart: ", back), func(t *testing.T) {
				t.Parallel()
				tc, near, far := startBesideTrouble(t, trouble.begin)
				far.seq++
				began := time.Now()
				far.deregister()
				if took := time.Since(began); took > ackWithin {
					t.Errorf("acknowledged after %v, want at most %v", took, ackWithin)
				}
				if back {
					tc.store.SetFaults(fake.Faults{})
					far.storeProxy.SetMode(soak.ModePass)
				}
				far.restart()
				tc.waitFor("linked again", func() bool { return near.linkedTo(far) && far.linkedTo(near) })
				arrived := time.Now()
				far.heartbeatAs("far", "ready", far.seq)
				tc.waitFor("the leaving is known again", func() bool { return !far.node.target.state().Ready })
				if took := time.Since(arrived); took > knownWithin {
					t.Errorf("known again %v after the late heartbeat, want at most %v", took, knownWithin)
				}
				ran := far.up.ran.Load()
				askBoth(t, 600*time.Millisecond, near, far)
				if got := far.up.ran.Load() - ran; got > 0 {
					t.Errorf("%d requests ran at an upstream that has deregistered, want none", got)
				}
			})
		}
	}
}

// TestLeavingInstanceIsNotChecked guards against health checks of an instance whose answer
// can't change anything.
func TestLeavingInstanceIsNotChecked(t *testing.T) {
	t.Parallel()
	const healthPath = "/health"
	tc, near, far := startPair(t)
	tc.writeConfig(platformtest.ConfigWithHealth(2, healthPath, "near", "far"))
	tc.waitFor("the configuration is active", func() bool { return far.node.table.Load().Version == 2 })
	var checks atomic.Int64
	far.up.setHealth(healthPath, func(http.ResponseWriter, *http.Request) { checks.Add(1) })
	far.deregister()
	far.restart()
	tc.waitFor("the record is read", func() bool { return far.ready() && far.node.target.state().Expected })
	askBoth(t, 600*time.Millisecond, near, far)
	if got := checks.Load(); got > 0 {
		t.Errorf("%d health checks of an instance that leaves, want none", got)
	}
}

// linkedTo reports whether the node has a session with another one.
func (m *vm) linkedTo(other *vm) bool {
	for _, s := range m.node.peers.openSessions() {
		if s.Peer().VM == other.cfg.VM {
			return true
		}
	}
	return false
}

// TestRestoredUpstreamServesOnlyOnceItHasSpoken guards against a node that believes its
// record, which may be older than the upstream's leaving, without hearing the upstream.
func TestRestoredUpstreamServesOnlyOnceItHasSpoken(t *testing.T) {
	t.Parallel()
	const healthPath, anotherInstance, nextID = "/health", "another instance", "i-next"
	cases := []struct {
		name   string
		health http.HandlerFunc
		serves bool
	}{
		{"healthy", func(http.ResponseWriter, *http.Request) {}, true},
		{"leaves", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusServiceUnavailable) }, false},
		{anotherInstance, func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set(platformtest.HeaderInstance, nextID) }, false},
		{"names no instance", func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Del(platformtest.HeaderInstance) }, false},
		{"rejects the check", func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set(platformtest.HeaderNotExecuted, "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			tc, near, far := startPair(t)
			tc.writeConfig(platformtest.ConfigWithHealth(2, healthPath, "near", "far"))
			tc.waitFor("the configuration is active", func() bool { return far.node.table.Load().Version == 2 })
			far.up.setHealth(healthPath, c.health)
			far.restart()
			tc.waitFor("linked again", func() bool { return far.ready() && near.linkedTo(far) })
			served := func() bool { return near.request("GET", "/far/1", nil).status == http.StatusOK }
			if c.serves {
				tc.waitFor("served without a heartbeat", served)
				return
			}
			ran := far.up.ran.Load()
			askBoth(t, 600*time.Millisecond, near, far)
			if got := far.up.ran.Load() - ran; got > 0 {
				t.Errorf("%d requests ran at an upstream that has not said that it takes any, want none", got)
			}
			if c.name == anotherInstance {
				far.up.setID(nextID)
			}
			far.heartbeat("far", "ready")
			tc.waitFor("served after a heartbeat", served)
		})
	}
}
