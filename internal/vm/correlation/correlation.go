// Package correlation correlates the calls that an upstream makes with the
// requests that it runs.
//
// A call carries no id of its parent request. But it arrives at the node that
// knows which requests its upstream runs, and its deadline is that of its
// parent or the end of the longest timeout of its own kind, whichever is
// sooner. So a call with less than the full timeout is attributed to the
// running request that has the same deadline. A call with the full timeout is
// attributed to a running request of a kind that was found to make such calls.
//
// Clients' requests match a deadline by chance occasionally. A route counts as
// one of nested calls only if most of its requests match, or if the nodes that
// run them report that only upstreams call the route.
package correlation

import (
	"sync"
	"time"

	"heathershed/internal/contract"
)

const (
	// The deadline of a call, computed on arrival, may be up to earlyTolerance
	// before and up to lateTolerance after that of its parent: timeouts are
	// rounded to milliseconds, and a busy node reads requests late.
	earlyTolerance = 3 * time.Millisecond
	lateTolerance  = 10 * time.Millisecond
	// fullTolerance is how close to the longest timeout of its route the time
	// left of a request must be to count as the full timeout.
	fullTolerance = 5 * time.Millisecond
	// matchWeight is the weight of one request in a share of matches.
	matchWeight = 0.1
	// majority is the share of matches above which a route counts as one of
	// nested calls.
	majority = 0.5
	// minRequests is the number of requests that a share must be based on.
	minRequests = 3
	// maxRoutes bounds the routes that are remembered.
	maxRoutes = 4096
	// authenticatedFor is how long a route counts as one of clients after one of them
	// has presented a key.
	authenticatedFor = time.Minute
)

// Parent is what a nested call inherits from the request that it belongs to.
type Parent struct {
	// ID is the id of the parent's attempt.
	ID string
	// Kind is the parent's route.
	Kind string
	// Level is the priority level of the root request.
	Level contract.Level
	// Admitted is the threshold that the root request met at the ingress.
	Admitted contract.Level
	// Workspace is the name of the workspace that the root request belongs to; empty
	// if it has none, or if requests of several workspaces may be the parent.
	Workspace string
	// Deadline is the parent's deadline as its upstream knows it.
	Deadline time.Time
}

// share is a moving share of matches. The zero value is based on no requests.
type share struct {
	value float64
	count int
}

func (s *share) record(matched bool) {
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

func (s *share) isMajority() bool { return s.count >= minRequests && s.value > majority }

// route holds what is known of the requests of one route.
type route struct {
	// longest is the longest time that a request had left on arrival.
	longest time.Duration
	// all is the share of matches of all requests, shorter that of the
	// requests with less than the full timeout.
	all, shorter share
	// callsOnly: the nodes that run the route report that only upstreams call
	// it.
	callsOnly bool
	// parents counts the requests of the route that matched a running request,
	// by the kind of the latter.
	parents map[string]int
	// authenticated is when the last request of the route presented a key; the zero
	// time if none has.
	authenticated time.Time
}

// Tracker holds the requests that the upstream runs. Use New. It is safe for
// concurrent use.
type Tracker struct {
	mu      sync.Mutex
	next    uint64
	running map[uint64]Parent
	routes  map[string]*route
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{running: make(map[uint64]Parent), routes: make(map[string]*route)}
}

// Begin records a request that is sent to the upstream. End must be called with
// the returned number.
func (t *Tracker) Begin(p Parent) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	t.running[t.next] = p
	return t.next
}

// End removes a request.
func (t *Tracker) End(number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, number)
}

// Origin is where a request comes from.
type Origin struct {
	// Nested says that it is a call of the upstream, under Parent.
	Nested bool
	Parent Parent
}

// Find returns the origin of a request of the route that arrives now with the
// given time left.
func (t *Tracker) Find(now time.Time, name string, left time.Duration) Origin {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.route(name)
	if r == nil {
		return Origin{}
	}
	if p, ok := t.parentOf(now, name, left, r); ok {
		return Origin{Nested: true, Parent: p}
	}
	return Origin{}
}

// Authenticated records a request of the route that has presented a key: it is a
// client's.
func (t *Tracker) Authenticated(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.route(name); r != nil {
		r.authenticated = now
		r.all.record(false)
	}
}

// FindUnauthenticated is Find for a request without a key where clients need one. A
// call of the upstream has none, so any request that may be one counts as one: a route
// on which clients have presented keys recently needs the same proof as in Find, any
// other route only a running request that may have made the call.
//
// known reports whether requests of the route are known to be calls, also if no running
// request can have made this one.
func (t *Tracker) FindUnauthenticated(now time.Time, name string, left time.Duration) (o Origin, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.route(name)
	if r == nil {
		return Origin{}, false
	}
	if p, ok := t.parentOf(now, name, left, r); ok {
		return Origin{Nested: true, Parent: p}, true
	}
	known = r.callsOnly || r.all.isMajority() || r.shorter.isMajority()
	if now.Sub(r.authenticated) < authenticatedFor && !known {
		return Origin{}, false
	}
	if p, matched := t.nearest(now.Add(left), name); matched {
		return Origin{Nested: true, Parent: p}, true
	}
	if p, found := t.lowest(r, name, now.Add(left)); found {
		return Origin{Nested: true, Parent: p}, true
	}
	p, found := t.latest(name)
	return Origin{Nested: found, Parent: p}, known || found
}

// latest returns the running request, of another route, that ends last: the upstream
// reads requests late at times, and its calls seem to end after their parents then.
func (t *Tracker) latest(name string) (p Parent, found bool) {
	var w workspaces
	for _, r := range t.running {
		if r.Kind == name {
			continue
		}
		w.add(r)
		if !found || r.Deadline.After(p.Deadline) {
			p, found = r, true
		}
	}
	p.Workspace = w.only()
	return p, found
}

// workspaces collects the workspaces of the requests that may be the parent of a call.
// An upstream must not get the name of another workspace than the call's, so it gets
// none where they differ.
type workspaces struct {
	name          string
	known, differ bool
}

func (w *workspaces) add(p Parent) {
	w.differ = w.differ || w.known && p.Workspace != w.name
	w.name, w.known = p.Workspace, true
}

// only returns the name that all of them have, or the empty string.
func (w *workspaces) only() string {
	if w.differ {
		return ""
	}
	return w.name
}

// parentOf returns the parent of a request, and false if the request counts as
// a client's.
func (t *Tracker) parentOf(now time.Time, name string, left time.Duration, r *route) (Parent, bool) {
	p, matched := t.nearest(now.Add(left), name)
	r.longest = max(r.longest, left)
	isFull := r.longest-left < fullTolerance
	r.all.record(matched)
	if !isFull {
		r.shorter.record(matched)
	}
	if !r.all.isMajority() && !r.shorter.isMajority() && !r.callsOnly {
		return Parent{}, false
	}
	if matched {
		r.parents[p.Kind]++
	}
	if matched && r.mayMake(p.Kind) {
		return p, true
	}
	if matched || r.callsOnly || isFull && r.shorter.isMajority() {
		return t.lowest(r, name, now.Add(left))
	}
	return Parent{}, false
}

// SetCallsOnly records what a node that runs the route reports: whether only
// upstreams call it.
func (t *Tracker) SetCallsOnly(name string, only bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.route(name); r != nil {
		r.callsOnly = only
	}
}

// route returns the route of the name, or nil if the limit of routes is
// reached.
func (t *Tracker) route(name string) *route {
	r := t.routes[name]
	if r == nil && len(t.routes) < maxRoutes {
		r = &route{parents: make(map[string]int)}
		t.routes[name] = r
	}
	return r
}

// nearest returns the running request, of another route, with the nearest
// deadline within the tolerances; of several the one that began first.
func (t *Tracker) nearest(deadline time.Time, name string) (p Parent, found bool) {
	distance := lateTolerance + earlyTolerance
	first := uint64(0)
	var w workspaces
	for number, r := range t.running {
		diff := deadline.Sub(r.Deadline)
		if r.Kind == name || diff < -earlyTolerance || diff > lateTolerance {
			continue
		}
		w.add(r)
		if diff = max(diff, -diff); diff < distance || diff == distance && number < first {
			p, distance, first, found = r, diff, number, true
		}
	}
	p.Workspace = w.only()
	return p, found
}

// lowest returns the running request with the lowest level among those that end
// after the call and may make it; which one of them does can't be determined.
// Its id and kind are empty if the candidates are of several kinds and no kind
// has been found yet to make such calls.
func (t *Tracker) lowest(r *route, name string, deadline time.Time) (p Parent, found bool) {
	certain := true
	first := uint64(0)
	var w workspaces
	for number, c := range t.running {
		if c.Kind == name || c.Deadline.Before(deadline.Add(-earlyTolerance)) || !r.mayMake(c.Kind) {
			continue
		}
		w.add(c)
		certain = certain && (!found || c.Kind == p.Kind)
		if !found || c.Level < p.Level || c.Level == p.Level && number < first {
			p, first, found = c, number, true
		}
	}
	if !certain && len(r.parents) == 0 {
		p.ID, p.Kind = "", ""
	}
	p.Workspace = w.only()
	return p, found
}

// mayMake reports whether requests of a kind may make such calls: the kind has
// at least a fifth of the matches of the most frequent one. Chance matches are
// fewer. Before the first match, every kind may.
func (r *route) mayMake(kind string) bool {
	const maxRatio = 5
	most := 0
	for _, n := range r.parents {
		most = max(most, n)
	}
	return r.parents[kind]*maxRatio >= most
}
