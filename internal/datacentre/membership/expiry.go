package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	linkpb "heathershed/api/link"
)

const (
	// lapsePart is the part of the live VMs that may lapse within one lease:
	// one in lapsePart, and at least minLapses. A store that lost its list must
	// not empty ours.
	lapsePart = 10
	minLapses = 3
	// maxLapseGap is the longest time between two calls of Lapse over which
	// this node counts as having watched: after a longer pause of its own it
	// starts anew.
	maxLapseGap = 30 * time.Second
)

// lapseGuard keeps what bounds the lapses.
type lapseGuard struct {
	called   time.Time // last call
	watching time.Time // since when calls came without a long gap
	window   time.Time // start of the present lease-long window
	spent    int       // lapses in the window
}

// ExpireLeases concludes which leases have lapsed and returns the records to pass on
// and to write to the store. storeAnsweredSince is the time since which this
// node has had an answer to every call to the store; the zero time means that
// the store doesn't answer now. A lease lapses where this node saw no sign of
// it for ttl, while the store answered and this node itself watched all that
// time. At most a tenth of the list, and at least 3, lapse within one ttl.
// Call it every few seconds.
func (v *View) ExpireLeases(now, storeAnsweredSince time.Time, ttl time.Duration) (lapsed []*linkpb.Member) {
	since := v.lapses.observe(now, ttl)
	if storeAnsweredSince.IsZero() {
		return nil
	}
	if storeAnsweredSince.After(since) {
		since = storeAnsweredSince
	}
	if now.Sub(since) < ttl {
		return nil
	}
	budget := max(minLapses, v.live/lapsePart) - v.lapses.spent
	for _, m := range v.overdue(now, ttl) {
		if len(lapsed) >= budget {
			break
		}
		next := proto.Clone(m).(*linkpb.Member)
		next.State = linkpb.MemberState_MEMBER_STATE_LAPSED
		next.Sequence++
		v.put(now, next)
		lapsed = append(lapsed, next)
	}
	v.lapses.spent += len(lapsed)
	return lapsed
}

// observe notes a call and returns the time since which this node watches.
func (g *lapseGuard) observe(now time.Time, ttl time.Duration) time.Time {
	if g.called.IsZero() || now.Sub(g.called) > maxLapseGap || now.Before(g.called) {
		g.watching = now
	}
	g.called = now
	if g.window.IsZero() || now.Sub(g.window) >= ttl {
		g.window = now
		g.spent = 0
	}
	return g.watching
}

// overdue returns the live records without a sign for ttl, the longest silent
// first.
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

// RecordContact notes a sign of life from a VM other than its lease, such as a
// heartbeat on a link: a VM that is cut off from the store but lives doesn't
// lapse here.
func (v *View) RecordContact(now time.Time, vm string) {
	if r := v.records[vm]; r != nil && now.After(r.seen) {
		r.seen = now
	}
}
