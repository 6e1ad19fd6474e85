// Package fleet tracks the upstreams of all services as seen by one node, and
// chooses the upstream for each request.
//
// The load of an upstream is reported with replies and heartbeats; between two
// reports the node adds the requests that it has sent itself. A choice made on
// outdated load does no harm: the scheduler beside the upstream decides, and
// rejects a request that it has no room for with the verdict "not run".
package fleet

import (
	"slices"
	"sync"
	"time"

	"heathershed/internal/contract"
	"heathershed/internal/vm/instance"
	"heathershed/internal/vm/upstreamload"
)

// Upstream is an upstream as announced by the node beside it.
type Upstream struct {
	// VM names the node.
	VM, Service, Datacentre string
	// Instance identifies the upstream's process; it changes with each restart.
	Instance string
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Ready reports whether the upstream takes requests.
	Ready bool
}

// Load is the load of an upstream as reported by its scheduler.
type Load struct {
	InFlight, Waiting, Slots int
	// Latency is the mean of the request kind that was answered, or of all kinds
	// in a load reported without a reply; 0 if unknown.
	Latency time.Duration
	// LossRate is the share of the recent requests that the upstream has not
	// answered, whoever has sent them.
	LossRate float64
	// Draining reports that the upstream takes no requests now.
	Draining bool
	// Cold reports that the upstream is still warming up.
	Cold bool
	// PacedUntil is when the limit that the upstream names has room for another
	// request; zero if it has room now.
	PacedUntil time.Time
	// Upstream is the load that the upstream itself reports, as the node beside it has
	// smoothed it.
	Upstream upstreamload.Report
	// Report is what the node beside the upstream has heard of the instance.
	Report instance.Report
}

// Query asks for the upstream of one attempt.
type Query struct {
	Service, Kind string
	// Order says that the request is an order, or a call made for one.
	Order bool
	// Exclude lists the VMs that were tried already.
	Exclude []string
	// AvoidLimited excludes upstreams that name a limit where others don't.
	AvoidLimited bool
	// Only, if not empty, names the one VM that may be chosen.
	Only string
	// Random seeds the random part of the costs.
	Random uint64
}

// Choice is a chosen upstream. Each Choice must be passed to Done exactly once.
type Choice struct {
	Upstream
	// Report is what this node has heard of the instance.
	Report instance.Report
	// NoWait says that the upstream names a limit and another one does not: the
	// request is better sent there than kept waiting.
	NoWait bool
	e      *entry
}

// Result is the outcome of an attempt.
type Result struct {
	Verdict contract.Verdict
	Reason  contract.Reason
	Kind    string
	// Load is nil if no reply arrived.
	Load *Load
}

// entry is the state of one upstream.
type entry struct {
	Upstream
	side   side
	linked bool
	load   Load
	loadAt time.Time
	// sent counts the requests sent since load was reported, outstanding those
	// that have not ended.
	sent, outstanding int
	// waitingSince is when an attempt last ended, or when the first of the
	// outstanding requests was sent if that is later.
	waitingSince time.Time
	// rejectedAt is the end of the last attempt with the verdict "not run".
	rejectedAt time.Time
	// latency is by request kind.
	latency map[string]latency
	// overall is the latency over all kinds, as the last heartbeat reported it.
	overall  latency
	failures failureRate
	// report is the newest one of the VM, also if Instance is not known.
	report  instance.Report
	backoff limitBackoff
	// reported is the newest load that the instance reports itself.
	reported reported
}

// Fleet holds the upstreams that a node knows. It is safe for concurrent use.
// Methods that depend on the time take it as an argument.
type Fleet struct {
	datacentre string

	mu        sync.Mutex
	byVM      map[string]*entry
	byService map[string][]*entry
	// reportedAt is when an upstream of a service was last heard to report its load.
	reportedAt map[string]time.Time
}

// New returns an empty Fleet for a node in the data centre.
func New(datacentre string) *Fleet {
	return &Fleet{
		datacentre: datacentre,
		byVM:       make(map[string]*entry),
		byService:  make(map[string][]*entry),
		reportedAt: make(map[string]time.Time),
	}
}

// Put adds or updates an upstream as announced by its node. The state of
// another instance or service at the same VM is discarded, except for the link
// and the report: a node that has just started does not know its instance yet.
func (f *Fleet) Put(u Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.byVM[u.VM]
	if e == nil || e.Instance != u.Instance || e.Service != u.Service {
		fresh := &entry{latency: make(map[string]latency)}
		if e != nil {
			fresh.linked, fresh.report = e.linked, e.report
		}
		f.remove(u.VM)
		e = fresh
		f.byVM[u.VM] = e
		f.byService[u.Service] = append(f.byService[u.Service], e)
	}
	e.Upstream = u
	e.side = far
	if u.Datacentre == f.datacentre {
		e.side = near
	}
	e.load.Draining = false
}

// Remove removes a VM.
func (f *Fleet) Remove(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(vm)
}

// remove removes a VM from both indexes. The caller holds f.mu.
func (f *Fleet) remove(vm string) {
	e := f.byVM[vm]
	if e == nil {
		return
	}
	delete(f.byVM, vm)
	f.byService[e.Service] = slices.DeleteFunc(f.byService[e.Service], func(o *entry) bool { return o == e })
}

// SetLinked records whether calls can be sent to a VM. The VM may be unknown
// yet.
func (f *Fleet) SetLinked(vm string, up bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.byVM[vm]
	if e == nil {
		e = &entry{Upstream: Upstream{VM: vm}, latency: make(map[string]latency)}
		f.byVM[vm] = e
	}
	e.linked = up
}

// UpdateLoad records a load that was reported without a reply. It reports
// whether the load's report is news.
func (f *Fleet) UpdateLoad(now time.Time, vm string, load Load) (isNews bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.byVM[vm]; e != nil {
		f.setLoad(now, e, load)
		e.overall = latency{value: load.Latency, at: now}
	}
	return f.hear(vm, load.Report)
}

// setLoad replaces the load by a newer one.
func (f *Fleet) setLoad(now time.Time, e *entry, load Load) {
	e.load, e.loadAt = load, now
	e.sent = 0
	f.hearLoad(now, e, load)
	if load.Slots > 0 {
		e.Slots = load.Slots
	}
}

// Done records the outcome of an attempt. It reports whether the report in the
// result's load is news.
func (f *Fleet) Done(now time.Time, c Choice, r Result) (isNews bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := c.e
	e.outstanding--
	e.waitingSince = now
	if r.Load != nil {
		isNews = f.hear(e.VM, r.Load.Report)
		f.setLoad(now, e, *r.Load)
		if r.Load.Latency > 0 {
			e.latency[r.Kind] = latency{r.Load.Latency, now, r.Load.Upstream.RunPace}
		}
	} else {
		e.sent = max(e.sent-1, 0)
	}
	e.backoff.observe(now, r.Reason == contract.ReasonUpstreamLimit)
	switch {
	case r.Verdict == contract.NotRun:
		e.rejectedAt = now
	case r.Reason == contract.ReasonCancelled:
	default:
		e.failures.add(now, r.Verdict != contract.Ran)
	}
	return isNews
}

// Counts returns the number of known VMs, and of those that can take requests.
func (f *Fleet) Counts() (known, usable int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.byVM {
		known++
		if e.usable() {
			usable++
		}
	}
	return known, usable
}

// CountService returns the number of known VMs with an upstream of the service, and
// of those that can take requests.
func (f *Fleet) CountService(service string) (known, usable int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.byService[service] {
		known++
		if e.usable() {
			usable++
		}
	}
	return known, usable
}

// usable reports whether requests can be sent to the upstream. A load that
// reports draining is valid only until the next one: loads of one node arrive
// over several paths, and an old one may arrive last.
func (e *entry) usable() bool {
	return e.linked && e.Ready && !e.load.Draining && !(e.report.Leaving && e.report.Instance == e.Instance)
}
