package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"heathershed/platform/platformtest"
)

// callerNames collects the caller services of the requests at an upstream.
type callerNames struct {
	mu    sync.Mutex
	names map[string]int
}

func (c *callerNames) serve(rw http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	c.names[r.Header.Get(platformtest.HeaderCaller)]++
	c.mu.Unlock()
	_, _ = io.WriteString(rw, "complete answer")
}

func (c *callerNames) only(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.names) == 1 && c.names[name] > 0
}

// TestHeartbeatOfAnotherServiceDoesNotChangeTheCaller guards against requests that run
// under the service that a heartbeat of another writer, or a late one of an earlier
// upstream of another service, has named.
func TestHeartbeatOfAnotherServiceDoesNotChangeTheCaller(t *testing.T) {
	for _, service := range []string{"unnamed", "far"} {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			_, near, far := startPair(t)
			seen := &callerNames{names: make(map[string]int)}
			far.up.set(seen.serve)
			body := platformtest.WithBorn(platformtest.Heartbeat(service, near.up.address, "ready", 1), time.Now().UnixMilli())
			if status := near.post(platformtest.HeartbeatPath("i-other"), body); status != http.StatusBadRequest {
				t.Errorf("heartbeat of service %s: got status %d, want 400", service, status)
			}
			for range 5 {
				if a := near.request("POST", "/far-order/1", nil); a.status != http.StatusOK {
					t.Errorf("order: got status %d, want 200", a.status)
				}
				if a := far.request("GET", "/near/1", nil); a.status != http.StatusOK {
					t.Errorf("request to the upstream's own service: got status %d, want 200", a.status)
				}
			}
			if !seen.only("near") {
				t.Errorf("requests ran under the services %v, want near", seen.names)
			}
		})
	}
}

// TestIncompleteHeartbeatDoesNotEndADrain guards against heartbeats of another writer
// without all fields that end a drain which was acknowledged.
func TestIncompleteHeartbeatDoesNotEndADrain(t *testing.T) {
	t.Parallel()
	_, near, far := startPair(t)
	far.heartbeat("far", "draining")
	ran := far.up.ran.Load()
	complete := platformtest.Heartbeat("far", far.up.address, "ready", 1000)
	for _, field := range []string{`"zone":"west",`, `"version":"v1",`, `"warmupLeft":"0ms",`, `"capacity":4,`} {
		if status := far.post(platformtest.HeartbeatPath(far.up.id), strings.Replace(complete, field, "", 1)); status != http.StatusBadRequest {
			t.Errorf("heartbeat without %s: got status %d, want 400", field, status)
		}
		if a := near.request("POST", "/far-order/1", nil); a.status != http.StatusServiceUnavailable {
			t.Errorf("after a heartbeat without %s: got status %d, want 503", field, a.status)
		}
	}
	if got := far.up.ran.Load(); got != ran {
		t.Errorf("%d requests reached an upstream that drains, want none", got-ran)
	}
}

// TestUpstreamSaysWhichInstanceItIs guards against an upstream that is ignored for good
// after another writer has named a later start at its address.
func TestUpstreamSaysWhichInstanceItIs(t *testing.T) {
	const healthPath = "/health"
	t.Parallel()
	tc, near, far := startPair(t)
	tc.writeConfig(platformtest.ConfigWithHealth(2, healthPath, "near", "far"))
	far.up.setHealth(healthPath, func(http.ResponseWriter, *http.Request) {})
	tc.waitFor("the health path is known", func() bool { return far.node.table.Load().Service("far").HealthPath == healthPath })
	started := time.Now().UnixMilli()
	beat := func() int {
		far.seq++
		body := platformtest.WithBorn(platformtest.Heartbeat("far", far.up.address, "ready", far.seq), started)
		return far.post(platformtest.HeartbeatPath(far.up.id), body)
	}
	beat()
	far.tell(platformtest.HeartbeatPath("i-other"), platformtest.WithBorn(platformtest.Heartbeat("far", far.up.address, "ready", 1), started+1))
	if status := beat(); status != http.StatusServiceUnavailable {
		t.Errorf("heartbeat of the earlier start: got status %d, want 503", status)
	}
	tc.waitFor("the upstream's heartbeats are acknowledged", func() bool { return beat() == http.StatusOK })
	near.waitServing("/far/1")
}

// TestLateDeregistrationDoesNotEndALaterStart guards against a deregistration of an
// earlier start that ends the later one under the same id.
func TestLateDeregistrationDoesNotEndALaterStart(t *testing.T) {
	t.Parallel()
	_, near, far := startPair(t)
	started := time.Now().UnixMilli()
	for _, born := range []int64{started - 5000, started} {
		far.seq++
		far.tell(platformtest.HeartbeatPath(far.up.id), platformtest.WithBorn(platformtest.Heartbeat("far", far.up.address, "ready", far.seq), born))
	}
	far.tell(platformtest.DeregisterPath(far.up.id), fmt.Sprintf(`{"born":%d}`, started-5000))
	if a := near.request("GET", "/far/1", nil); a.status != http.StatusOK {
		t.Errorf("after a late deregistration of the earlier start: got status %d, want 200", a.status)
	}
	far.tell(platformtest.DeregisterPath(far.up.id), fmt.Sprintf(`{"born":%d}`, started))
	if a := near.request("GET", "/far/1", nil); a.status != http.StatusServiceUnavailable {
		t.Errorf("after its own deregistration: got status %d, want 503", a.status)
	}
	if status := far.post(platformtest.DeregisterPath(far.up.id), "{"); status != http.StatusBadRequest {
		t.Errorf("deregistration that can't be read: got status %d, want 400", status)
	}
}
