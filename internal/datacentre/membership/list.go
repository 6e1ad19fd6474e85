package membership

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	linkpb "heathershed/api/link"
)

// Members returns all records sorted by VM, including those of VMs that left or
// expired. The slice and its records are immutable.
func (v *View) Members() []*linkpb.Member {
	if v.sorted != nil {
		return v.sorted
	}
	list := make([]*linkpb.Member, 0, len(v.records))
	for _, r := range v.records {
		list = append(list, r.member)
	}
	slices.SortFunc(list, func(a, b *linkpb.Member) int { return strings.Compare(a.Vm, b.Vm) })
	v.sorted = list
	return list
}

// Member returns the record of a VM.
func (v *View) Member(vm string) (*linkpb.Member, bool) {
	r := v.records[vm]
	if r == nil {
		return nil, false
	}
	return r.member, true
}

// Digest returns a hash over the live records and their number. Two views with
// the same live VMs in the same state have the same digest, regardless of the
// renewals and tombstones that they hold. Different digests mean that at least
// one of the views is missing a record.
func (v *View) Digest() (uint64, int) { return v.digest, v.live }

// Version returns a counter that increases with each change except renewals.
func (v *View) Version() uint64 { return v.version }

// PruneTombstones removes tombstones whose last renewal is more than
// TombstoneRetention ago by this node's wall clock. It returns their number.
func (v *View) PruneTombstones(now time.Time) int {
	before := len(v.records)
	for vm, r := range v.records {
		if vm != v.self.Vm && v.prunable(now, r.member) {
			v.remove(vm)
		}
	}
	return before - len(v.records)
}

func (v *View) prunable(now time.Time, m *linkpb.Member) bool {
	return !IsLive(m) && now.Sub(time.UnixMilli(m.RenewedUnixMs)) > TombstoneRetention
}

// recordHash returns a hash of the record that ignores its renewal.
func recordHash(m *linkpb.Member) uint64 {
	var buf [maxNameBytes + 20]byte
	b := append(buf[:0], m.Vm...)
	b = binary.LittleEndian.AppendUint64(b, m.Incarnation)
	b = binary.LittleEndian.AppendUint64(b, m.Sequence)
	b = append(b, byte(m.State))
	return xxhash.Sum64(b)
}
