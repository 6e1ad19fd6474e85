package soak

import (
	"testing"
	"time"
)

// TestGivenUp lets nodes end a request that an upstream is at work on.
func TestGivenUp(t *testing.T) {
	const in = 4 * time.Second
	cases := []struct {
		name, fault string
		due         time.Duration
		found       bool
	}{
		{"answer in time", "", in - time.Second, true},
		{"answer too late", "", in + time.Second, false},
		{"sender killed", downFault("near"), time.Second, false},
		{"sender paused", pausedFault("near"), time.Second, false},
		{"door killed", downFault("far"), time.Second, false},
		{"door paused", pausedFault("far"), time.Second, false},
		{"links to the door broken", linkFault("far"), time.Second, false},
		{"upstream gone", upstreamFault("far"), time.Second, false},
		{"links to the sender broken", linkFault("near"), time.Second, true},
		{"another door killed", downFault("other"), time.Second, true},
		{"faults of the store", faultStore, time.Second, true},
		{"a planned stop", faultNode, time.Second, true},
	}
	for _, c := range cases {
		for _, worksFirst := range []bool{true, false} {
			l := NewLedger(time.Now())
			now := time.Now()
			l.RecordSent("o", true)
			l.RecordDispatch("o", "near", now.Add(in))
			if c.fault != "" {
				l.BeginFault(c.fault)
			}
			w := work{at: "far", began: now, due: now.Add(c.due)}
			if worksFirst {
				l.RecordExecution("o", w)
			}
			l.RecordGiveUp("o")
			if !worksFirst {
				l.RecordExecution("o", w)
			}
			if found := l.Violations(); (len(found) == 1 && found[0].Promise == GivenUp) != c.found {
				t.Errorf("%s, works first %v: found %v", c.name, worksFirst, found)
			}
		}
	}
}

func TestAnUpstreamBesideItsSenderIsOnNoLink(t *testing.T) {
	l := NewLedger(time.Now())
	now := time.Now()
	l.BeginFault(linkFault("near"))
	l.RecordDispatch("a", "near", now.Add(time.Minute))
	l.RecordExecution("a", work{at: "near", began: now, due: now})
	l.RecordGiveUp("a")
	if found := l.Violations(); len(found) != 1 {
		t.Errorf("found %v", found)
	}
}
