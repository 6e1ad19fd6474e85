// Package fleet knows the upstreams of all services as one node sees them, and
// chooses the one that a request is sent to.
//
// What is known of an upstream's load rides on answers and heartbeats; between
// two of them the node adds what it has sent itself. The choice is a guess that
// may be wrong at no harm: the door beside the upstream decides, and says "not
// run" where it has no room.
package fleet

import (
	"slices"
	"sync"
	"time"

	"heathershed/internal/contract"
)

// Upstream is one upstream with the node beside it.
type Upstream struct {
	// VM names the node.
	VM, Service, Datacentre string
	// Instance names the upstream's present start.
	Instance string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Ready says that it takes work.
	Ready bool
}

// Load is what a door told about its upstream.
type Load struct {
	InFlight, Waiting, Slots int
	// Latency is of the kind that was asked for; 0 is unknown.
	Latency time.Duration
	// Draining says that the upstream takes no work now.
	Draining  bool
	WarmingUp bool
}

// Query asks for the upstream of one attempt.
type Query struct {
	Service, Kind string
	// Exclude are the VMs that were tried already.
	Exclude []string
	// Random decides between equals.
	Random uint64
}

// Choice is a chosen upstream. Each must be given to Done once.
type Choice struct {
	Upstream
	e *entry
}

// Result is how an attempt ended.
type Result struct {
	Verdict contract.Verdict
	Reason  contract.Reason
	Kind    string
	// Load is nil where no answer came.
	Load *Load
}

// entry is what is known of one upstream.
type entry struct {
	Upstream
	linked bool
	load   Load
	// sent counts requests sent since load was told, out those unanswered.
	sent, out int
	// unanswered is since when nothing came back while out was not 0.
	unanswered time.Time
	// refusedAt is when its door last had no room.
	refusedAt time.Time
	latency   map[string]time.Duration
	failures  decaying
}

// Fleet is safe for concurrent use. Every method takes the time.
type Fleet struct {
	datacentre string

	mu       sync.Mutex
	all      map[string]*entry   // by VM
	services map[string][]*entry // by service
}

// New returns the empty fleet of a node in a data centre.
func New(datacentre string) *Fleet {
	return &Fleet{
		datacentre: datacentre,
		all:        make(map[string]*entry),
		services:   make(map[string][]*entry),
	}
}

// Put takes in an upstream as its node announces it. What was known of another
// start is forgotten.
func (f *Fleet) Put(u Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.all[u.VM]
	if e == nil || e.Instance != u.Instance || e.Service != u.Service {
		fresh := &entry{latency: make(map[string]time.Duration)}
		if e != nil {
			fresh.linked = e.linked
		}
		f.drop(u.VM)
		e = fresh
		f.all[u.VM] = e
		f.services[u.Service] = append(f.services[u.Service], e)
	}
	e.Upstream = u
	e.load.Draining = false
}

// Remove forgets a VM.
func (f *Fleet) Remove(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drop(vm)
}

// drop takes a VM out of both indexes.
func (f *Fleet) drop(vm string) {
	e := f.all[vm]
	if e == nil {
		return
	}
	delete(f.all, vm)
	f.services[e.Service] = slices.DeleteFunc(f.services[e.Service], func(o *entry) bool { return o == e })
}

// SetLinked takes in whether calls can be sent to a VM.
func (f *Fleet) SetLinked(vm string, up bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.all[vm]
	if e == nil {
		e = &entry{Upstream: Upstream{VM: vm}, latency: make(map[string]time.Duration)}
		f.all[vm] = e
	}
	e.linked = up
}

// UpdateLoad takes in a load that came without an answer.
func (f *Fleet) UpdateLoad(vm string, load Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.all[vm]; e != nil {
		e.take(load)
	}
}

// take replaces the load by a newer one.
func (e *entry) take(load Load) {
	e.load = load
	e.sent = 0
	if load.Slots > 0 {
		e.Slots = load.Slots
	}
}

// Done takes in how an attempt ended.
func (f *Fleet) Done(now time.Time, c Choice, r Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := c.e
	e.out--
	e.unanswered = now
	if r.Load != nil {
		e.take(*r.Load)
		if r.Load.Latency > 0 {
			e.latency[r.Kind] = r.Load.Latency
		}
	} else {
		e.sent = max(e.sent-1, 0)
	}
	switch {
	case r.Verdict == contract.NotRun:
		e.refusedAt = now
	case r.Reason == contract.ReasonCancelled:
	default:
		e.failures.add(now, r.Verdict != contract.Ran)
	}
}

// Counts returns the known VMs, and those that can be sent to.
func (f *Fleet) Counts() (known, usable int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.all {
		known++
		if e.usable() {
			usable++
		}
	}
	return known, usable
}

// usable reports whether requests can be sent. A load that says "leaving" holds
// until the next one: loads of one node come on several ways, and an old one
// may be the last to arrive.
func (e *entry) usable() bool { return e.linked && e.Ready && !e.load.Draining }
