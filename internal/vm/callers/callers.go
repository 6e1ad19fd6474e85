// Package callers distinguishes the routes that only other upstreams call from
// the routes that clients use.
//
// A client's request enters at any node, whatever the service beside it. A
// nested call enters at a node beside the service that makes it. So a route
// with many requests, all of which came from the nodes of one service, is called
// by upstreams only.
package callers

import (
	"sync"
	"time"
)

const (
	// minRequests is the number of requests from which on a route is judged.
	// Were they clients' requests, some of them would have come from the nodes
	// of other services, except in about one of several hundred cases.
	minRequests = 30
	// generation is how long requests are counted before the counts become the
	// previous generation; the generation before that is dropped.
	generation = 15 * time.Second
	// maxRoutes bounds the routes that are counted.
	maxRoutes = 4096
)

// origin counts the requests of a route by the service they came from.
type origin struct {
	service string // of the first request
	count   int
	mixed   bool // some came from another service
}

// Tracker counts requests by route. Use New. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	since    time.Time
	now, old map[string]*origin // the current and the previous generation
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{now: make(map[string]*origin), old: make(map[string]*origin)} }

// Record counts a request of the route that entered at a node beside the
// service. It reports whether only upstreams call the route.
func (t *Tracker) Record(now time.Time, route, service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	o := t.now[route]
	if o == nil {
		if len(t.now) >= maxRoutes {
			return false
		}
		o = &origin{service: service}
		t.now[route] = o
	}
	o.count++
	o.mixed = o.mixed || o.service != service
	return t.callsOnly(route, o)
}

// rotate begins a new generation if the current one is over.
func (t *Tracker) rotate(now time.Time) {
	if now.Sub(t.since) < generation {
		return
	}
	t.since = now
	t.old, t.now = t.now, make(map[string]*origin)
}

func (t *Tracker) callsOnly(route string, o *origin) bool {
	count := o.count
	if old := t.old[route]; old != nil {
		if old.mixed || old.service != o.service {
			return false
		}
		count += old.count
	}
	return !o.mixed && count >= minRequests
}
