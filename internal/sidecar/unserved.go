package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"heathershed/internal/wait"
)

const (
	// unservedInterval is how often a node looks for services without an upstream.
	unservedInterval = 250 * time.Millisecond
	// unservedAfter is how long a service is without one until that is logged.
	unservedAfter = 500 * time.Millisecond
	// While no upstream of a service is known, a node searches for one with pauses
	// of a backoff from minSearchPause to maxSearchPause, and asks peersAsked of the
	// linked nodes each time.
	minSearchPause = 500 * time.Millisecond
	maxSearchPause = listInterval
	peersAsked     = 2
	// listFromSearch is the first search that lists the records as well.
	listFromSearch = 3
)

// outage is the time without an upstream of one service.
type outage struct {
	since  time.Time
	logged bool
}

// unserved tracks the services to which routes send requests and that have no
// usable upstream here.
type unserved struct {
	n       *Node
	outages map[string]*outage
	// searches counts the searches of the present outage; the next one is due at
	// searchAt.
	searches int
	searchAt time.Time
	backoff  wait.Backoff
}

// runUnserved is the task that looks for services without an upstream, tells of
// them, and asks other nodes and the object API where nobody is known.
func (n *Node) runUnserved(ctx context.Context) error {
	u := &unserved{n: n, outages: make(map[string]*outage), backoff: wait.Backoff{Base: minSearchPause, Max: maxSearchPause}}
	for wait.For(ctx, unservedInterval) == nil {
		u.check(time.Now())
	}
	return nil
}

func (u *unserved) check(now time.Time) {
	table := u.n.table.Load()
	if table == nil || u.n.stopping.Load() {
		return
	}
	unknown := false
	routed := make(map[string]bool)
	for _, service := range table.Targets() {
		routed[service] = true
		known, usable := u.n.fleet.CountService(service)
		u.update(now, service, known, usable)
		unknown = unknown || known == 0
	}
	for service := range u.outages {
		if !routed[service] {
			delete(u.outages, service)
		}
	}
	u.search(now, unknown)
}

// update records how many upstreams of a service are known and usable, and logs
// when the last one is lost and when there is one again.
func (u *unserved) update(now time.Time, service string, known, usable int) {
	o := u.outages[service]
	switch {
	case usable > 0 && o == nil:
	case usable > 0:
		delete(u.outages, service)
		if o.logged {
			u.n.log.Info("service has an upstream again", "service", service, "usable", usable, "after_ms", now.Sub(o.since).Milliseconds())
		}
	case o == nil:
		u.outages[service] = &outage{since: now}
		u.n.metrics.unserved.Inc(1)
	case !o.logged && now.Sub(o.since) >= unservedAfter:
		o.logged = true
		u.n.log.Warn("service without an upstream", "service", service, "known", known,
			"linked", u.n.peers.linked(), "for_ms", now.Sub(o.since).Milliseconds())
	}
}

// search asks other nodes for the upstreams of services of which none is known. From
// listFromSearch on, it lists the records in the object API too: one list for each
// node of a fleet that starts would be many.
func (u *unserved) search(now time.Time, unknown bool) {
	if !unknown {
		u.backoff.Reset()
		u.searches, u.searchAt = 0, now
		return
	}
	if now.Before(u.searchAt) {
		return
	}
	u.searches++
	u.searchAt = now.Add(u.backoff.Next())
	u.n.askForMembers()
	if u.searches >= listFromSearch {
		u.n.listDue.Store(true)
		u.n.recordChanged.Send()
	}
}

// askForMembers asks some of the linked nodes for all members that they know.
func (n *Node) askForMembers() {
	open := n.peers.openSessions()
	rand.Shuffle(len(open), func(i, j int) { open[i], open[j] = open[j], open[i] })
	for _, s := range open[:min(peersAsked, len(open))] {
		f := n.newFrame()
		f.FetchMembers = true
		s.Send(f)
	}
}
