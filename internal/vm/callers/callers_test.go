package callers

import (
	"fmt"
	"testing"
	"time"
)

func TestRouteOfOneServiceAloneIsOneOfCalls(t *testing.T) {
	b := New()
	now := time.Unix(1000, 0)
	for i := range enough {
		if got, want := b.Record(now, "call", "portal"), i == enough-1; got != want {
			t.Fatalf("request %d: %v, want %v", i, got, want)
		}
		if b.Record(now, "client", fmt.Sprint("service-", i%4)) {
			t.Fatal("a clients' route is taken for one of calls")
		}
	}
	if b.Record(now, "call", "ledger") {
		t.Fatal("still one of calls after a request from another service")
	}
}

func TestVerdictOutlivesAGeneration(t *testing.T) {
	b := New()
	now := time.Unix(1000, 0)
	for range enough {
		b.Record(now, "call", "portal")
	}
	if !b.Record(now.Add(generation), "call", "portal") {
		t.Fatal("forgotten with the turn of the generation")
	}
	if b.Record(now.Add(generation), "call", "ledger") {
		t.Fatal("a second service goes unseen after the turn")
	}
}

func TestRoutesAreBounded(t *testing.T) {
	b := New()
	now := time.Unix(1000, 0)
	for i := range 2 * maxRoutes {
		b.Record(now, fmt.Sprint(i), "portal")
	}
	if len(b.now) > maxRoutes {
		t.Fatalf("%d routes, want at most %d", len(b.now), maxRoutes)
	}
}
