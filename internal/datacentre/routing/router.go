package routing

import (
	"sync"
	"time"

	"heathershed/internal/contract"
)

// Router chooses targets for a node. It is safe for concurrent use. It reads no
// clock: every method takes the time, which should not decrease.
type Router struct {
	mu    sync.Mutex
	clock clock
	t     *table
}

// New returns a Router without targets.
func New(cfg Config) *Router { return &Router{t: newTable(cfg)} }

// SetTargets replaces the list of all targets of all services. State is kept
// for targets whose VM and incarnation are unchanged; a new incarnation starts
// without state and warms up. If a VM is listed twice, the higher incarnation
// counts.
func (r *Router) SetTargets(now time.Time, targets []Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.t.setTargets(r.clock.at(now), targets)
}

// Pick chooses the target of one attempt and counts it as in flight until Done.
// The reason is ReasonNone, or ReasonNoUpstream if no target can be used; the
// Choice is then zero.
func (r *Router) Pick(now time.Time, q Query) (Choice, contract.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.t.pick(r.clock.at(now), q)
}

// Done records how a picked call ended. It must be called once for each Choice;
// for a zero Choice it does nothing.
func (r *Router) Done(now time.Time, c Choice, res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.t.done(r.clock.at(now), c, &res)
}

// SetLinked records whether the link to a VM is up. The node's own VM always
// counts as linked.
func (r *Router) SetLinked(now time.Time, vm string, up bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if vm != r.t.cfg.VM {
		r.t.setLinked(r.clock.at(now), vm, up)
	}
}

// MarkLeaving records that a VM is leaving in the given incarnation; an earlier
// incarnation of it counts as leaving too. A higher incarnation can be picked
// again.
func (r *Router) MarkLeaving(now time.Time, vm string, incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.t.markLeaving(vm, incarnation)
}

// ShedsEverywhere reports whether every usable target of the service has
// announced, within Config.MaxLoadAge, that it sheds the level. The caller then
// gets a retry time immediately, see retry.Attempt.
func (r *Router) ShedsEverywhere(now time.Time, service string, level contract.Level) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.t.shedsEverywhere(r.clock.at(now), service, level)
}

// LinkTargets returns the targets that this node must keep links to for calls
// to the given services, sorted by VM. For each service these are SubsetSize
// usable targets and those chosen before them whose links are down, so that
// their links are retried.
func (r *Router) LinkTargets(now time.Time, services []string) []Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.t.linkTargets(services)
}

// Snapshot returns the state of every target, sorted by service and VM.
func (r *Router) Snapshot(now time.Time) []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.t.snapshot(r.clock.at(now))
}
