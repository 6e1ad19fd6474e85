package membership

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	linkpb "heathershed/api/link"
)

// The slow lease in the store.
const (
	// KeyPrefix begins the keys of all member records.
	KeyPrefix = "members/"
	// RenewInterval is the time between two renewals of a lease.
	RenewInterval = 120 * time.Second
	// LeaseTTL is the time after the last renewal at which a lease may lapse.
	LeaseTTL = 300 * time.Second
	// TombstoneRetention is the time after its last renewal for which the record of
	// a VM that left or lapsed is kept, so that old records can't bring it
	// back.
	TombstoneRetention = 24 * time.Hour
)

// Bounds of a record.
const (
	maxNameBytes    = 64
	maxAddressBytes = 64
	// MaxMembers bounds the records of a view.
	MaxMembers = 4096
)

// Key returns the key of a VM's record in the store.
func Key(vm string) string { return KeyPrefix + vm }

// Encode returns the value under which the record is stored.
func Encode(m *linkpb.Member) ([]byte, error) {
	value, err := proto.Marshal(m)
	return value, errors.Wrap(err, "encode member")
}

// Decode reads the record stored under a key.
func Decode(key string, value []byte) (*linkpb.Member, error) {
	m := &linkpb.Member{}
	if err := proto.Unmarshal(value, m); err != nil {
		return nil, errors.Wrapf(err, "member record %.80q", key)
	}
	if err := Check(m); err != nil {
		return nil, err
	}
	if vm, ok := strings.CutPrefix(key, KeyPrefix); !ok || vm != m.Vm {
		return nil, errors.Newf("member record %.80q names VM %s", key, m.Vm)
	}
	return m, nil
}

// Check reports what is wrong with a record, or nil.
func Check(m *linkpb.Member) error {
	if m == nil || m.Vm == "" || m.Service == "" || m.Datacentre == "" || m.Region == "" {
		return errors.Newf("member record %.80q: VM, service, data centre and region must be given", m.GetVm())
	}
	for _, name := range []string{m.Vm, m.Service, m.Datacentre, m.Region} {
		if len(name) > maxNameBytes {
			return errors.Newf("member record %.80q: a name is over %d bytes", m.Vm, maxNameBytes)
		}
	}
	for _, address := range []string{m.Address, m.FrontAddress, m.AdminAddress} {
		if len(address) > maxAddressBytes {
			return errors.Newf("member record %.80q: an address is over %d bytes", m.Vm, maxAddressBytes)
		}
	}
	if m.Incarnation == 0 {
		return errors.Newf("member record %.80q: incarnation is 0", m.Vm)
	}
	if _, ok := linkpb.MemberState_name[int32(m.State)]; !ok {
		return errors.Newf("member record %.80q: unknown state %d", m.Vm, m.State)
	}
	return nil
}

// IsLive reports whether the record is of a VM that is up or leaving.
func IsLive(m *linkpb.Member) bool {
	return m.State == linkpb.MemberState_MEMBER_STATE_UP || m.State == linkpb.MemberState_MEMBER_STATE_LEAVING
}

// Newer reports whether a wins over b. A VM's own records of one incarnation
// are ordered by their renewal, which grows with each of them. A lapse stands
// just after the record that it was concluded from: a later renewal, though it
// keeps the sequence, proves that the VM lived on.
func Newer(a, b *linkpb.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.RenewedUnixMs != b.RenewedUnixMs {
		return a.RenewedUnixMs > b.RenewedUnixMs
	}
	if isLapsed(a) != isLapsed(b) {
		return isLapsed(a)
	}
	return a.Sequence > b.Sequence
}

func isLapsed(m *linkpb.Member) bool { return m.State == linkpb.MemberState_MEMBER_STATE_LAPSED }

// StateName returns the state of a member as reports spell it.
func StateName(s linkpb.MemberState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "MEMBER_STATE_"))
}
