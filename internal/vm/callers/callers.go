// Package callers tells, at the door of an upstream, the routes that only other
// upstreams call from those that clients use.
//
// Clients come in at the nodes beside all services; calls come in at the nodes
// beside the services that make them. So a route of which many requests came
// from the nodes of one service alone is one of calls.
package callers

import (
	"sync"
	"time"
)

const (
	// enough is the number of requests from which on a route is judged: were
	// they clients', other services would be among them but for one time in
	// some hundreds.
	enough = 30
	// generation is how long counts are kept before they begin to fade.
	generation = 15 * time.Second
	// maxRoutes bounds the routes that are counted.
	maxRoutes = 4096
)

// origin counts where the requests of a route came from.
type origin struct {
	service string
	count   int
	mixed   bool
}

// Tracker counts requests by route. Use New; it is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	since    time.Time
	now, old map[string]*origin
}

// New returns an empty book.
func New() *Tracker { return &Tracker{now: make(map[string]*origin), old: make(map[string]*origin)} }

// Record takes in a request of the route that began at a node beside the service,
// and reports whether the route is one of calls.
func (b *Tracker) Record(now time.Time, route, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn(now)
	o := b.now[route]
	if o == nil {
		if len(b.now) >= maxRoutes {
			return false
		}
		o = &origin{service: service}
		b.now[route] = o
	}
	o.count++
	o.mixed = o.mixed || o.service != service
	return b.isCalls(route, o)
}

// turn begins a new generation where it is time to.
func (b *Tracker) turn(now time.Time) {
	if now.Sub(b.since) < generation {
		return
	}
	b.since = now
	b.old, b.now = b.now, make(map[string]*origin)
}

func (b *Tracker) isCalls(route string, o *origin) bool {
	count := o.count
	if old := b.old[route]; old != nil {
		if old.mixed || old.service != o.service {
			return false
		}
		count += old.count
	}
	return !o.mixed && count >= enough
}
