package node

import (
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"

	"heathershed/internal/contract"
)

func TestNestedCallThroughTwoServices(t *testing.T) {
	f := startFleet(t, 2, 2)
	for _, m := range f.nodes {
		got := send(t, m, "GET", "/lookup/1")
		want := "/lookup/1 under answer to /check/x"
		if got.status != 200 || got.verdict != "ran" || got.body != want {
			t.Fatalf("lookup at %s: got %+v, want verdict ran and body %q\n%s", m.cfg.VM, got, want, dump(m.node.report()))
		}
	}
}

func TestOrderRunsOnceWhereverItIsRepeated(t *testing.T) {
	f := startFleet(t, 2, 3)
	f.awaitHomes()
	for range 8 {
		id := newOrderID(t)
		for _, m := range f.nodes {
			got := send(t, m, "POST", "/cut", contract.HeaderOrder, id)
			if got.verdict != "ran" {
				t.Fatalf("order at %s: got %+v, want verdict ran\n%s", m.cfg.VM, got, dump(m.node.report()))
			}
		}
		if runs := f.totalRuns(id); runs != 1 {
			t.Fatalf("order ran %d times, want 1", runs)
		}
	}
}

func (f *fleet) awaitHomes() {
	f.t.Helper()
	f.await("the homes document lists all nodes of the service", func() bool {
		for _, m := range f.nodes {
			lists := m.node.homes.Current().Services["deep"]
			if len(lists) == 0 || len(lists[len(lists)-1].Members) != f.count("deep") {
				return false
			}
		}
		return true
	})
}

func (f *fleet) count(service string) int {
	count := 0
	for _, m := range f.nodes {
		if m.cfg.Service == service {
			count++
		}
	}
	return count
}

func TestIngressRejections(t *testing.T) {
	f := startFleet(t, 1, 1)
	cases := []struct {
		name, method, path string
		headers            []string
		status             int
		verdict, reason    string
	}{
		{"unknown kind", "GET", "/nothing", nil, 404, "not-run", "unknown-kind"},
		{"order without id", "POST", "/cut", nil, 400, "not-run", "bad-request"},
		{"order id of another version", "POST", "/cut", []string{contract.HeaderOrder, "7f0a3ad6-9d1c-4c55-8d5e-0123456789ab"}, 400, "not-run", "bad-request"},
		{"bad timeout", "GET", "/lookup/1", []string{contract.HeaderTimeout, "soon"}, 400, "not-run", "bad-request"},
		{"unknown parent", "GET", "/lookup/1", []string{contract.HeaderCall, "0011223344556677"}, 502, "not-run", "parent-ended"},
		{"retry budget exhausted", "GET", "/lookup/1", []string{contract.HeaderAttempt, "9"}, 429, "not-run", "retry-budget"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := send(t, f.nodes[0], c.method, c.path, c.headers...)
			if got.verdict != c.verdict || got.reason != c.reason {
				t.Fatalf("got %+v, want verdict %s and reason %s", got, c.verdict, c.reason)
			}
		})
	}
}

// Guards against a first call to a service that fails, or spends its retries,
// because the node has no links to the service yet.
func TestFirstCallToAServiceWaitsForItsLinks(t *testing.T) {
	f := newFleet(t)
	f.calls = func(string) string { return "" }
	f.start(9, 1)
	for _, m := range f.byService("front") {
		if got := send(t, m, "GET", "/unrepeated/x"); got.verdict != "ran" {
			t.Errorf("first call at %s: got %+v, want verdict ran", m.cfg.VM, got)
		}
	}
}

// The first attempt of an idempotent call ends without a response and the retry
// is rejected. The call as a whole may have run, which the verdict of the last
// attempt must not hide.
func TestRejectedRetryKeepsMayHaveRun(t *testing.T) {
	f := startFleet(t, 1, 2)
	var attempts atomic.Int32
	fault := func(rc *fasthttp.RequestCtx) bool {
		if attempts.Add(1) == 1 {
			_ = rc.Conn().Close()
			return true
		}
		rc.Response.Header.Set(contract.HeaderVerdict, contract.NotRun.String())
		rc.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return true
	}
	for _, m := range f.byService("deep") {
		m.upstream.override.Store(&fault)
	}
	got := send(t, f.nodes[0], "GET", "/check/x")
	if got.verdict != "may-have-run" {
		t.Fatalf("got %+v after %d attempts, want verdict may-have-run", got, attempts.Load())
	}
	if n := attempts.Load(); n < 2 || n > 4 {
		t.Fatalf("got %d attempts, want 2 to 4: the kind has 3 retries", n)
	}
}
