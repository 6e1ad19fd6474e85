package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"heathershed/platform/platformtest"
)

// limitedConfig returns a configuration in which workspace w has key k1 and a limit, and
// workspace free has key k2 and none.
func limitedConfig(version int, rate, burst float64, services ...string) string {
	config := platformtest.WithWorkspaces(platformtest.Config(version, services...), map[string][]string{"w": {"k1"}, "free": {"k2"}}, "")
	return strings.Replace(config, `"spec":{"apiKeys":["k1"]`, fmt.Sprintf(`"spec":{"ratePerS":%g,"burst":%g,"apiKeys":["k1"]`, rate, burst), 1)
}

// startLimited starts nodes with an upstream of service "near" beside each, in which
// limits hold over 2 s, and waits until all are ready.
func (tc *testCluster) startLimited(count int) []*vm {
	tc.t.Helper()
	nodes := make([]*vm, count)
	for i := range nodes {
		m := tc.prepare("near", "west")
		m.cfg.QuotaWindow, m.cfg.QuotaOverage, m.cfg.QuotaSlack = 2*time.Second, 0.1, 20
		m.run()
		tc.t.Cleanup(m.halt)
		nodes[i] = m
	}
	for _, m := range nodes {
		tc.waitFor("ready", m.ready)
		m.heartbeat("near", "ready")
	}
	for _, m := range nodes {
		tc.waitFor("tokens", m.node.quotas.settled)
	}
	return nodes
}

// burstOf sends requests in pace from all nodes in turn, and returns the answers by
// status.
func burstOf(nodes []*vm, key string, count int, pace time.Duration) map[int]int {
	var mu sync.Mutex
	var group sync.WaitGroup
	statuses := make(map[int]int)
	for i := range count {
		group.Go(func() {
			a := nodes[i%len(nodes)].requestWith(bearer(key), requestLeft, "GET", "/near/1", nil)
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
			if a.status == http.StatusTooManyRequests && a.retryAfter == "" {
				statuses[-1]++
			}
		})
		time.Sleep(pace)
	}
	group.Wait()
	return statuses
}

// Guards against a limit that each node enforces for itself, one that rejects requests
// of a workspace below it, and one that also applies to other workspaces.
func TestLimitHoldsOverAllNodes(t *testing.T) {
	const rate, burst = 20, 10
	tc := newTestCluster(t)
	tc.writeConfig(limitedConfig(1, rate, burst, "near"))
	nodes := tc.startLimited(4)
	for _, m := range nodes {
		m.waitServingKey("/near/1", "k2")
	}
	if got := burstOf(nodes, "k1", 40, 100*time.Millisecond); got[200] != 40 {
		t.Errorf("half of the limit: got %v by status, want 40 times 200", got)
	}

	began := time.Now()
	got := burstOf(nodes, "k1", 400, 10*time.Millisecond)
	took := time.Since(began).Seconds()
	most := rate*took*1.1 + burst*1.1 + 20
	if float64(got[200]) > most || float64(got[200]) < 0.8*rate*took || got[200]+got[429] != 400 || got[-1] > 0 {
		t.Errorf("five times the limit in %.1f s: got %v by status (-1: without Retry-After), want %v to %v times 200 and else 429", took, got, 0.8*rate*took, most)
	}
	if got := burstOf(nodes, "k2", 100, 10*time.Millisecond); got[429] > 0 {
		t.Errorf("workspace without a limit: got %v by status", got)
	}
	if !strings.Contains(tc.logs.String(), "workspace at its limit") {
		t.Error("no line says that the workspace reached its limit")
	}

	tc.writeConfig(limitedConfig(2, 1, 0, "near"))
	tc.waitFor("version 2 active", func() bool {
		for _, m := range nodes {
			if m.node.table.Load().Version != 2 {
				return false
			}
		}
		return true
	})
	time.Sleep(2 * time.Second)
	if got := burstOf(nodes, "k1", 100, 10*time.Millisecond); got[200] > 23 {
		t.Errorf("lowered limit: got %v by status, want at most 23 times 200", got)
	}
}

// Guards against a workspace that gets nothing after one of the nodes has stopped, which
// may own it.
func TestLimitIsAvailableAfterANodeStops(t *testing.T) {
	tc := newTestCluster(t)
	tc.writeConfig(limitedConfig(1, 100, 20, "near"))
	nodes := tc.startLimited(4)
	nodes[0].waitServingKey("/near/1", "k1")
	for _, m := range nodes[1:] {
		rest := make([]*vm, 0, len(nodes))
		for _, other := range nodes {
			if other != m {
				rest = append(rest, other)
			}
		}
		m.halt()
		time.Sleep(2 * time.Second)
		if got := burstOf(rest, "k1", 30, 30*time.Millisecond); got[429] > 0 {
			t.Errorf("%s stopped: got %v by status, want no 429", m.cfg.VM, got)
		}
		m.run()
		tc.waitFor("ready again", m.ready)
		m.heartbeat("near", "ready")
	}
}

// Guards against retries that run beyond the limit.
func TestRetriesCountAgainstTheLimit(t *testing.T) {
	tc := newTestCluster(t)
	tc.writeConfig(limitedConfig(1, 10, 0, "near"))
	nodes := tc.startLimited(2)
	for _, m := range nodes {
		m.waitServingKey("/near/1", "k2")
		m.up.set(func(rw http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) })
	}
	ran := nodes[0].up.ran.Load() + nodes[1].up.ran.Load()
	began := time.Now()
	burstOf(nodes, "k1", 200, 10*time.Millisecond)
	most := 10*time.Since(began).Seconds()*1.1 + 20
	if got := nodes[0].up.ran.Load() + nodes[1].up.ran.Load() - ran; float64(got) > most {
		t.Errorf("got %d attempts at upstreams, want at most %v", got, most)
	}
}

// Guards against a node that spends the whole limit after it has lost the others.
func TestNodeAloneHasOnlyItsShare(t *testing.T) {
	const rate = 60
	tc := newTestCluster(t)
	tc.writeConfig(limitedConfig(1, rate, 0, "near"))
	nodes := tc.startLimited(3)
	nodes[0].waitServingKey("/near/1", "k1")
	nodes[1].halt()
	nodes[2].halt()
	time.Sleep(3 * time.Second)
	began := time.Now()
	got := burstOf(nodes[:1], "k1", 300, 15*time.Millisecond)
	share := rate / 3 * time.Since(began).Seconds()
	if float64(got[200]) > 1.1*share+20 || float64(got[200]) < 0.7*share {
		t.Errorf("got %v by status at one of three nodes, want %v to %v times 200", got, 0.7*share, 1.1*share+20)
	}
}
