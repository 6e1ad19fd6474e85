package instance

import (
	"testing"
	"time"
)

// TestLimitFollowsTheNewestAnswer lets answers overtake each other: an answer
// that may be older than the limit in force never loosens it.
func TestLimitFollowsTheNewestAnswer(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	limit := func(limit float64) Notice { return Notice{Limited: true, Limit: limit} }
	none := Notice{}
	type answer struct {
		sent, read int // ms
		says       Notice
		keep       bool
		id         string
		want       Notice
	}
	cases := []struct {
		name    string
		answers []answer
	}{
		{"named, then ended", []answer{{0, 10, limit(8), false, "a", limit(8)}, {20, 30, none, false, "a", none}}},
		{"slow answer from before the limit", []answer{{5, 10, limit(8), false, "a", limit(8)}, {0, 30, none, false, "a", limit(8)}}},
		{"lowered", []answer{{0, 10, limit(8), false, "a", limit(8)}, {5, 20, limit(3), false, "a", limit(3)}}},
		{"raised", []answer{{0, 10, limit(3), false, "a", limit(3)}, {11, 20, limit(8), false, "a", limit(8)}}},
		{"higher limit crosses a lower one", []answer{{2, 10, limit(3), false, "a", limit(3)}, {1, 20, limit(8), false, "a", limit(3)}}},
		{"lower limit crosses the end", []answer{{0, 5, limit(3), false, "a", limit(3)}, {6, 20, none, false, "a", none}, {4, 30, limit(3), false, "a", limit(3)}, {31, 40, none, false, "a", none}}},
		{"unreadable", []answer{{0, 10, limit(8), false, "a", limit(8)}, {20, 30, none, true, "a", limit(8)}}},
		{"zero", []answer{{0, 10, limit(0), false, "a", limit(0)}, {20, 30, none, false, "a", none}}},
		{"another instance", []answer{{0, 10, limit(8), false, "x", none}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tr := NewTracker(address, "span")
			tr.HandleHeartbeat(at(0), heartbeat("a", 1))
			for i, a := range tc.answers {
				tr.HandleAnswer(at(a.read), Answer{Notice: a.says, Instance: a.id, Sent: at(a.sent), KeepLimit: a.keep})
				if got := tr.State().Notice; got != a.want {
					t.Fatalf("after answer %d: got %+v, want %+v", i, got, a.want)
				}
			}
		})
	}
}

func TestNewInstanceStartsWithoutNotice(t *testing.T) {
	tr := NewTracker(address, "span")
	tr.HandleHeartbeat(time.Unix(0, 0), heartbeat("a", 1))
	tr.HandleAnswer(time.Unix(1, 0), Answer{Instance: "a", Notice: Notice{Limited: true, Limit: 2, Leaving: true}})
	tr.HandleHeartbeat(time.Unix(2, 0), heartbeat("b", 1))
	if got := tr.State(); got.Notice != (Notice{}) || !got.Ready {
		t.Fatalf("got %+v, want a ready instance that has said nothing", got)
	}
}

func TestInstanceThatSaysItLeavesNeverReturns(t *testing.T) {
	says := func(id string, n Notice) func(*Tracker) Change {
		return func(tr *Tracker) Change { return tr.HandleAnswer(time.Unix(0, 0), Answer{Instance: id, Notice: n}) }
	}
	run(t, []step{
		{"first", handle(heartbeat("a", 1)), Started, "a", true},
		{"an answer of another instance", says("x", Notice{Leaving: true}), Same, "a", true},
		{"says that it leaves", says("a", Notice{Leaving: true}), Leaving, "a", false},
		{"says it again", says("a", Notice{Leaving: true}), Same, "a", false},
		{"slow answer from before", says("a", Notice{}), Same, "a", false},
		{"heartbeat that says ready", handle(heartbeat("a", 2)), Same, "a", false},
		{"refuses connections", func(tr *Tracker) Change { return tr.ConnectionRefused("a") }, Same, "a", false},
		{"heartbeat after that", handle(heartbeat("a", 3)), Same, "a", false},
		{"new instance", handle(heartbeat("b", 1)), Started, "b", true},
	})
}

// TestOtherNodesAreBelievedUntilTheFirstAnswer restarts the node: it knows
// nothing but what other nodes have heard, which may be old.
func TestOtherNodesAreBelievedUntilTheFirstAnswer(t *testing.T) {
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	recall := func(id string, n Notice) func(*Tracker) Change {
		return func(tr *Tracker) Change { return tr.Recall(at(10), Report{Instance: id, Notice: n}) }
	}
	answer := func(sent int64, n Notice) func(*Tracker) Change {
		return func(tr *Tracker) Change {
			return tr.HandleAnswer(at(20), Answer{Instance: "a", Sent: at(sent), Notice: n})
		}
	}
	limit := func(limit float64) Notice { return Notice{Limited: true, Limit: limit} }
	run(t, []step{
		{"record", func(tr *Tracker) Change { return tr.Restore(stored("a")) }, Started, "a", false},
		{"health check", func(tr *Tracker) Change { return tr.Healthy("a") }, Started, "a", true},
		{"limit of another instance", recall("b", limit(1)), Same, "a", true},
		{"limit", recall("a", limit(8)), Limited, "a", true},
		{"higher limit", recall("a", limit(9)), Same, "a", true},
		{"lower limit", recall("a", limit(3)), Limited, "a", true},
		{"nothing heard", recall("a", Notice{}), Same, "a", true},
		{"answer to a request from before", answer(9, Notice{}), Same, "a", true},
		{"answer to a request after that", answer(11, Notice{}), Limited, "a", true},
		{"another node has an old limit", recall("a", limit(3)), Same, "a", true},
		{"new instance", handle(heartbeat("b", 1)), Started, "b", true},
		{"leaves", recall("b", Notice{Leaving: true}), Leaving, "b", false},
		{"heartbeat that says ready", handle(heartbeat("b", 2)), Same, "b", false},
	})
}
