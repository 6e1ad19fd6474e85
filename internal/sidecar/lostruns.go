package sidecar

import (
	"slices"
	"sync"
	"time"

	"heathershed/internal/poison"
	"heathershed/internal/vm/instance"
)

const (
	// lostRunAge is the time after which a lost run is no longer related to the end
	// of its upstream, and maxLostRuns bounds those that are kept.
	lostRunAge  = 5 * time.Second
	maxLostRuns = 64
)

// lostRun is a run whose connection to the upstream was lost.
type lostRun struct {
	key   poison.Key
	alone bool // no other request on probation ran
	at    time.Time
}

// lostRuns holds the runs that were lost at an instance of the upstream of which it is
// not known whether it has ended: a proxy may accept connections in its place. The next
// instance shows that it has, an answer to a later request that it has not. It is safe
// for concurrent use.
type lostRuns struct {
	mu       sync.Mutex
	instance string
	runs     []lostRun
}

// add adds a run at an instance.
func (l *lostRuns) add(id string, r lostRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id != l.instance {
		l.instance, l.runs = id, nil
	}
	if len(l.runs) == maxLostRuns {
		l.runs = slices.Delete(l.runs, 0, 1)
	}
	l.runs = append(l.runs, r)
}

// answered drops the runs that were lost before sent: the instance has answered a
// request of that time.
func (l *lostRuns) answered(id string, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id == l.instance {
		l.runs = slices.DeleteFunc(l.runs, func(r lostRun) bool { return r.at.Before(sent) })
	}
}

// take returns the runs that may have ended an instance, and forgets them.
func (l *lostRuns) take(now time.Time, id string) []lostRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id != l.instance {
		return nil
	}
	runs := slices.DeleteFunc(l.runs, func(r lostRun) bool { return now.Sub(r.at) > lostRunAge })
	l.runs = nil
	return runs
}

// blameLostRuns records the end of an instance that was not leaving, under the runs
// that were lost at it.
func (n *Node) blameLostRuns(ended instance.State) {
	if !ended.Ready && !ended.Lost {
		return
	}
	for _, r := range n.lostRuns.take(time.Now(), ended.ID) {
		s := n.poison.Ended(time.Now(), r.key, poison.EndOf(n.cfg.VM, ended.ID), r.alone)
		if s.State != poison.Free {
			n.logStanding("upstream crashed under a request again", "", r.key, s)
		}
		n.reportsDue.Send()
	}
}
