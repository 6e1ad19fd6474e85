// Package quota enforces the limits of the catalogue at one upstream: the rate
// and the concurrency of a kind, its share of the slots, and a fair share for
// every owner.
//
// Shares apply only while others want the slots: a kind or an owner that is
// alone may use all of them. When the slots become scarce, a kind may hold no
// more than its own share. An owner always has its fair share, which is the
// slots divided by the number of owners that have recently made calls. Beyond
// that it may use all but one of the slots that the others leave. So a flood of
// one owner's lookups takes nothing from an owner that stays within its fair
// share, and owners with occasional calls keep no more than one slot idle. Calls
// that wait for a slot count as well. A limited number of calls may wait, fewer
// in a flood.
//
// Orders are counted separately: the shares of an order kind apply among orders
// only, so an order is never rejected because of lookups, whoever owns them.
//
// The rate of a kind applies to all upstreams of its service together. It is
// divided evenly among them, and each enforces its part by a token bucket.
package quota

import (
	"math"
	"sync"
	"time"

	"heathershed/internal/contract"
)

const (
	// burst is the time for which a bucket may accumulate tokens.
	burst = 200 * time.Millisecond
	// activeFor is how long an owner counts as active after a call.
	activeFor = time.Second
	// scarceAt is the share of the slots in use from which on they are scarce. It
	// is the use that admission must see before it raises its limit: where the
	// slots are that limit, shares must not keep it low.
	scarceAt = 0.8
	// busyRetryAfter is when to retry after a rejection by concurrency or by
	// share.
	busyRetryAfter = 100 * time.Millisecond
)

// Quota tracks the use of one upstream by kinds and owners. Use New. It is safe
// for concurrent use.
type Quota struct {
	clock func() time.Time

	mu        sync.Mutex
	upstreams float64 // of the service
	kinds     map[string]*kindUse
	owners    map[string]*ownerUse
	groups    [numGroups]groupUse
}

// group separates orders from all other calls.
type group uint8

const (
	groupReads group = iota
	groupOrders
	numGroups
)

// groupUse is the use of the slots by all kinds of a group.
type groupUse struct {
	inFlight int
	active   []*ownerUse // every active owner, and some that no longer are
	flood    flood
}

// kindUse is the use by one kind. Kinds are identified by name, so that the use
// is kept when the catalogue is edited.
type kindUse struct {
	quota    *Quota
	owner    *ownerUse
	group    group
	inFlight int
	bucket   bucket
	done     func() // release, bound once so that Reserve allocates nothing
	dropped  bool   // no longer in the catalogue
}

// ownerUse is the use by one owner, by group.
type ownerUse struct {
	inFlight [numGroups]int
	calledAt [numGroups]time.Time // of the last call
	listed   [numGroups]bool      // is in groupUse.active
}

// New returns an empty quota that reads the time from clock.
func New(clock func() time.Time) *Quota {
	return &Quota{
		clock:     clock,
		upstreams: 1,
		kinds:     make(map[string]*kindUse),
		owners:    make(map[string]*ownerUse),
	}
}

// SetKinds sets the kinds of a new catalogue and the number of upstreams of the
// service; less than 1 counts as 1. Calls in flight stay counted.
func (q *Quota) SetKinds(kinds []*contract.Kind, upstreams int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.upstreams = float64(max(upstreams, 1))
	present := make(map[string]bool, len(kinds))
	for _, k := range kinds {
		present[k.Name] = true
	}
	for name, use := range q.kinds {
		use.dropped = !present[name]
		if use.dropped && use.inFlight == 0 {
			delete(q.kinds, name)
		}
	}
	for _, k := range kinds {
		q.use(k)
	}
}

// Reserve asks for room for one call. If ok is true, done must be called exactly
// once when the call has ended. If ok is false, done is nil and retryAfter is
// the time until a retry may succeed. slots is the number of calls that
// admission currently lets run.
func (q *Quota) Reserve(k *contract.Kind, slots int) (done func(), retryAfter time.Duration, ok bool) {
	now := q.clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	use := q.use(k)
	q.recordCall(use, now)
	if k.Concurrency > 0 && use.inFlight >= k.Concurrency {
		return nil, busyRetryAfter, false
	}
	if q.overShare(k, use, now, slots) {
		q.groups[use.group].flood.rejected++
		return nil, busyRetryAfter, false
	}
	if wait := use.bucket.take(now, k.Rate/q.upstreams); wait > 0 {
		return nil, wait, false
	}
	use.add(1)
	return use.done, 0, true
}

// use returns the use of the kind, counted for its current owner and group.
func (q *Quota) use(k *contract.Kind) *kindUse {
	use := q.kinds[k.Name]
	if use == nil {
		use = &kindUse{quota: q}
		use.done = use.release
		q.kinds[k.Name] = use
	}
	owner := q.owner(k.Owner)
	group := groupOf(k)
	if use.owner != owner || use.group != group {
		use.move(owner, group)
	}
	return use
}

func (q *Quota) owner(name string) *ownerUse {
	owner := q.owners[name]
	if owner == nil {
		owner = &ownerUse{}
		q.owners[name] = owner
	}
	return owner
}

func groupOf(k *contract.Kind) group {
	if k.IsOrder() || k.Class == contract.ClassOrder {
		return groupOrders
	}
	return groupReads
}

// move counts the calls in flight for another owner or group.
func (u *kindUse) move(owner *ownerUse, group group) {
	n := u.inFlight
	if u.owner != nil {
		u.add(-n)
	}
	u.owner, u.group, u.inFlight = owner, group, 0
	u.add(n)
}

// add counts n more calls in flight.
func (u *kindUse) add(n int) {
	u.inFlight += n
	u.owner.inFlight[u.group] += n
	u.quota.groups[u.group].inFlight += n
}

// release ends one call.
func (u *kindUse) release() {
	u.quota.mu.Lock()
	defer u.quota.mu.Unlock()
	if u.inFlight > 0 {
		u.add(-1)
	}
}

// recordCall makes the owner of the use an active one.
func (q *Quota) recordCall(use *kindUse, now time.Time) {
	owner := use.owner
	owner.calledAt[use.group] = now
	g := &q.groups[use.group]
	g.flood.recordCall(now)
	if !owner.listed[use.group] {
		owner.listed[use.group] = true
		g.active = append(g.active, owner)
	}
}

// overShare reports whether one more call would exceed the share of its kind or
// its owner while the slots are scarce.
func (q *Quota) overShare(k *contract.Kind, use *kindUse, now time.Time, slots int) bool {
	g := &q.groups[use.group]
	if float64(g.inFlight) < scarceAt*float64(slots) {
		return false
	}
	if use.inFlight < g.inFlight && use.inFlight >= kindShare(k, slots) {
		return true
	}
	return g.takesFromOthers(use.owner, use.group, max(slots, 1), now)
}

// takesFromOthers reports whether one more call of the owner is over its fair
// share and would take slots that others use, or the one that is reserved for
// the next call of an owner below its fair share.
func (g *groupUse) takesFromOthers(owner *ownerUse, id group, slots int, now time.Time) bool {
	active := g.activeOwners(id, now)
	fair := (slots + active - 1) / active
	if active <= 1 || owner.inFlight[id] < fair {
		return false
	}
	reserved := 0
	for _, other := range g.active {
		if other.inFlight[id] < fair {
			reserved = 1
		}
	}
	return g.inFlight+reserved >= slots+g.flood.waiting(slots)
}

// kindShare returns the number of slots that the kind may hold, at least 1.
func kindShare(k *contract.Kind, slots int) int {
	if k.Share <= 0 || k.Share >= 1 {
		return math.MaxInt
	}
	return max(1, int(k.Share*float64(slots)))
}

// activeOwners counts the owners that have calls in flight or made one within
// activeFor. It removes the others from the list.
func (g *groupUse) activeOwners(id group, now time.Time) int {
	kept := g.active[:0]
	for _, owner := range g.active {
		if owner.inFlight[id] > 0 || now.Sub(owner.calledAt[id]) < activeFor {
			kept = append(kept, owner)
		} else {
			owner.listed[id] = false
		}
	}
	g.active = kept
	return len(kept)
}
