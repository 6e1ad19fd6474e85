package soak

import (
	"testing"
	"time"
)

// TestGivenUp guards against a GivenUp check that misses a request ended by the
// nodes while its upstream was running it, or that blames the nodes where a
// fault on the path ended the request.
func TestGivenUp(t *testing.T) {
	const timeout = 4 * time.Second
	cases := []struct {
		name, fault string
		due         time.Duration
		found       bool
	}{
		{"answer in time", "", timeout - time.Second, true},
		{"answer too late", "", timeout + time.Second, false},
		{"sending node killed", downFault("near"), time.Second, false},
		{"sending node paused", pausedFault("near"), time.Second, false},
		{"receiving node killed", downFault("far"), time.Second, false},
		{"receiving node paused", pausedFault("far"), time.Second, false},
		{"links to the receiving node broken", linkFault("far"), time.Second, false},
		{"upstream crashed", upstreamFault("far"), time.Second, false},
		{"links to the sending node broken", linkFault("near"), time.Second, true},
		{"another node killed", downFault("other"), time.Second, true},
		{"store fault", faultStore, time.Second, true},
		{"graceful shutdown", faultNode, time.Second, true},
	}
	for _, c := range cases {
		for _, runFirst := range []bool{true, false} {
			l := NewLedger(time.Now())
			now := time.Now()
			l.RecordSent("o", true)
			l.RecordDispatch("o", "near", now.Add(timeout))
			if c.fault != "" {
				l.BeginFault(c.fault)
			}
			e := execution{ranOn: "far", start: now, due: now.Add(c.due)}
			if runFirst {
				l.RecordExecution("o", e)
			}
			l.RecordGiveUp("o")
			if !runFirst {
				l.RecordExecution("o", e)
			}
			if found := l.Violations(); (len(found) == 1 && found[0].Promise == GivenUp) != c.found {
				t.Errorf("%s, run recorded first %v: got %v", c.name, runFirst, found)
			}
		}
	}
}

func TestLocalUpstreamUsesNoLink(t *testing.T) {
	l := NewLedger(time.Now())
	now := time.Now()
	l.BeginFault(linkFault("near"))
	l.RecordDispatch("a", "near", now.Add(time.Minute))
	l.RecordExecution("a", execution{ranOn: "near", start: now, due: now})
	l.RecordGiveUp("a")
	if found := l.Violations(); len(found) != 1 {
		t.Errorf("got %v, want one violation", found)
	}
}
