package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	linkpb "heathershed/api/link"
)

// record is a member with the time at which this node last saw a renewal of its
// lease or another sign that it is alive.
type record struct {
	member *linkpb.Member // immutable
	seen   time.Time
}

// View is the set of VMs known to one node. The records that it returns are
// immutable. It is not safe for concurrent use.
type View struct {
	self       *linkpb.Member
	superseded bool
	records    map[string]*record

	version uint64
	digest  uint64
	live    int
	sorted  []*linkpb.Member // cache of Members; nil after a change

	expiry expiryGuard
}

// NewView returns a view that contains only a copy of this node's own record.
func NewView(self *linkpb.Member) *View {
	v := &View{self: proto.Clone(self).(*linkpb.Member), records: make(map[string]*record)}
	v.put(time.Time{}, v.self)
	return v
}

// Apply merges records from other nodes or from the store into the view. It
// returns the records to forward: those that changed the view, and the local
// record if it had to refute another. Records that fail Check are ignored. The
// caller must not change the records afterwards.
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

// applySelf handles records of this VM received from others. A higher
// incarnation means that another process has replaced this one. A newer record
// of the same incarnation, such as the expiry of the lease, is refuted with a
// higher sequence.
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
		return []*linkpb.Member{v.updateSelf(now, func(self *linkpb.Member) {
			self.Sequence = m.Sequence + 1
			self.RenewedUnixMs = max(self.RenewedUnixMs, m.RenewedUnixMs+1)
		})}
	}
}

// applyOther reports whether the record changed the view and is to be
// forwarded. A record that differs only in a later renewal is stored but not
// forwarded.
func (v *View) applyOther(now time.Time, m *linkpb.Member) bool {
	known := v.records[m.Vm]
	if known == nil {
		if v.prunable(now, m) || len(v.records) >= MaxMembers {
			return false
		}
		v.put(now, m)
		return true
	}
	if !Newer(m, known.member) {
		return false
	}
	if recordHash(m) == recordHash(known.member) {
		v.renew(now, m)
		return false
	}
	v.put(now, m)
	return true
}

// put replaces the record of a VM and updates the digest and the live count.
func (v *View) put(now time.Time, m *linkpb.Member) {
	v.remove(m.Vm)
	v.records[m.Vm] = &record{member: m, seen: now}
	if IsLive(m) {
		v.digest ^= recordHash(m)
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

func (v *View) remove(vm string) {
	old := v.records[vm]
	if old == nil {
		return
	}
	if IsLive(old.member) {
		v.digest ^= recordHash(old.member)
		v.live--
	}
	delete(v.records, vm)
	v.version++
	v.sorted = nil
}

// updateSelf replaces the local record by a changed copy. The record of a
// superseded process does not enter the view.
func (v *View) updateSelf(now time.Time, change func(self *linkpb.Member)) *linkpb.Member {
	next := v.renewed(now)
	change(next)
	v.self = next
	if !v.superseded {
		v.put(now, next)
	}
	return next
}

// renewed returns a copy of the local record with a renewal later than all
// before, even if the wall clock was set back.
func (v *View) renewed(now time.Time) *linkpb.Member {
	next := proto.Clone(v.self).(*linkpb.Member)
	next.RenewedUnixMs = max(now.UnixMilli(), v.self.RenewedUnixMs+1)
	return next
}

// Self returns the local record.
func (v *View) Self() *linkpb.Member { return v.self }

// Superseded reports whether another process with a higher incarnation has
// replaced this one. This process must then stop accepting requests.
func (v *View) Superseded() bool { return v.superseded }

// SetState changes the local state and returns the record to announce.
func (v *View) SetState(now time.Time, state linkpb.MemberState) *linkpb.Member {
	return v.updateSelf(now, func(self *linkpb.Member) {
		self.State = state
		self.Sequence++
	})
}

// SetSlots changes the number of local slots and returns the record to
// announce.
func (v *View) SetSlots(now time.Time, slots uint32) *linkpb.Member {
	return v.updateSelf(now, func(self *linkpb.Member) {
		self.Slots = slots
		self.Sequence++
	})
}

// Renew renews the local lease and returns the record to write to the store.
// The sequence is unchanged, so other nodes do not forward the record.
func (v *View) Renew(now time.Time) *linkpb.Member {
	next := v.renewed(now)
	v.self = next
	if !v.superseded {
		v.renew(now, next)
	}
	return next
}
