// Package quota enforces the limits of the catalogue at one upstream: the rate
// and the concurrency of a kind, its share of the slots, and a bounded share
// for every owner.
//
// Shares bind only while others want the slots. A kind or an owner that is
// alone may use all of them. As soon as the slots run short, a kind may hold no
// more than its own share. An owner always has its fair part, the slots divided
// by the owners that have lately asked; over that it may use what the others
// leave, but for one slot. So a flood of one owner's lookups takes nothing from
// another that stays within its part, and owners that ask now and then keep no
// more than one slot idle. Calls that wait for a slot count too, and a few may,
// fewer in a flood.
//
// Orders are counted apart: the shares of an order kind are taken among
// orders alone, so it is never refused for lookups, of whatever owner.
//
// Rates hold over all upstreams of a service and are divided evenly among
// them, each with a token bucket.
package quota

import (
	"math"
	"sync"
	"time"

	"heathershed/internal/contract"
)

const (
	// burst is the time whose tokens a bucket may save up.
	burst = 200 * time.Millisecond
	// activeFor is how long an owner counts as wanting slots after it asked.
	activeFor = time.Second
	// scarceAt is the part of the slots from which on they run short. It lets so
	// many be used as admission wants to see before it grows its limit: where
	// the slots are that limit, shares must not keep it low.
	scarceAt = 0.8
	// busyRetryAfter is when to come back after a refusal for concurrency or
	// a share.
	busyRetryAfter = 100 * time.Millisecond
)

// Quota holds the use of one upstream by kinds and owners. It is safe for
// concurrent use.
type Quota struct {
	clock func() time.Time

	mu      sync.Mutex
	targets float64
	kinds   map[string]*kindUse
	owners  map[string]*ownerUse
	groups  [numGroups]groupUse
}

// group parts orders from the rest.
type group uint8

const (
	groupReads group = iota
	groupOrders
	numGroups
)

// groupUse is the use of the slots by all kinds of a group.
type groupUse struct {
	inFlight int
	active   []*ownerUse // owners that may count as wanting slots
	flood    flood
}

// kindUse is the use by one kind. Kinds are told apart by name, which outlasts
// edits of the catalogue.
type kindUse struct {
	quota    *Quota
	owner    *ownerUse
	group    group
	inFlight int
	bucket   bucket
	leave    func() // made once, so that Enter allocates nothing
	dropped  bool   // no longer in the catalogue
}

// ownerUse is the use by one owner, orders apart.
type ownerUse struct {
	inFlight [numGroups]int
	askedAt  [numGroups]time.Time
	listed   [numGroups]bool
}

// New returns an empty quota.
func New(clock func() time.Time) *Quota {
	return &Quota{
		clock:   clock,
		targets: 1,
		kinds:   make(map[string]*kindUse),
		owners:  make(map[string]*ownerUse),
	}
}

// Adopt takes the kinds of a new catalogue and the number of upstreams of the
// service. What is in flight stays counted.
func (q *Quota) Adopt(kinds []*contract.Kind, targets int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.targets = float64(max(targets, 1))
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

// Reserve takes one call into the quota. Where ok is true, leave must be called
// exactly once when the call has ended; where it is false, leave is nil and
// retryAfter says when to come back. The slots are those that admission lets
// run at present.
func (q *Quota) Reserve(k *contract.Kind, slots int) (leave func(), retryAfter time.Duration, ok bool) {
	now := q.clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	use := q.use(k)
	q.ask(use, now)
	if k.Concurrency > 0 && use.inFlight >= k.Concurrency {
		return nil, busyRetryAfter, false
	}
	if q.overShare(k, use, now, slots) {
		q.groups[use.group].flood.refused++
		return nil, busyRetryAfter, false
	}
	if wait := use.bucket.take(now, k.Rate/q.targets); wait > 0 {
		return nil, wait, false
	}
	use.add(1)
	return use.leave, 0, true
}

// use returns the use of the kind, filed under its present owner.
func (q *Quota) use(k *contract.Kind) *kindUse {
	use := q.kinds[k.Name]
	if use == nil {
		use = &kindUse{quota: q}
		use.leave = use.release
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

// move files the calls in flight under another owner or group.
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

// ask notes that the owner wants slots.
func (q *Quota) ask(use *kindUse, now time.Time) {
	owner := use.owner
	owner.askedAt[use.group] = now
	g := &q.groups[use.group]
	g.flood.ask(now)
	if !owner.listed[use.group] {
		owner.listed[use.group] = true
		g.active = append(g.active, owner)
	}
}

// overShare reports whether one more call would take more than its share of
// slots that others want.
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
// part, and would take slots that others use, or the one that is kept for the
// next call of those below their part.
func (g *groupUse) takesFromOthers(owner *ownerUse, id group, slots int, now time.Time) bool {
	active := g.activeOwners(id, now)
	fair := (slots + active - 1) / active
	if active <= 1 || owner.inFlight[id] < fair {
		return false
	}
	kept := 0
	for _, other := range g.active {
		if other.inFlight[id] < fair {
			kept = 1
		}
	}
	return g.inFlight+kept >= slots+g.flood.waiting(slots)
}

// kindShare is the number of slots that the kind may hold, at least 1.
func kindShare(k *contract.Kind, slots int) int {
	if k.Share <= 0 || k.Share >= 1 {
		return math.MaxInt
	}
	return max(1, int(k.Share*float64(slots)))
}

// activeOwners counts the owners that have slots or lately asked for some, and
// drops the others from the list.
func (g *groupUse) activeOwners(id group, now time.Time) int {
	kept := g.active[:0]
	for _, owner := range g.active {
		if owner.inFlight[id] > 0 || now.Sub(owner.askedAt[id]) < activeFor {
			kept = append(kept, owner)
		} else {
			owner.listed[id] = false
		}
	}
	g.active = kept
	return len(kept)
}
