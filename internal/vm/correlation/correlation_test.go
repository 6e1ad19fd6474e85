package correlation

import (
	"testing"
	"time"

	"heathershed/internal/contract"
)

var epoch = time.Unix(1000, 0)

const ms = time.Millisecond

func begin(b *Tracker, kind string, level contract.Level, left time.Duration) {
	b.Begin(Parent{Kind: kind, Level: level, Deadline: epoch.Add(left)})
}

func TestCallIsTiedToTheParentWhoseDeadlineItHas(t *testing.T) {
	b := New()
	begin(b, "order", 2000, 800*ms)
	begin(b, "lookup", 10, 950*ms)
	for i := range 5 {
		now := epoch.Add(time.Duration(i) * 100 * ms)
		o := b.Find(now, "call", epoch.Add(801*ms).Sub(now))
		if i >= fewest && (!o.Nested || o.Parent.Kind != "order" || o.Parent.Level != 2000) {
			t.Fatalf("call %d: %+v, want one of the order", i, o)
		}
	}
}

func TestClientsRequestsAreNoCalls(t *testing.T) {
	b := New()
	begin(b, "order", 2000, 800*ms)
	for i := range 200 {
		left := 500 * ms
		if i%20 == 0 {
			left = 800 * ms // by chance
		}
		if o := b.Find(epoch, "client", left); o.Nested {
			t.Fatalf("request %d is taken for a call", i)
		}
	}
}

func TestReturningClientIsKnownByItsTime(t *testing.T) {
	b := New()
	b.Find(epoch, "client", 6000*ms)
	if got := b.Find(epoch, "client", 5200*ms).Elapsed; got != 800*ms {
		t.Fatalf("elapsed %v, want 800ms", got)
	}
}

func TestCallWithAllItsOwnTimeFollowsThoseWithLess(t *testing.T) {
	b := New()
	begin(b, "sync", 1500, 5000*ms)
	begin(b, "other", 1, 6000*ms)
	// The parent's deadline cuts these calls short: they tell the parent.
	for i := range 10 {
		now := epoch.Add(5000*ms - time.Duration(600-i)*ms)
		b.Find(now, "details", 5000*ms-now.Sub(epoch))
	}
	b.Find(epoch, "details", 700*ms)
	o := b.Find(epoch, "details", 700*ms)
	if !o.Nested || o.Parent.Kind != "sync" {
		t.Fatalf("%+v, want a call of sync", o)
	}
}

func TestDoorsTellWhatNoDeadlineDoes(t *testing.T) {
	b := New()
	begin(b, "lookup", 7, 6000*ms)
	if b.Find(epoch, "status", 3000*ms).Nested {
		t.Fatal("taken for a call before anything tells")
	}
	b.SetCallsOnly("status", true)
	o := b.Find(epoch, "status", 3000*ms)
	if !o.Nested || o.Parent.Kind != "lookup" || o.Parent.Level != 7 {
		t.Fatalf("%+v, want a call of the lookup", o)
	}
	begin(b, "daybook", 3, 6000*ms)
	o = b.Find(epoch, "status", 3000*ms)
	if !o.Nested || o.Parent.Kind != "" {
		t.Fatalf("%+v, want a call whose parent's kind isn't known", o)
	}
}

func TestEndedRequestIsNoParent(t *testing.T) {
	b := New()
	n := b.Begin(Parent{Kind: "lookup", Deadline: epoch.Add(time.Second)})
	b.SetCallsOnly("status", true)
	b.End(n)
	if b.Find(epoch, "status", 300*ms).Nested {
		t.Fatal("a call was tied to a request that has ended")
	}
}

// TestRequestWithTheDeadlineOfACallByChanceIsNotItsParent plays calls of a sync
// beside a client's daybook that ends when one of them does.
func TestRequestWithTheDeadlineOfACallByChanceIsNotItsParent(t *testing.T) {
	b := New()
	begin(b, "sync", 1500, 5000*ms)
	for i := range 20 {
		left := time.Duration(600-i) * ms
		b.Find(epoch.Add(5000*ms-left), "details", left)
	}
	now := epoch.Add(1000 * ms)
	begin(b, "daybook", 3, 1700*ms)
	for _, left := range []time.Duration{690 * ms, 700 * ms} {
		if o := b.Find(now, "details", left); !o.Nested || o.Parent.Kind != "sync" {
			t.Fatalf("%v left: %+v, want a call of sync", left, o)
		}
	}
}
