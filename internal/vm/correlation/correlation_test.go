package correlation

import (
	"testing"
	"time"

	"heathershed/internal/contract"
)

var epoch = time.Unix(1000, 0)

const ms = time.Millisecond

func begin(tr *Tracker, kind string, level contract.Level, left time.Duration) {
	tr.Begin(Parent{Kind: kind, Level: level, Deadline: epoch.Add(left)})
}

func TestCallIsAttributedToTheParentWithItsDeadline(t *testing.T) {
	tr := New()
	begin(tr, "order", 2000, 800*ms)
	begin(tr, "lookup", 10, 950*ms)
	for i := range 5 {
		now := epoch.Add(time.Duration(i) * 100 * ms)
		o := tr.Find(now, "call", epoch.Add(801*ms).Sub(now))
		if i >= minRequests && (!o.Nested || o.Parent.Kind != "order" || o.Parent.Level != 2000) {
			t.Fatalf("call %d: got %+v, want a nested call of the order", i, o)
		}
	}
}

func TestClientsRequestsAreNotNestedCalls(t *testing.T) {
	tr := New()
	begin(tr, "order", 2000, 800*ms)
	for i := range 200 {
		left := 500 * ms
		if i%20 == 0 {
			left = 800 * ms // by chance
		}
		if o := tr.Find(epoch, "client", left); o.Nested {
			t.Fatalf("request %d: got a nested call, want a client's request", i)
		}
	}
}

func TestCallWithTheFullTimeoutIsAttributedByKind(t *testing.T) {
	tr := New()
	begin(tr, "sync", 1500, 5000*ms)
	begin(tr, "other", 1, 6000*ms)
	// The parent's deadline shortens these calls, so they identify its kind.
	for i := range 10 {
		now := epoch.Add(5000*ms - time.Duration(600-i)*ms)
		tr.Find(now, "details", 5000*ms-now.Sub(epoch))
	}
	tr.Find(epoch, "details", 700*ms)
	o := tr.Find(epoch, "details", 700*ms)
	if !o.Nested || o.Parent.Kind != "sync" {
		t.Fatalf("got %+v, want a nested call of sync", o)
	}
}

func TestReportedRouteIsNestedWithoutAMatchingDeadline(t *testing.T) {
	tr := New()
	begin(tr, "lookup", 7, 6000*ms)
	if tr.Find(epoch, "status", 3000*ms).Nested {
		t.Fatal("got a nested call before any report, want a client's request")
	}
	tr.SetCallsOnly("status", true)
	o := tr.Find(epoch, "status", 3000*ms)
	if !o.Nested || o.Parent.Kind != "lookup" || o.Parent.Level != 7 {
		t.Fatalf("got %+v, want a nested call of the lookup", o)
	}
	begin(tr, "daybook", 3, 6000*ms)
	o = tr.Find(epoch, "status", 3000*ms)
	if !o.Nested || o.Parent.Kind != "" {
		t.Fatalf("got %+v, want a nested call whose parent's kind is unknown", o)
	}
}

func TestEndedRequestIsNotAParent(t *testing.T) {
	tr := New()
	n := tr.Begin(Parent{Kind: "lookup", Deadline: epoch.Add(time.Second)})
	tr.SetCallsOnly("status", true)
	tr.End(n)
	if tr.Find(epoch, "status", 300*ms).Nested {
		t.Fatal("a call was attributed to a request that has ended")
	}
}

// A client's request of kind daybook has the deadline of one of the calls of
// sync by chance.
func TestChanceDeadlineMatchIsNotAParent(t *testing.T) {
	tr := New()
	begin(tr, "sync", 1500, 5000*ms)
	for i := range 20 {
		left := time.Duration(600-i) * ms
		tr.Find(epoch.Add(5000*ms-left), "details", left)
	}
	now := epoch.Add(1000 * ms)
	begin(tr, "daybook", 3, 1700*ms)
	for _, left := range []time.Duration{690 * ms, 700 * ms} {
		if o := tr.Find(now, "details", left); !o.Nested || o.Parent.Kind != "sync" {
			t.Fatalf("%v left: got %+v, want a nested call of sync", left, o)
		}
	}
}

func TestOfSeveralMatchesTheFirstIsTheParent(t *testing.T) {
	for range 50 {
		tr := New()
		for i := range 8 {
			tr.Begin(Parent{ID: string(rune('a' + i)), Kind: "lookup", Level: 10, Deadline: epoch.Add(800 * ms)})
		}
		for range minRequests {
			tr.Find(epoch, "call", 800*ms)
		}
		if o := tr.Find(epoch, "call", 800*ms); o.Parent.ID != "a" {
			t.Fatalf("got parent %q, want the one that began first", o.Parent.ID)
		}
	}
}

// Guards against a call of the upstream that is rejected for want of a key, before
// anything is known of its route: with its parent's deadline, with a full timeout of its
// own, and read so late that it seems to end after its parent.
func TestFirstCallWithoutAKeyIsAttributed(t *testing.T) {
	for _, left := range []time.Duration{800 * ms, 300 * ms, 840 * ms} {
		tr := New()
		tr.Begin(Parent{Kind: "order", Workspace: "w", Deadline: epoch.Add(800 * ms)})
		o, known := tr.FindUnauthenticated(epoch, "call", left)
		if !o.Nested || !known || o.Parent.Workspace != "w" {
			t.Errorf("%v left: got %+v, known %v; want a call of the order", left, o, known)
		}
	}
}

// Guards against a client that needs no key where the upstream is busy.
func TestRequestWithoutAKeyOnARouteOfClientsIsNoCall(t *testing.T) {
	tr := New()
	begin(tr, "order", 2000, 800*ms)
	begin(tr, "lookup", 10, 950*ms)
	tr.Authenticated(epoch, "client")
	for i := range 20 {
		left := 500 * ms
		if i%5 == 0 {
			left = 800 * ms // by chance
		}
		if o, known := tr.FindUnauthenticated(epoch, "client", left); o.Nested || known {
			t.Errorf("request %d: got %+v, known %v; want a client's", i, o, known)
		}
	}
}

// Guards against a request without a key that counts as a call although nothing runs.
func TestRequestWithoutAKeyIsNoCallOfAnIdleUpstream(t *testing.T) {
	tr := New()
	if o, known := tr.FindUnauthenticated(epoch, "call", 500*ms); o.Nested || known {
		t.Errorf("idle upstream: got %+v, known %v; want a client's request", o, known)
	}
	tr = New()
	number := tr.Begin(Parent{Kind: "order", Deadline: epoch.Add(800 * ms)})
	for range minRequests {
		tr.FindUnauthenticated(epoch, "call", 800*ms)
	}
	tr.End(number)
	if o, known := tr.FindUnauthenticated(epoch, "call", 800*ms); o.Nested || !known {
		t.Errorf("after the parent's end: got %+v, known %v; want a call without a parent", o, known)
	}
}

// Guards against a call that gets the name of a workspace although requests of several
// ones may have made it.
func TestCallOfUncertainParentHasNoWorkspace(t *testing.T) {
	for _, left := range []time.Duration{800 * ms, 300 * ms, 900 * ms} {
		tr := New()
		tr.Begin(Parent{Kind: "order", Workspace: "w", Deadline: epoch.Add(800 * ms)})
		tr.Begin(Parent{Kind: "order", Workspace: "v", Deadline: epoch.Add(801 * ms)})
		if o, _ := tr.FindUnauthenticated(epoch, "call", left); !o.Nested || o.Parent.Workspace != "" {
			t.Errorf("%v left: got %+v, want a call without a workspace", left, o)
		}
	}
}
