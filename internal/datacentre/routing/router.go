package routing

import (
	"sync"
	"time"

	"heathershed/internal/contract"
)

// Router is the table of a node behind a mutex, safe for concurrent use. It
// reads no clock: every method takes the time, which should not decrease.
type Router struct {
	mu    sync.Mutex
	clock clock
	t     *table
}

// New returns a Router without targets.
func New(cfg Config) *Router { return &Router{t: newTable(cfg)} }

// SetTargets replaces the list of all targets of all services. What is known about
// those that stay, by VM and incarnation, is kept; a new incarnation starts
// fresh and cold. Where a VM is named twice the higher incarnation counts.
func (r *Router) SetTargets(now time.Time, targets []Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.t.adopt(r.clock.at(now), targets)
}

// Pick chooses the target of one attempt and counts it as in flight until Done.
// The reason is ReasonNone, or ReasonNoUpstream where no target can be used;
// the Choice is then zero.
func (r *Router) Pick(now time.Time, q Query) (Choice, contract.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.t.pick(r.clock.at(now), q)
}

// Done takes in how a picked call ended. It must be called once for each
// Choice; for a zero Choice it does nothing.
func (r *Router) Done(now time.Time, c Choice, res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.t.done(r.clock.at(now), c, &res)
}

// SetLinked takes in whether the link to a VM is up. The link to the node's
// own VM always is.
func (r *Router) SetLinked(now time.Time, vm string, up bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if vm != r.t.cfg.VM {
		r.t.linkStateOf(r.clock.at(now), vm, up)
	}
}

// MarkLeaving takes in that a VM, in this incarnation or an earlier one, is
// leaving. It is not picked any more.
func (r *Router) MarkLeaving(now time.Time, vm string, incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.t.leavingOf(vm, incarnation)
}

// ShedsEverywhere reports whether every target of the service that could be
// used has announced, within Config.MaxLoadAge, that it sheds the level. A caller
// is then told at once when to come back, see retry.Attempt.
func (r *Router) ShedsEverywhere(now time.Time, service string, level contract.Level) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.t.shedsEverywhere(r.clock.at(now), service, level)
}

// LinkTargets returns the targets that this node must hold links to for calls to the
// given services, sorted by VM: for each service SubsetSize usable ones, and
// those chosen before them whose links are down, to be tried again.
func (r *Router) LinkTargets(now time.Time, services []string) []Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.t.linksTo(services)
}

// Snapshot returns the state of every target, sorted by service and VM.
func (r *Router) Snapshot(now time.Time) []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.t.snapshot(r.clock.at(now))
}
