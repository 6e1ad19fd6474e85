package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	linkpb "heathershed/api/link"
)

const (
	// expiryDivisor and minExpiryBudget limit the leases that may expire within
	// one TTL: one in expiryDivisor of the live VMs, but at least
	// minExpiryBudget. The limit keeps a store that lost its records from
	// emptying this view.
	expiryDivisor   = 10
	minExpiryBudget = 3
	// maxCallGap is the longest time between two calls of ExpireLeases over
	// which this node counts as having observed the store continuously. After a
	// longer pause of its own it starts over.
	maxCallGap = 30 * time.Second
)

// expiryGuard holds the state that limits the expiry of leases.
type expiryGuard struct {
	lastCall time.Time // of ExpireLeases
	since    time.Time // start of the calls without a gap over maxCallGap
	window   time.Time // start of the current window of one TTL
	spent    int       // leases expired in the window
}

// ExpireLeases determines which leases have expired and returns the records to
// forward and to write to the store. storeAnsweredSince is the time since which
// the store has responded to every call of this node; the zero time means that
// it does not respond now. A lease expires if this node saw no renewal and
// had no other contact with its VM for ttl, while the store responded and this
// node itself observed it all that time. At most a tenth of the live VMs, but at
// least 3, expire within one ttl. Call it every few seconds.
func (v *View) ExpireLeases(now, storeAnsweredSince time.Time, ttl time.Duration) (expired []*linkpb.Member) {
	since := v.expiry.observe(now, ttl)
	if storeAnsweredSince.IsZero() {
		return nil
	}
	if storeAnsweredSince.After(since) {
		since = storeAnsweredSince
	}
	if now.Sub(since) < ttl {
		return nil
	}
	budget := max(minExpiryBudget, v.live/expiryDivisor) - v.expiry.spent
	for _, m := range v.overdue(now, ttl) {
		if len(expired) >= budget {
			break
		}
		next := proto.Clone(m).(*linkpb.Member)
		next.State = linkpb.MemberState_MEMBER_STATE_LAPSED
		next.Sequence++
		v.put(now, next)
		expired = append(expired, next)
	}
	v.expiry.spent += len(expired)
	return expired
}

// observe records a call and returns the time since which this node has
// observed the store without a gap.
func (g *expiryGuard) observe(now time.Time, ttl time.Duration) time.Time {
	if g.lastCall.IsZero() || now.Sub(g.lastCall) > maxCallGap || now.Before(g.lastCall) {
		g.since = now
	}
	g.lastCall = now
	if g.window.IsZero() || now.Sub(g.window) >= ttl {
		g.window = now
		g.spent = 0
	}
	return g.since
}

// overdue returns the live records of other VMs that were last seen at least ttl
// ago, in the order in which they were last seen.
func (v *View) overdue(now time.Time, ttl time.Duration) []*linkpb.Member {
	var late []*record
	for vm, r := range v.records {
		if vm == v.self.Vm || !IsLive(r.member) || now.Sub(r.seen) < ttl {
			continue
		}
		late = append(late, r)
	}
	slices.SortFunc(late, func(a, b *record) int {
		if c := a.seen.Compare(b.seen); c != 0 {
			return c
		}
		return compareVM(a.member, b.member)
	})
	members := make([]*linkpb.Member, len(late))
	for i, r := range late {
		members[i] = r.member
	}
	return members
}

// RecordContact records contact with a VM other than a renewal, such as a
// heartbeat on a link: the lease of a VM that is alive but cut off from the
// store does not expire here.
func (v *View) RecordContact(now time.Time, vm string) {
	if r := v.records[vm]; r != nil && now.After(r.seen) {
		r.seen = now
	}
}
