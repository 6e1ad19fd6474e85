package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/platform/platformtest"
)

// Guards against a fixed limit below maxBodyBytes of the configuration, at the local
// upstream and over a link, and against a refusal with another status than 413.
func TestBodyLimitIsThatOfTheConfiguration(t *testing.T) {
	tc, near, far := startPair(t)
	const allowed, held = 64 << 20, 9 << 20 // a body of the second size was always served
	tc.writeConfig(strings.Replace(platformtest.Config(2, "near", "far"), `"maxBodyBytes":1000`, fmt.Sprintf(`"maxBodyBytes":%d`, allowed), 1))
	for _, m := range []*vm{near, far} {
		m.up.set(func(rw http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			_, _ = fmt.Fprint(rw, n)
		})
	}
	tc.waitFor("version 2 is active", func() bool {
		table := near.node.table.Load()
		return table != nil && table.Version == 2
	})
	for _, path := range []string{"/near-order/", "/far-order/", "/far/"} {
		for _, size := range []int{held, allowed} {
			got := near.requestWithin(waitTimeout, "POST", path, make([]byte, size))
			if got.status != http.StatusOK || got.body != fmt.Sprint(size) {
				t.Errorf("%s, %d bytes: got status %d, %.200q, %v", path, size, got.status, got.body, got.err)
			}
		}
		if got := near.requestWithin(waitTimeout, "POST", path, make([]byte, allowed+1)); got.status != http.StatusRequestEntityTooLarge {
			t.Errorf("%s, over the limit: got status %d, want 413", path, got.status)
		}
	}
	if used, _, _ := near.node.budgets.bodies.Stats(); used != 0 {
		t.Errorf("%d bytes of bodies are held afterwards, want 0", used)
	}
	if got, want := near.node.maxBody(), allowed; got != want {
		t.Errorf("limit in force: got %d, want %d", got, want)
	}
}

// Guards against calls from other nodes that hold memory without a bound while they
// wait, and against lookups that leave none to orders.
func TestBodiesOfCallsFromOtherNodesAreBounded(t *testing.T) {
	_, near, _ := startPair(t)
	call := func(idempotent bool) *linkpb.CallRequest {
		return &linkpb.CallRequest{Idempotent: idempotent, Body: make([]byte, minBudget/4)}
	}
	var releases []func()
	for range 3 {
		release, rejection := near.node.holdBody(call(true))
		if rejection != nil {
			t.Fatalf("lookup: got %v", rejection)
		}
		releases = append(releases, release)
	}
	_, rejection := near.node.holdBody(call(true))
	if rejection == nil || contract.Verdict(rejection.Verdict) != contract.NotRun || contract.Reason(rejection.Reason) != contract.ReasonOverload {
		t.Errorf("fourth lookup: got %v, want not run, overload", rejection)
	}
	release, rejection := near.node.holdBody(call(false))
	if rejection != nil {
		t.Fatalf("order beside three lookups: got %v", rejection)
	}
	for _, r := range append(releases, release) {
		r()
	}
	if used, _, _ := near.node.budgets.bodies.Stats(); used != 0 {
		t.Errorf("%d bytes are held afterwards, want 0", used)
	}
}
