package sidecar

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"heathershed/internal/report"
	"heathershed/platform/platformtest"
)

// where asks the node for the route of a request.
func (m *vm) where(path, key string) (w report.Where) {
	m.tc.t.Helper()
	query := url.Values{"host": {"h"}, "path": {path}}
	req, err := http.NewRequestWithContext(m.tc.t.Context(), http.MethodGet, "http://"+m.cfg.Metrics+report.PathWhere+"?"+query.Encode(), nil)
	if err != nil {
		m.tc.t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		m.tc.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&w); err != nil {
		m.tc.t.Fatalf("status %d: %v", resp.StatusCode, err)
	}
	return w
}

// TestDryRunAgreesWithRequests guards against a dry run that tells another outcome than
// that of a request, that sends one, or that shows a key.
func TestDryRunAgreesWithRequests(t *testing.T) {
	t.Parallel()
	tc, near, far := startPair(t)
	ran := near.up.ran.Load() + far.up.ran.Load()
	if w := near.where("/far/1?a=b", ""); w.Outcome != "sent" || w.Route != "far" || !w.Idempotent || len(w.Services) != 1 ||
		len(w.Services[0].Upstreams) != 1 || w.Services[0].Upstreams[0].VM != far.cfg.VM || w.Services[0].Upstreams[0].Standing != "lowest cost" {
		t.Errorf("got %+v, want it sent to the upstream of far", w)
	}
	if w := near.where("/far-order/1", ""); w.Outcome != "sent" || w.Idempotent {
		t.Errorf("got %+v, want an order that is sent", w)
	}
	if w := near.where("/none", ""); w.Outcome != "404" || near.request("GET", "/none", nil).status != http.StatusNotFound {
		t.Errorf("got %+v, want 404 as for a request", w)
	}
	const key = "key-of-acme"
	tc.writeConfig(platformtest.WithWorkspaces(platformtest.Config(2, "near", "far"), map[string][]string{"acme": {key}}, "near"))
	tc.waitFor("the keys are active", func() bool { return near.node.table.Load().Version == 2 })
	for _, c := range []struct{ path, key, outcome, verdict, workspace string }{
		{"/far/1", "", "401", "rejected", ""},
		{"/far/1", "another", "401", "rejected", ""},
		{"/far/1", key, "sent", "accepted", "acme"},
		{"/near/1", "", "sent", "not needed", ""},
	} {
		w := near.where(c.path, c.key)
		if w.Outcome != c.outcome || w.Key != c.verdict || w.Workspace != c.workspace || strings.Contains(w.Reason, "key-of") {
			t.Errorf("%s with key %q: got %+v, want %s, key %s, workspace %q", c.path, c.key, w, c.outcome, c.verdict, c.workspace)
		}
	}
	far.halt()
	tc.waitFor("no upstream of far is left", func() bool {
		w := near.where("/far/1", key)
		return w.Outcome == "503" && strings.Contains(w.Reason, "no upstream")
	})
	if n := near.up.ran.Load() + far.up.ran.Load() - ran; n > 0 {
		t.Errorf("%d requests ran, want none", n)
	}
	resp, err := (&http.Client{Timeout: 2 * time.Second}).Get("http://" + near.cfg.Metrics + report.PathMetrics)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("metrics: got %v, %v", resp, err)
	}
	resp.Body.Close()
}
