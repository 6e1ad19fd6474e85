package callers

import (
	"fmt"
	"testing"
	"time"
)

func TestOnlyRoutesOfASingleServiceCountAsCalls(t *testing.T) {
	tr := New()
	now := time.Unix(1000, 0)
	for i := range minRequests {
		if got, want := tr.Record(now, "call", "portal"), i == minRequests-1; got != want {
			t.Fatalf("request %d: got %v, want %v", i, got, want)
		}
		if tr.Record(now, "client", fmt.Sprint("service-", i%4)) {
			t.Fatal("a route that clients use counts as called by upstreams only")
		}
	}
	if tr.Record(now, "call", "ledger") {
		t.Fatal("still counts as called by upstreams only after a request from another service")
	}
}

func TestCountsOutliveAGeneration(t *testing.T) {
	tr := New()
	now := time.Unix(1000, 0)
	for range minRequests {
		tr.Record(now, "call", "portal")
	}
	if !tr.Record(now.Add(generation), "call", "portal") {
		t.Fatal("the counts of the previous generation are lost")
	}
	if tr.Record(now.Add(generation), "call", "ledger") {
		t.Fatal("a second service is missed after the generation has changed")
	}
}

func TestRoutesAreBounded(t *testing.T) {
	tr := New()
	now := time.Unix(1000, 0)
	for i := range 2 * maxRoutes {
		tr.Record(now, fmt.Sprint(i), "portal")
	}
	if len(tr.now) > maxRoutes {
		t.Fatalf("got %d routes, want at most %d", len(tr.now), maxRoutes)
	}
}
