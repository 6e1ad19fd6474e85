package memory

import (
	"testing"
	"time"
)

const stall = time.Second

var start = time.Unix(1000, 0)

// transfer is a claim that records whether it was aborted.
type transfer struct {
	*Claim
	ended bool
}

func newTransfer(b *Budget, now time.Time, order bool) *transfer {
	x := &transfer{}
	x.Claim = b.Claim(now, order, func() { x.ended = true })
	return x
}

func (x *transfer) reserve(now time.Time, n int64) Verdict {
	v, _ := x.Reserve(now, n)
	return v
}

// Guards against claims that hold more than the budget together, and against bytes
// that are not given back.
func TestClaimsStayWithinTheBudget(t *testing.T) {
	b := New(100, stall)
	a, c := newTransfer(b, start, true), newTransfer(b, start, true)
	if got := a.reserve(start, 60); got != Granted {
		t.Fatalf("first 60 of 100: got %v", got)
	}
	if got := c.reserve(start, 41); got != Refused {
		t.Errorf("41 beside 60: got %v, want Refused", got)
	}
	if got := c.reserve(start, 40); got != Granted {
		t.Errorf("40 beside 60: got %v, want Granted", got)
	}
	if got := newTransfer(b, start, true).reserve(start, 101); got != Refused || a.ended {
		t.Errorf("more than the budget: got %v, another aborted %v", got, a.ended)
	}
	a.Release()
	a.Release()
	c.Release()
	if used, _, _ := b.Stats(); used != 0 {
		t.Errorf("after release: %d bytes are used, want 0", used)
	}
}

// Guards against lookups that take the memory of orders.
func TestOrdersComeBeforeLookups(t *testing.T) {
	b := New(100, stall)
	lookup, second, order := newTransfer(b, start, false), newTransfer(b, start, false), newTransfer(b, start, true)
	if got := lookup.reserve(start, 75); got != Granted {
		t.Fatalf("lookup of three quarters: got %v", got)
	}
	if got := second.reserve(start, 1); got != Refused || lookup.ended {
		t.Errorf("second lookup: got %v, first aborted %v", got, lookup.ended)
	}
	if got := order.reserve(start, 25); got != Granted {
		t.Errorf("order within the part kept for it: got %v", got)
	}
	if got := order.reserve(start, 60); got != Wait || !lookup.ended {
		t.Errorf("larger order: got %v, lookup aborted %v; want Wait and true", got, lookup.ended)
	}
	if got := lookup.reserve(start, 76); got != Refused {
		t.Errorf("aborted lookup: got %v, want Refused", got)
	}
	_, freed := order.Reserve(start, 60)
	lookup.Release()
	select {
	case <-freed:
	default:
		t.Error("the release of the lookup is not announced")
	}
	if got := order.reserve(start, 60); got != Granted {
		t.Errorf("order after the lookup's release: got %v", got)
	}
	if got := newTransfer(b, start, false).reserve(start.Add(time.Hour), 60); got != Refused || order.ended {
		t.Errorf("lookup beside a stalled order: got %v, order aborted %v", got, order.ended)
	}
}

// Guards against a transfer that moves giving way to another of its kind, and against
// a stalled one that keeps its memory.
func TestTheTransferStalledLongestGivesWay(t *testing.T) {
	b := New(100, stall)
	first, moving, complete := newTransfer(b, start, true), newTransfer(b, start, true), newTransfer(b, start, true)
	second := newTransfer(b, start, true)
	for _, x := range []*transfer{complete, first} {
		if got := x.reserve(start, 20); got != Granted {
			t.Fatal(got)
		}
	}
	complete.Fix()
	now := start.Add(stall / 2)
	if second.reserve(now, 20) != Granted || moving.reserve(now, 20) != Granted {
		t.Fatal("not granted")
	}
	if got := newTransfer(b, now, true).reserve(now, 40); got != Refused {
		t.Errorf("none is stalled: got %v, want Refused", got)
	}
	now = start.Add(2 * stall)
	moving.Progress(now)
	late := newTransfer(b, now, true)
	if got := late.reserve(now, 40); got != Wait || !first.ended || second.ended || moving.ended || complete.ended {
		t.Errorf("got %v, aborted: stalled longest %v, stalled %v, moving %v, complete %v", got, first.ended, second.ended, moving.ended, complete.ended)
	}
	if got := late.reserve(now, 40); got != Wait || second.ended {
		t.Errorf("while the first releases: got %v, second aborted %v", got, second.ended)
	}
	first.Release()
	if got := late.reserve(now, 40); got != Granted {
		t.Errorf("after the release: got %v", got)
	}
}
