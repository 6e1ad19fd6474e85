// Package correlation ties the calls of an upstream to the requests that it runs.
//
// A call carries no id of its parent, but it comes in at the node that knows
// what its upstream is running, and it ends at its parent's deadline or at the
// longest time that its own kind is given, whichever is sooner. So a call that
// ends sooner is tied to the running request whose deadline it has. One that
// has the whole time of its kind is tied to a running request of a kind that
// was found to make such calls.
//
// Clients' requests match a deadline by chance now and then; a route is taken
// for one of calls only where most of its requests match, or where the doors
// that run it have seen that only upstreams call it.
package correlation

import (
	"sync"
	"time"

	"heathershed/internal/contract"
)

const (
	// early and late bound the difference between the deadline of a call, as
	// it is seen on arrival, and that of its parent: milliseconds are rounded,
	// and a busy node reads late.
	early = 3 * time.Millisecond
	late  = 10 * time.Millisecond
	// whole is how close to the longest time of its kind a request has all of
	// it.
	whole = 5 * time.Millisecond
	// matchWeight is the part that one request has in a share of matches.
	matchWeight = 0.1
	// mostly is the share from which on a route is taken for one of calls.
	mostly = 0.5
	// fewest is the number of requests that a share needs.
	fewest = 3
	// maxRoutes bounds the routes that are remembered.
	maxRoutes = 4096
)

// Parent is what a call inherits from the request it belongs to.
type Parent struct {
	// ID is the parent's attempt.
	ID string
	// Kind is the parent's route.
	Kind string
	// Level is that of the root request.
	Level contract.Level
	// Deadline is the parent's as its upstream knows it.
	Deadline time.Time
}

// share is a moving share of matches. Its zero value is of no requests.
type share struct {
	value float64
	count int
}

func (s *share) note(matched bool) {
	value := 0.0
	if matched {
		value = 1
	}
	if s.count == 0 {
		s.value = value
	}
	s.value += matchWeight * (value - s.value)
	s.count++
}

func (s *share) most() bool { return s.count >= fewest && s.value > mostly }

// route is what is known of the requests of one route.
type route struct {
	// longest is the longest time that a request had left on arrival.
	longest time.Duration
	// all is over all requests, shorter over those without their whole time.
	all, shorter share
	// told: the doors say that only upstreams call it.
	told bool
	// parents counts, by kind, the requests that were found to make such
	// calls.
	parents map[string]int
}

// Tracker holds the requests that the upstream runs. Use New; it is safe for
// concurrent use.
type Tracker struct {
	mu      sync.Mutex
	next    uint64
	running map[uint64]Parent
	routes  map[string]*route
}

// New returns an empty book.
func New() *Tracker {
	return &Tracker{running: make(map[uint64]Parent), routes: make(map[string]*route)}
}

// Begin notes a request that is handed to the upstream; End must be called with
// the returned number.
func (b *Tracker) Begin(p Parent) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	b.running[b.next] = p
	return b.next
}

// End forgets a request.
func (b *Tracker) End(number uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.running, number)
}

// Origin is where a request comes from.
type Origin struct {
	// Nested says that it is a call of the upstream, under Parent.
	Nested bool
	Parent Parent
	// Elapsed is how long a client has waited before this attempt, as far as
	// the time it has left tells.
	Elapsed time.Duration
}

// Find returns the origin of a request of the route that arrives now with so
// much time left.
func (b *Tracker) Find(now time.Time, name string, left time.Duration) Origin {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.route(name)
	if r == nil {
		return Origin{}
	}
	if p, ok := b.parentOf(now, name, left, r); ok {
		return Origin{Nested: true, Parent: p}
	}
	return Origin{Elapsed: r.longest - left}
}

func (b *Tracker) parentOf(now time.Time, name string, left time.Duration, r *route) (Parent, bool) {
	p, matched := b.nearest(now.Add(left), name)
	r.longest = max(r.longest, left)
	isWhole := r.longest-left < whole
	r.all.note(matched)
	if !isWhole {
		r.shorter.note(matched)
	}
	if !r.all.most() && !r.shorter.most() && !r.told {
		return Parent{}, false
	}
	if matched {
		r.parents[p.Kind]++
	}
	if matched && r.makes(p.Kind) {
		return p, true
	}
	if matched || r.told || isWhole && r.shorter.most() {
		return b.lowest(r, name, now.Add(left))
	}
	return Parent{}, false
}

// SetCallsOnly takes in what a door has seen: whether only upstreams call the route.
func (b *Tracker) SetCallsOnly(name string, calls bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.route(name); r != nil {
		r.told = calls
	}
}

func (b *Tracker) route(name string) *route {
	r := b.routes[name]
	if r == nil && len(b.routes) < maxRoutes {
		r = &route{parents: make(map[string]int)}
		b.routes[name] = r
	}
	return r
}

// nearest returns the running request, of another route, whose deadline is
// nearest.
func (b *Tracker) nearest(deadline time.Time, name string) (p Parent, found bool) {
	distance := late + early
	for _, r := range b.running {
		diff := deadline.Sub(r.Deadline)
		if r.Kind == name || diff < -early || diff > late {
			continue
		}
		if diff = max(diff, -diff); diff < distance {
			p, distance, found = r, diff, true
		}
	}
	return p, found
}

// lowest returns the running request with the lowest level that ends after the
// call and may make it: which one of them does can't be told. Its kind is empty
// where that can't be told either.
func (b *Tracker) lowest(r *route, name string, deadline time.Time) (p Parent, found bool) {
	certain := true
	for _, c := range b.running {
		if c.Kind == name || c.Deadline.Before(deadline.Add(-early)) || !r.makes(c.Kind) {
			continue
		}
		certain = certain && (!found || c.Kind == p.Kind)
		if !found || c.Level < p.Level {
			p, found = c, true
		}
	}
	if !certain && len(r.parents) == 0 {
		p.ID, p.Kind = "", ""
	}
	return p, found
}

// makes reports whether requests of a kind may make such calls. Matches by
// chance are few beside the true ones.
func (r *route) makes(kind string) bool {
	const few = 5
	most := 0
	for _, n := range r.parents {
		most = max(most, n)
	}
	return r.parents[kind]*few >= most
}
