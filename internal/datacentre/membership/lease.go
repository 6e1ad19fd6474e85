package membership

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	linkpb "heathershed/api/link"
)

// The lease of a VM in the store.
const (
	// KeyPrefix is the prefix of the keys of all member records.
	KeyPrefix = "members/"
	// RenewInterval is the time between two renewals of a lease.
	RenewInterval = 120 * time.Second
	// LeaseTTL is the time after the last renewal at which a lease may expire.
	LeaseTTL = 300 * time.Second
	// TombstoneRetention is the time after the last renewal for which the record
	// of a VM that left or expired is retained, so that older records can't
	// bring the VM back.
	TombstoneRetention = 24 * time.Hour
)

// Bounds of a record.
const (
	maxNameBytes    = 64
	maxAddressBytes = 64
	// MaxMembers bounds the records of a view.
	MaxMembers = 4096
)

// Key returns the store key of a VM's record.
func Key(vm string) string { return KeyPrefix + vm }

// Encode returns the value under which the record is stored.
func Encode(m *linkpb.Member) ([]byte, error) {
	value, err := proto.Marshal(m)
	return value, errors.Wrap(err, "encode member")
}

// Decode decodes the record stored under a key. It returns an error if the
// record fails Check or belongs to another VM than the key.
func Decode(key string, value []byte) (*linkpb.Member, error) {
	m := &linkpb.Member{}
	if err := proto.Unmarshal(value, m); err != nil {
		return nil, errors.Wrapf(err, "member record %.80q", key)
	}
	if err := Check(m); err != nil {
		return nil, err
	}
	if vm, ok := strings.CutPrefix(key, KeyPrefix); !ok || vm != m.Vm {
		return nil, errors.Newf("member record %.80q: record is of VM %s", key, m.Vm)
	}
	return m, nil
}

// Check returns an error that describes why a record is invalid, or nil.
func Check(m *linkpb.Member) error {
	if m == nil || m.Vm == "" || m.Service == "" || m.Datacentre == "" || m.Region == "" {
		return errors.Newf("member record %.80q: VM, service, data centre and region are required", m.GetVm())
	}
	for _, name := range []string{m.Vm, m.Service, m.Datacentre, m.Region} {
		if len(name) > maxNameBytes {
			return errors.Newf("member record %.80q: name exceeds %d bytes", m.Vm, maxNameBytes)
		}
	}
	for _, address := range []string{m.Address, m.FrontAddress, m.AdminAddress} {
		if len(address) > maxAddressBytes {
			return errors.Newf("member record %.80q: address exceeds %d bytes", m.Vm, maxAddressBytes)
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

// Newer reports whether a takes precedence over b. A VM's own records of one
// incarnation are ordered by their renewal, which increases with each of them.
// An expiry comes directly after the record that it was derived from: a later
// renewal, though it keeps the sequence, shows that the VM was still alive.
func Newer(a, b *linkpb.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.RenewedUnixMs != b.RenewedUnixMs {
		return a.RenewedUnixMs > b.RenewedUnixMs
	}
	if isExpired(a) != isExpired(b) {
		return isExpired(a)
	}
	return a.Sequence > b.Sequence
}

func isExpired(m *linkpb.Member) bool { return m.State == linkpb.MemberState_MEMBER_STATE_LAPSED }

// StateName returns the name of a member state as used in reports.
func StateName(s linkpb.MemberState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "MEMBER_STATE_"))
}
