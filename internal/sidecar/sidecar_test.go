package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"heathershed/internal/platform/fake"
	"heathershed/platform/platformtest"
)

// startPair starts two nodes of the services "near" and "far" and waits until
// they serve each other's requests.
func startPair(t *testing.T) (tc *testCluster, near, far *vm) {
	t.Helper()
	tc = newTestCluster(t)
	tc.configure(1, "near", "far")
	near, far = tc.start("near"), tc.start("far")
	tc.waitFor("both ready", func() bool { return near.ready() && far.ready() })
	near.heartbeat("near", "ready")
	far.heartbeat("far", "ready")
	near.waitServing("/near/1")
	near.waitServing("/far/1")
	far.waitServing("/near/1")
	return tc, near, far
}

func TestRequestOverLinkIsServedComplete(t *testing.T) {
	t.Parallel()
	_, near, far := startPair(t)
	var path, caller, instance string
	far.up.set(func(rw http.ResponseWriter, r *http.Request) {
		path, caller, instance = r.RequestURI, r.Header.Get(platformtest.HeaderCaller), r.Header.Get(platformtest.HeaderExpected)
		_, _ = io.WriteString(rw, strings.Repeat("x", 300_000))
	})
	a := near.request("GET", "/far//a%2Fb/?q=1&q=2", nil)
	if a.status != http.StatusOK || len(a.body) != 300_000 || a.seal != "seal-"+far.up.id {
		t.Fatalf("got status %d, %d bytes, seal %q, err %v; want 200 with the complete body and the upstream's seal", a.status, len(a.body), a.seal, a.err)
	}
	if path != "/far//a%2Fb/?q=1&q=2" || caller != "near" || instance != far.up.id {
		t.Fatalf("upstream got path %q, caller %q, expected instance %q; want them unchanged", path, caller, instance)
	}
}

func TestLocalReplies(t *testing.T) {
	t.Parallel()
	_, near, _ := startPair(t)
	cases := []struct {
		name, method, path string
		body               int
		status             int
	}{
		{"unknown route", "GET", "/nowhere/", 0, http.StatusNotFound},
		{"body over the limit", "POST", "/near/", 1001, http.StatusRequestEntityTooLarge},
		{"body at the limit", "POST", "/near/", 1000, http.StatusOK},
	}
	for _, c := range cases {
		before := near.up.ran.Load()
		a := near.request(c.method, c.path, make([]byte, c.body))
		ran := near.up.ran.Load() > before
		if a.status != c.status || ran != (c.status == http.StatusOK) {
			t.Errorf("%s: got status %d, ran %v, want status %d", c.name, a.status, ran, c.status)
		}
	}
}

func TestOrderThatMayHaveRunIsNotRetried(t *testing.T) {
	t.Parallel()
	_, near, far := startPair(t)
	before := far.up.ran.Load()
	far.up.set(func(rw http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) })
	a := near.request("POST", "/far-order/1", []byte("order"))
	if a.status != http.StatusBadGateway || a.retryAfter != "" {
		t.Fatalf("got status %d with Retry-After %q, want 502 without Retry-After", a.status, a.retryAfter)
	}
	if ran := far.up.ran.Load() - before; ran != 1 {
		t.Fatalf("the order ran %d times, want once", ran)
	}
}

func TestStatusImplyingNotRunIsReplacedForOrder(t *testing.T) {
	t.Parallel()
	_, near, far := startPair(t)
	far.up.set(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusServiceUnavailable) })
	if a := near.request("POST", "/far-order/1", nil); a.status != http.StatusBadGateway || a.seal != "" {
		t.Fatalf("order: got status %d, seal %q; want 502 without the upstream's seal", a.status, a.seal)
	}
	if a := near.request("GET", "/far/1", nil); a.status != http.StatusServiceUnavailable || a.seal == "" {
		t.Fatalf("lookup: got status %d, seal %q; want the upstream's answer unchanged", a.status, a.seal)
	}
}

func TestRejectedOrderIsAnsweredNotRunWithRetryAfter(t *testing.T) {
	t.Parallel()
	_, near, far := startPair(t)
	far.up.set(func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(platformtest.HeaderNotExecuted, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	})
	if a := near.request("POST", "/far-order/1", nil); a.status != http.StatusServiceUnavailable || a.retryAfter == "" || a.seal != "" {
		t.Fatalf("got status %d, Retry-After %q, seal %q; want 503 with Retry-After and without a seal", a.status, a.retryAfter, a.seal)
	}
}

func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	t.Parallel()
	tc, near, far := startPair(t)
	far.heartbeat("far", "draining")
	ran := far.up.ran.Load()
	for range 5 {
		if a := near.request("GET", "/far/1", nil); a.status != http.StatusServiceUnavailable {
			t.Fatalf("got status %d after the draining heartbeat was acknowledged, want 503", a.status)
		}
	}
	if far.up.ran.Load() != ran {
		t.Fatal("a draining upstream got work after its heartbeat was acknowledged")
	}
	far.heartbeat("far", "ready")
	tc.waitFor("served again", func() bool { return near.request("GET", "/far/1", nil).status == http.StatusOK })
}

func TestUpstreamReplacedAtSameAddress(t *testing.T) {
	t.Parallel()
	tc, near, far := startPair(t)
	ran := far.up.ran.Load()
	far.up.id = "i-new" // the upstream was replaced and has not sent a heartbeat yet
	if a := near.request("POST", "/far-order/1", nil); a.status != http.StatusServiceUnavailable {
		t.Fatalf("got status %d, want 503 for a request that has not run", a.status)
	}
	if far.up.ran.Load() != ran {
		t.Fatal("a request ran on an instance that it was not sent to")
	}
	far.heartbeat("far", "ready") // the new instance
	tc.waitFor("the new instance is served", func() bool {
		return near.request("GET", "/far/1", nil).status == http.StatusOK
	})
	if got := far.up.ran.Load(); got != ran+1 {
		t.Fatalf("%d requests ran on the new instance, want 1", got-ran)
	}
}

func TestClientDisconnectCancelsLookup(t *testing.T) {
	t.Parallel()
	tc, near, far := startPair(t)
	began, ended := make(chan struct{}), make(chan struct{})
	far.up.set(func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(ended)
	})
	conn := dial(t, near.cfg.Clients)
	_, _ = io.WriteString(conn, "GET /far/1 HTTP/1.1\r\nHost: h\r\n"+platformtest.HeaderAttempt+": leaving\r\n\r\n")
	<-began
	closed := time.Now()
	_ = conn.Close()
	tc.waitFor("the upstream's request ends", func() bool {
		select {
		case <-ended:
			return true
		default:
			return false
		}
	})
	if took := time.Since(closed); took > 500*time.Millisecond {
		t.Fatalf("the upstream's request went on for %v after the client had disconnected", took)
	}
}

func TestGracefulShutdownCompletesOrderInFlight(t *testing.T) {
	t.Parallel()
	tc, near, far := startPair(t)
	release := make(chan struct{})
	far.up.set(func(rw http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(rw, "complete answer")
	})
	got := make(chan answer, 1)
	began := far.up.ran.Load()
	go func() { got <- near.request("POST", "/far-order/1", nil) }()
	tc.waitFor("the order runs", func() bool { return far.up.ran.Load() > began })
	near.stop()
	far.stop()
	tc.waitFor("not ready", func() bool { return !near.ready() && !far.ready() })
	time.Sleep(200 * time.Millisecond)
	close(release)
	if a := <-got; a.status != http.StatusOK || a.body != "complete answer" {
		t.Fatalf("order in flight: got status %d, body %q, err %v; want the complete answer", a.status, a.body, a.err)
	}
}

func TestRestartWhileTheStoreIsDown(t *testing.T) {
	t.Parallel()
	tc, near, far := startPair(t)
	tc.store.SetFaults(fake.Faults{Down: true})
	near.halt()
	near.run()
	tc.waitFor("ready with the configuration of another node", near.ready)
	near.waitServing("/far/1")
	near.heartbeat("near", "ready")
	far.waitServing("/near/1")
}

func TestNewerConfigurationBecomesActiveAndStays(t *testing.T) {
	t.Parallel()
	tc, near, far := startPair(t)
	tc.configure(5, "near", "far", "added")
	added := func(m *vm) int { return m.request("GET", "/added/1", nil).status }
	for _, m := range []*vm{near, far} {
		tc.waitFor("the new route is active", func() bool { return added(m) == http.StatusServiceUnavailable })
	}
	tc.configure(4, "near", "far") // an older version that arrives late
	time.Sleep(300 * time.Millisecond)
	if got := added(near); got != http.StatusServiceUnavailable {
		t.Fatalf("got status %d, want 503: the older configuration became active", got)
	}
}

func TestRequestWithoutConfigurationIsRetryable(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t)
	m := tc.start("near")
	tc.waitFor("the node answers", func() bool { return m.request("GET", "/near/1", nil).err == nil })
	if a := m.request("GET", "/near/1", nil); a.status != http.StatusServiceUnavailable || a.retryAfter == "" || m.ready() {
		t.Fatalf("got status %d, Retry-After %q, ready %v; want 503 with Retry-After, not ready", a.status, a.retryAfter, m.ready())
	}
}

// TestChangeIsNotFetchedFromEveryNode guards against every node fetching a
// changed configuration from every other one: the links must carry at most one
// copy per node.
func TestChangeIsNotFetchedFromEveryNode(t *testing.T) {
	t.Parallel()
	const nodes = 6
	tc := newTestCluster(t)
	tc.configure(1, "near")
	all := make([]*vm, nodes)
	for i := range all {
		all[i] = tc.start("near")
	}
	for _, m := range all {
		tc.waitFor("ready", func() bool { return m.ready() })
		m.heartbeat("near", "ready")
	}
	tc.waitFor("every node is linked to every other one", func() bool {
		for _, m := range all {
			if _, usable := m.node.fleet.Counts(); usable < nodes {
				return false
			}
		}
		return true
	})
	services := []string{"near"}
	for i := range 200 {
		services = append(services, fmt.Sprint("added-", i))
	}
	before := uint64(0)
	for _, m := range all {
		before += m.node.traffic.Read().SentBytes
	}
	tc.configure(2, services...)
	for _, m := range all {
		tc.waitFor("the change is active", func() bool { return m.node.table.Load().Version == 2 })
	}
	time.Sleep(500 * time.Millisecond)
	size := uint64(len(all[0].node.table.Load().raw))
	sent := uint64(0)
	for _, m := range all {
		sent += m.node.traffic.Read().SentBytes
	}
	if sent -= before; sent > nodes*size {
		t.Fatalf("got %d bytes on the links for a configuration of %d bytes, want at most one copy per node", sent, size)
	}
}

// TestFewNodesWatch checks that two nodes watch the object API once all links
// are up, that a change is nevertheless active at all nodes within a second,
// and that other nodes take over when the watching ones have stopped.
func TestFewNodesWatch(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t)
	tc.configure(1, "a")
	vms := make([]*vm, 7)
	for i := range vms {
		vms[i] = tc.start("a")
	}
	t.Cleanup(func() { haltAll(vms) })
	for _, m := range vms {
		tc.waitFor("ready", m.ready)
		m.heartbeat("a", "ready")
	}
	tc.waitFor("all links are up", func() bool { return allLinked(vms) })
	tc.waitFor("two watches wait", func() bool { return tc.store.Counts().Waiting == 2 })
	tc.changeWithinSecond(2, vms)
	var watching, rest []*vm
	for _, m := range vms {
		if m.node.peers.watches() {
			watching = append(watching, m)
		} else {
			rest = append(rest, m)
		}
	}
	haltAll(watching)
	before := tc.store.Counts().Watch // the store still counts the watches of the stopped nodes
	tc.waitFor("others watch", func() bool { return tc.store.Counts().Watch >= before+2 })
	tc.changeWithinSecond(3, rest)
}

// changeWithinSecond changes the configuration and checks that it is active at
// the nodes within a second.
func (tc *testCluster) changeWithinSecond(version int, vms []*vm) {
	tc.t.Helper()
	tc.configure(version, "a", fmt.Sprint("b", version))
	began := time.Now()
	tc.waitFor("the change is active", func() bool {
		for _, m := range vms {
			if table := m.node.table.Load(); table == nil || table.Version < uint64(version) {
				return false
			}
		}
		return true
	})
	if took := time.Since(began); took > time.Second {
		tc.t.Errorf("version %d was active after %v, want within 1s", version, took)
	}
}
