package soak

import (
	"net/http"
	"testing"
	"time"

	"heathershed/platform/platformtest"
)

// TestNoticesDetectEachViolation guards against checks that miss an upstream
// with too many requests or one that leaves and gets more, or that blame nodes
// that were not told or that a fault excuses.
func TestNoticesDetectEachViolation(t *testing.T) {
	const id, limit = "i", 2
	ago := func(d time.Duration) time.Time { return time.Now().Add(-d) }
	bound := int(limitFactor*limit*limitWindow.Seconds()) + limitSlack
	cases := []struct {
		name string
		do   func(l *Ledger, i *instanceNotices)
		want Promise // empty: no violation
	}{
		{"over the limit", func(l *Ledger, i *instanceNotices) {
			i.toldLimit["a"] = ago(5 * time.Second)
			arrive(l, bound+1, "a")
		}, OverLimit},
		{"at the bound", func(l *Ledger, i *instanceNotices) { i.toldLimit["a"] = ago(5 * time.Second); arrive(l, bound, "a") }, ""},
		{"limit named just now", func(l *Ledger, i *instanceNotices) {
			i.limited, i.toldLimit["a"] = ago(time.Second), ago(time.Second)
			arrive(l, bound+1, "a")
		}, ""},
		{"node not told", func(l *Ledger, i *instanceNotices) { arrive(l, bound+1, "a") }, ""},
		{"over the limit in all", func(l *Ledger, i *instanceNotices) {
			i.toldLimit["a"], i.toldLimit["b"] = ago(5*time.Second), ago(5*time.Second)
			arrive(l, bound/2+1, "a")
			arrive(l, bound/2+1, "b")
		}, OverLimit},
		{"node restarted since it was told", func(l *Ledger, i *instanceNotices) {
			i.toldLimit["a"] = ago(5 * time.Second)
			l.BeginFault(nodeFault("a"))()
			arrive(l, bound+1, "a")
		}, ""},
		{"limit ended", func(l *Ledger, i *instanceNotices) {
			i.toldLimit["a"] = ago(5 * time.Second)
			l.notices.recordSaid(id, notice{})
			arrive(l, bound+1, "a")
		}, ""},
		{"sent after its node was told of the leaving", func(l *Ledger, i *instanceNotices) {
			i.toldLeaving["a"] = ago(drainBound + time.Second)
			arrive(l, 1, "a")
		}, LateLeave},
		{"sent soon after its node was told of the leaving", func(l *Ledger, i *instanceNotices) {
			i.toldLeaving["a"] = ago(drainBound - time.Second)
			arrive(l, 1, "a")
		}, ""},
		{"another node was told of the leaving", func(l *Ledger, i *instanceNotices) {
			i.toldLeaving["b"] = ago(drainBound + time.Second)
			arrive(l, 1, "a")
		}, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l := NewLedger(time.Now())
			l.notices.recordSaid(id, notice{limited: true, limit: limit})
			i := l.notices.instance(id)
			i.limited = ago(5 * time.Second)
			tc.do(l, i)
			found := l.Violations()
			if (len(found) > 0) != (tc.want != "") || len(found) > 0 && found[0].Promise != tc.want {
				t.Errorf("got %v, want %q", found, tc.want)
			}
		})
	}
}

// arrive records requests from a node at the instance.
func arrive(l *Ledger, n int, vm string) {
	for range n {
		l.notices.recordArrival("i", "attempt", vm, time.Now())
	}
}

func TestNodeIsToldByAnAnswerThatItPassesOn(t *testing.T) {
	l := NewLedger(time.Now())
	said := notice{limited: true, limit: 7.4, leaving: true}
	l.notices.recordSaid("i", said)
	h := make(http.Header)
	h.Set(platformtest.HeaderInstance, "i")
	said.write(h)
	l.notices.recordPassedOn("a", h)
	i := l.notices.instance("i")
	if i.toldLimit["a"].IsZero() || i.toldLeaving["a"].IsZero() || h.Get(platformtest.HeaderLimit) != "7.4" {
		t.Fatalf("got %+v with headers %v, want the node told of both", i, h)
	}
}
