package sidecar

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"heathershed/internal/soak"
	"heathershed/platform/platformtest"
)

// requestLeft is the time that clients in these tests wait.
const requestLeft = 2500 * time.Millisecond

// bearer returns the header that presents a key.
func bearer(key string) http.Header { return http.Header{"Authorization": {"Bearer " + key}} }

// configureWorkspaces writes a configuration in which workspace w has the keys.
func (tc *testCluster) configureWorkspaces(version int, services []string, public string, keys ...string) {
	tc.t.Helper()
	tc.writeConfig(platformtest.WithWorkspaces(platformtest.Config(version, services...), map[string][]string{"w": keys}, public))
}

// waitServingKey waits until a request with the key is served.
func (m *vm) waitServingKey(path, key string) {
	m.tc.t.Helper()
	m.tc.waitFor(m.cfg.VM+" serves "+path, func() bool {
		return m.requestWith(bearer(key), requestLeft, "GET", path, nil).status == http.StatusOK
	})
}

// Guards against a request that runs without a valid key, and against a key, or a
// workspace that the client names, that reaches the upstream.
func TestKeyDecidesTheWorkspace(t *testing.T) {
	tc := newTestCluster(t)
	tc.configureWorkspaces(1, []string{"near", "open"}, "open", "k1", "k2")
	m, public := tc.start("near"), tc.start("open")
	var seen atomic.Pointer[http.Header]
	record := func(rw http.ResponseWriter, r *http.Request) {
		h := r.Header.Clone()
		seen.Store(&h)
		_, _ = io.WriteString(rw, "complete answer")
	}
	m.up.set(record)
	public.up.set(record)
	tc.waitFor("both ready", func() bool { return m.ready() && public.ready() })
	m.heartbeat("near", "ready")
	public.heartbeat("open", "ready")
	m.waitServingKey("/near/1", "k1")
	tc.waitFor("open served", func() bool { return m.request("GET", "/open/1", nil).status == http.StatusOK })

	cases := []struct {
		name, path string
		header     http.Header
		status     int
		workspace  string
	}{
		{"key", "/near/1", bearer("k2"), 200, "w"},
		{"key and a workspace that the client names", "/near/1", http.Header{"Authorization": {"Bearer k1"}, platformtest.HeaderTenant: {"other"}}, 200, "w"},
		{"scheme in other case", "/near/1", http.Header{"Authorization": {"bearer k1"}}, 200, "w"},
		{"order", "/near-order/1", bearer("k1"), 200, "w"},
		{"no key", "/near/1", nil, 401, ""},
		{"unknown key", "/near/1", bearer("k3"), 401, ""},
		{"two headers", "/near/1", http.Header{"Authorization": {"Bearer k1", "Bearer k2"}}, 401, ""},
		{"another scheme", "/near/1", http.Header{"Authorization": {"Basic k1"}}, 401, ""},
		{"public route", "/open/1", nil, 200, ""},
		{"public route and a workspace that the client names", "/open/1", http.Header{platformtest.HeaderTenant: {"w"}}, 200, ""},
		{"public route and another scheme", "/open/1", http.Header{"Authorization": {"Basic k1"}}, 200, ""},
		{"public route and a key", "/open/1", bearer("k1"), 200, "w"},
		{"public route and an unknown key", "/open/1", bearer("k3"), 401, ""},
		{"no such route", "/none/1", bearer("k1"), 404, ""},
	}
	for _, c := range cases {
		seen.Store(nil)
		a := m.requestWith(c.header, requestLeft, "GET", c.path, nil)
		if a.status != c.status {
			t.Errorf("%s: got status %d (%s), want %d", c.name, a.status, a.body, c.status)
		}
		h := seen.Load()
		if (h != nil) != (c.status == 200) {
			t.Errorf("%s: ran %v, want %v", c.name, h != nil, c.status == 200)
		}
		if h != nil && (h.Get("Authorization") != "" || h.Get(platformtest.HeaderTenant) != c.workspace) {
			t.Errorf("%s: got %q and workspace %q at the upstream, want no credentials and %q", c.name, h.Get("Authorization"), h.Get(platformtest.HeaderTenant), c.workspace)
		}
	}
	for _, key := range []string{"k1", "k2", "k3"} {
		if strings.Contains(tc.logs.String(), "Bearer "+key) {
			t.Errorf("the log contains key %s", key)
		}
	}
}

// Guards against a deployment without workspaces that is served in another way than
// before.
func TestWithoutWorkspacesNoKeyIsLookedAt(t *testing.T) {
	tc := newTestCluster(t)
	tc.configure(1, "near")
	m := tc.start("near")
	m.cfg.StrictRevoke, m.cfg.RevokeWithin = true, time.Second
	seen := make(chan string, 1)
	m.up.set(func(rw http.ResponseWriter, r *http.Request) {
		select {
		case seen <- r.Header.Get("Authorization") + r.Header.Get(platformtest.HeaderTenant):
		default:
		}
		_, _ = io.WriteString(rw, "complete answer")
	})
	tc.waitFor("ready", m.ready)
	m.heartbeat("near", "ready")
	tc.waitFor("served", func() bool {
		return m.requestWith(bearer("k3"), requestLeft, "GET", "/near/1", nil).status == http.StatusOK
	})
	if got := <-seen; got != "Bearer k3" {
		t.Errorf("got %q at the upstream, want the header of the client", got)
	}
}

// Guards against a nested call that is rejected for want of a key, or runs for another
// workspace than its root request.
func TestNestedCallBelongsToTheWorkspaceOfItsRoot(t *testing.T) {
	tc := newTestCluster(t)
	tc.writeConfig(platformtest.WithWorkspaces(platformtest.Config(1, "near", "far"), map[string][]string{"w": {"k1"}, "v": {"k2"}}, ""))
	m, far := tc.start("near"), tc.start("far")
	m.up.set(func(rw http.ResponseWriter, r *http.Request) {
		a := m.requestWith(http.Header{platformtest.HeaderRemaining: nil}, 700*time.Millisecond, "GET", "/far/1", nil)
		rw.WriteHeader(a.status)
		_, _ = io.WriteString(rw, a.body)
	})
	far.up.set(func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(rw, r.Header.Get(platformtest.HeaderTenant))
	})
	tc.waitFor("both ready", func() bool { return m.ready() && far.ready() })
	m.heartbeat("near", "ready")
	far.heartbeat("far", "ready")
	m.waitServingKey("/near/1", "k1")
	for range 10 {
		for key, want := range map[string]string{"k1": "w", "k2": "v"} {
			if a := m.requestWith(bearer(key), requestLeft, "GET", "/near/1", nil); a.status != http.StatusOK || a.body != want {
				t.Errorf("key %s: got status %d and workspace %q of the nested call, want %q", key, a.status, a.body, want)
			}
		}
	}
}

// Guards against a key that is still valid at a node that is cut off from the object API
// and from the other nodes, later than the bound after it was taken away.
func TestRevokedKeyIsRejectedAtANodeThatIsCutOff(t *testing.T) {
	const bound = 2 * time.Second
	tc := newTestCluster(t)
	tc.configureWorkspaces(1, []string{"near", "far"}, "", "k1", "k2")
	near := tc.start("near")
	far := tc.prepare("far", "west")
	far.cfg.StrictRevoke, far.cfg.RevokeWithin = true, bound
	far.cfg.Announce = strings.Replace(far.cfg.Link, ":7002", ":7012", 1)
	links := tc.newProxy(far.cfg.Announce, far.cfg.Link)
	far.cfg.Platform = strings.Replace(far.cfg.Link, ":7002", ":7400", 1)
	far.storeProxy = tc.newProxy(far.cfg.Platform, tc.address)
	far.run()
	t.Cleanup(far.halt)
	tc.waitFor("both ready", func() bool { return near.ready() && far.ready() })
	near.heartbeat("near", "ready")
	far.heartbeat("far", "ready")
	far.waitServingKey("/far/1", "k1")

	far.storeProxy.SetMode(soak.ModeBlackholeOut)
	links.SetMode(soak.ModeBlackholeIn)
	near.halt() // the link that far opened to it
	tc.configureWorkspaces(2, []string{"near", "far"}, "", "k2")
	accepted := time.Now()
	for lapsed := false; !lapsed; {
		sent := time.Now()
		a := far.requestWith(bearer("k1"), requestLeft, "GET", "/far/1", nil)
		lapsed = a.status == http.StatusServiceUnavailable
		if sent.Sub(accepted) > bound && !lapsed {
			t.Fatalf("sent %v after the key was taken away: got status %d, want 503", sent.Sub(accepted), a.status)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if a := far.requestWith(bearer("k2"), requestLeft, "GET", "/far/1", nil); a.status != http.StatusServiceUnavailable || a.retryAfter == "" {
		t.Errorf("valid key while cut off: got status %d, want 503 with Retry-After", a.status)
	}

	far.storeProxy.SetMode(soak.ModePass)
	far.waitServingKey("/far/1", "k2")
	if a := far.requestWith(bearer("k1"), requestLeft, "GET", "/far/1", nil); a.status != http.StatusUnauthorized {
		t.Errorf("key that was taken away: got status %d, want 401", a.status)
	}
}
