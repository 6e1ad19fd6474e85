package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	linkpb "heathershed/api/link"
)

// record is a member together with when this node last had a sign of its
// lease.
type record struct {
	member *linkpb.Member // immutable
	seen   time.Time
}

// View is what one node knows of all VMs. Records handed out are immutable.
// It is not safe for concurrent use.
type View struct {
	self       *linkpb.Member
	superseded bool
	records    map[string]*record

	version uint64
	digest  uint64
	live    int
	sorted  []*linkpb.Member // nil after a change

	lapses lapseGuard
}

// NewView returns a view that knows only this node's own record, which it
// copies.
func NewView(self *linkpb.Member) *View {
	v := &View{self: proto.Clone(self).(*linkpb.Member), records: make(map[string]*record)}
	v.put(time.Time{}, v.self)
	return v
}

// Apply takes records in, from other nodes or from the store, and returns
// those to pass on: what was news here, and the own record where it had to
// contradict another. Records that break Check are left out. The caller must
// not change the records afterwards.
func (v *View) Apply(now time.Time, members []*linkpb.Member) (changed []*linkpb.Member) {
	for _, m := range members {
		if Check(m) != nil {
			continue
		}
		if m.Vm == v.self.Vm {
			changed = append(changed, v.applySelf(now, m)...)
			continue
		}
		if v.applyOther(now, m) {
			changed = append(changed, m)
		}
	}
	return changed
}

// applySelf handles what others say about this VM. A higher incarnation means
// that another process has taken this VM's place. A lapse of the own
// incarnation is contradicted with a higher sequence.
func (v *View) applySelf(now time.Time, m *linkpb.Member) []*linkpb.Member {
	switch {
	case m.Incarnation > v.self.Incarnation:
		v.superseded = true
		if v.applyOther(now, m) {
			return []*linkpb.Member{m}
		}
		return nil
	case v.superseded || m.Incarnation < v.self.Incarnation || m.Sequence <= v.self.Sequence:
		return nil
	default:
		return []*linkpb.Member{v.changeSelf(now, func(self *linkpb.Member) {
			self.Sequence = m.Sequence + 1
			self.RenewedUnixMs = max(self.RenewedUnixMs, m.RenewedUnixMs+1)
		})}
	}
}

// applyOther reports whether the record was news. A record that differs only
// in a later renewal is kept, but it is no news.
func (v *View) applyOther(now time.Time, m *linkpb.Member) bool {
	known := v.records[m.Vm]
	if known == nil {
		if v.expired(now, m) || len(v.records) >= MaxMembers {
			return false
		}
		v.put(now, m)
		return true
	}
	if !Newer(m, known.member) {
		return false
	}
	if sum(m) == sum(known.member) {
		v.renew(now, m)
		return false
	}
	v.put(now, m)
	return true
}

// put replaces the record of a VM and keeps digest and count.
func (v *View) put(now time.Time, m *linkpb.Member) {
	v.drop(m.Vm)
	v.records[m.Vm] = &record{member: m, seen: now}
	if IsLive(m) {
		v.digest ^= sum(m)
		v.live++
	}
	v.version++
	v.sorted = nil
}

// renew replaces a record by one that differs only in its renewal.
func (v *View) renew(now time.Time, m *linkpb.Member) {
	known := v.records[m.Vm]
	known.member = m
	known.seen = now
	v.sorted = nil
}

func (v *View) drop(vm string) {
	old := v.records[vm]
	if old == nil {
		return
	}
	if IsLive(old.member) {
		v.digest ^= sum(old.member)
		v.live--
	}
	delete(v.records, vm)
	v.version++
	v.sorted = nil
}

// changeSelf makes a new own record. A superseded process keeps its record to
// itself.
func (v *View) changeSelf(now time.Time, change func(self *linkpb.Member)) *linkpb.Member {
	next := v.renewed(now)
	change(next)
	v.self = next
	if !v.superseded {
		v.put(now, next)
	}
	return next
}

// renewed returns a copy of the own record with a renewal that is later than
// all before it, also where the wall clock was set back.
func (v *View) renewed(now time.Time) *linkpb.Member {
	next := proto.Clone(v.self).(*linkpb.Member)
	next.RenewedUnixMs = max(now.UnixMilli(), v.self.RenewedUnixMs+1)
	return next
}

// Self returns the own record.
func (v *View) Self() *linkpb.Member { return v.self }

// Superseded reports whether another process with a higher incarnation has
// taken this VM's place. This process must then stop taking work.
func (v *View) Superseded() bool { return v.superseded }

// SetState changes the own state and returns the record to announce.
func (v *View) SetState(now time.Time, state linkpb.MemberState) *linkpb.Member {
	return v.changeSelf(now, func(self *linkpb.Member) {
		self.State = state
		self.Sequence++
	})
}

// SetSlots changes the own slots and returns the record to announce.
func (v *View) SetSlots(now time.Time, slots uint32) *linkpb.Member {
	return v.changeSelf(now, func(self *linkpb.Member) {
		self.Slots = slots
		self.Sequence++
	})
}

// Renew renews the own lease and returns the record to write to the store.
// Its sequence stays, so other nodes don't pass it on.
func (v *View) Renew(now time.Time) *linkpb.Member {
	next := v.renewed(now)
	v.self = next
	if !v.superseded {
		v.renew(now, next)
	}
	return next
}
