package sidecar

import (
	"testing"
	"time"

	"heathershed/internal/poison"
	"heathershed/internal/vm/instance"
)

func TestLostRuns(t *testing.T) {
	epoch := time.Unix(1000, 0)
	cases := []struct {
		name string
		do   func(l *lostRuns)
		want int
	}{
		{"the next instance starts", func(l *lostRuns) { l.add("i-1", lostRun{key: 1, at: epoch}) }, 1},
		{"two runs at one time", func(l *lostRuns) {
			l.add("i-1", lostRun{key: 1, at: epoch})
			l.add("i-1", lostRun{key: 2, at: epoch})
		}, 2},
		{"answer to a later request", func(l *lostRuns) {
			l.add("i-1", lostRun{key: 1, at: epoch})
			l.answered("i-1", epoch.Add(time.Millisecond))
		}, 0},
		{"late answer to an earlier request", func(l *lostRuns) {
			l.add("i-1", lostRun{key: 1, at: epoch})
			l.answered("i-1", epoch.Add(-time.Millisecond))
		}, 1},
		{"long ago", func(l *lostRuns) { l.add("i-1", lostRun{key: 1, at: epoch.Add(-lostRunAge)}) }, 0},
		{"another instance", func(l *lostRuns) { l.add("i-0", lostRun{key: 1, at: epoch}) }, 0},
		{"more than are kept", func(l *lostRuns) {
			for i := range 2 * maxLostRuns {
				l.add("i-1", lostRun{key: poison.Key(i), at: epoch})
			}
		}, maxLostRuns},
	}
	for _, c := range cases {
		l := &lostRuns{}
		c.do(l)
		if got := len(l.take(epoch.Add(time.Second), "i-1")); got != c.want {
			t.Errorf("%s: got %d runs, want %d", c.name, got, c.want)
		}
		if got := len(l.take(epoch.Add(time.Second), "i-1")); got > 0 {
			t.Errorf("%s: %d runs are left", c.name, got)
		}
	}
}

// TestNextInstanceShowsThatARequestCrashesUpstreams guards against crashes that
// nobody sees because a proxy accepts connections while the upstream is down.
func TestNextInstanceShowsThatARequestCrashesUpstreams(t *testing.T) {
	cases := []struct {
		name     string
		draining bool
		want     int
	}{{"crashed", false, 1}, {"left as announced", true, 0}}
	for _, c := range cases {
		n := newNodeWithPeers(t, 0)
		beat := func(id string, draining bool, seq uint64) {
			n.target.update("heartbeat", func(tr *instance.Tracker) instance.Change {
				return tr.HandleHeartbeat(time.Now(), instance.Heartbeat{ID: id, Service: n.cfg.Service, Address: n.cfg.Upstream, Slots: 1, Draining: draining, Seq: seq})
			})
		}
		beat("i-1", false, 1)
		n.lostRuns.add("i-1", lostRun{key: 7, at: time.Now()})
		if c.draining {
			beat("i-1", true, 2)
		}
		beat("i-2", false, 1)
		if got := n.poison.Standing(time.Now(), 7).Ends; got != c.want {
			t.Errorf("%s: got %d ends under the request, want %d", c.name, got, c.want)
		}
	}
}
