// Package timeline records what each process did and why, and merges the
// records of all processes in causal order.
//
// Each node keeps a bounded ring of typed events. Events are stamped with a
// hybrid logical clock, whose stamps travel with the links' heartbeats and
// calls: an event caused by another one has the higher stamp, whatever the wall
// clocks show. A full ring overwrites its oldest events and counts them, so that
// the merged timeline shows where events are missing.
//
// High-volume kinds are sampled by the root request's id: either all processes
// that a request touched keep its events or none does, so that a request that is
// kept can be followed over all hops.
package timeline

import (
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"heathershed/internal/contract"
)

// Kind is the kind of an event.
type Kind uint8

// The kinds. Their names are used in JSON and by operators.
const (
	// KindNone is the zero value; no event has it.
	KindNone Kind = iota
	// KindCall is a call that ended with a complete answer.
	KindCall
	// KindCallEndedBadly is a call that ended without a complete answer.
	KindCallEndedBadly
	// KindShed is a call shed at the ingress or at admission.
	KindShed
	// KindRetry is a retry by a node.
	KindRetry
	// KindOrderBegun is an order whose record its home node has written.
	KindOrderBegun
	// KindOrderVerdict is the end of an order at its home node.
	KindOrderVerdict
	// KindLimitMoved is a change of the admission limit or threshold.
	KindLimitMoved
	// KindUpstreamOut and KindUpstreamIn are the ejection of an upstream from the
	// candidates for requests and its return.
	KindUpstreamOut
	KindUpstreamIn
	// KindLinkSilent is a link to another node whose peer became unresponsive,
	// KindLinkUp one that was established.
	KindLinkSilent
	KindLinkUp
	// KindLease is a change of the VM's own lease: renewed late, expired,
	// reacquired.
	KindLease
	// KindMember is a change of another VM's membership.
	KindMember
	// KindCatalogueAccepted, KindCatalogueInForce and KindCatalogueRefused are a
	// catalogue version that was accepted, became active or was rejected.
	KindCatalogueAccepted
	KindCatalogueInForce
	KindCatalogueRefused
	// KindHomes is a change of the home nodes of orders.
	KindHomes
	// KindStart and KindStop are the start and the stop of the process.
	KindStart
	KindStop
	// KindRingOverflow is a full ring between two tasks.
	KindRingOverflow
	// KindPlatform is the beginning or the end of a store outage.
	KindPlatform

	numKinds = iota
)

var kindNames = [numKinds]string{
	"none", "call", "call-ended-badly", "shed", "retry", "order-begun",
	"order-verdict", "limit-moved", "upstream-out", "upstream-in",
	"link-silent", "link-up", "lease", "member", "catalogue-accepted",
	"catalogue-in-force", "catalogue-refused", "homes", "start", "stop",
	"ring-overflow", "platform",
}

// String returns the name of the kind.
func (k Kind) String() string {
	if int(k) >= numKinds {
		return "unknown"
	}
	return kindNames[k]
}

// ParseKind returns the kind with the given name.
func ParseKind(s string) (Kind, error) {
	for i, name := range kindNames {
		if i > 0 && s == name {
			return Kind(i), nil
		}
	}
	return KindNone, errors.Newf("event kind %q: must be one of %v", s, kindNames[1:])
}

// sampled reports whether events of the kind are sampled, because their rate
// grows with that of calls.
func (k Kind) sampled() bool { return k >= KindCall && k <= KindOrderVerdict }

// Event is something that happened at one VM. Fields that don't apply are zero.
// Strings must not contain data from requests or answers.
type Event struct {
	// HLC is the stamp, see Clock. Record sets it.
	HLC uint64
	// VM is where the event happened. Record sets it if it is empty.
	VM   string
	Kind Kind
	// Root is the root request and Order the order, if any.
	Root  contract.RootID
	Order contract.OrderID
	// Service and RequestKind are those of the call.
	Service, RequestKind string
	// Peer is the VM at the other end.
	Peer    string
	Verdict contract.Verdict
	Reason  contract.Reason
	// Depth is 0 for the root call and increases by one per hop.
	Depth uint8
	// Detail is a short text for operators.
	Detail string
}

// jsonEvent is the JSON form of an Event.
type jsonEvent struct {
	HLC         uint64    `json:"hlc"`
	Time        time.Time `json:"time"`
	VM          string    `json:"vm"`
	Kind        string    `json:"kind"`
	Root        string    `json:"root,omitempty"`
	Order       string    `json:"order,omitempty"`
	Service     string    `json:"service,omitempty"`
	RequestKind string    `json:"request_kind,omitempty"`
	Peer        string    `json:"peer,omitempty"`
	Verdict     string    `json:"verdict,omitempty"`
	Reason      string    `json:"reason,omitempty"`
	Depth       uint8     `json:"depth,omitempty"`
	Detail      string    `json:"detail,omitempty"`
}

// hasVerdict reports whether events of the kind have a verdict: that of a call,
// of an order, or of the attempt before a retry.
func (k Kind) hasVerdict() bool {
	return k == KindCall || k == KindCallEndedBadly || k == KindShed || k == KindRetry || k == KindOrderVerdict
}

// MarshalJSON implements json.Marshaler.
func (e Event) MarshalJSON() ([]byte, error) {
	j := jsonEvent{
		HLC: e.HLC, Time: Time(e.HLC).UTC(), VM: e.VM, Kind: e.Kind.String(),
		Service: e.Service, RequestKind: e.RequestKind, Peer: e.Peer,
		Depth: e.Depth, Detail: e.Detail,
	}
	if e.Root != (contract.RootID{}) {
		j.Root = e.Root.String()
	}
	if !e.Order.IsZero() {
		j.Order = e.Order.String()
	}
	if e.Kind.hasVerdict() {
		j.Verdict = e.Verdict.String()
	}
	if e.Reason != contract.ReasonNone {
		j.Reason = e.Reason.String()
	}
	return json.Marshal(j)
}

// UnmarshalJSON implements json.Unmarshaler. Names that this version does not
// know are decoded as zero values, because versions differ during an upgrade.
func (e *Event) UnmarshalJSON(b []byte) error {
	var j jsonEvent
	if err := json.Unmarshal(b, &j); err != nil {
		return errors.Wrap(err, "event")
	}
	*e = Event{
		HLC: j.HLC, VM: j.VM, Service: j.Service, RequestKind: j.RequestKind,
		Peer: j.Peer, Depth: j.Depth, Detail: j.Detail,
		Verdict: contract.ParseVerdict(j.Verdict), Reason: parseReason(j.Reason),
	}
	if kind, err := ParseKind(j.Kind); err == nil {
		e.Kind = kind
	}
	if root, err := ParseRoot(j.Root); err == nil {
		e.Root = root
	}
	if order, err := contract.ParseOrderID(j.Order); err == nil {
		e.Order = order
	}
	return nil
}

// ParseRoot parses the id of a root request, 32 hexadecimal digits as in the
// header of an answer.
func ParseRoot(s string) (contract.RootID, error) {
	var id contract.RootID
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(id) {
		return id, errors.Newf("request id %.64q: must be 32 hexadecimal digits", s)
	}
	copy(id[:], b)
	return id, nil
}

func parseReason(s string) contract.Reason {
	for r := range contract.Reason(contract.NumReasons) {
		if r.String() == s {
			return r
		}
	}
	return contract.ReasonNone
}
