package homes

import (
	"sort"
	"time"

	linkpb "heathershed/api/link"
)

// Authority determines which ids a node may run as a home of one service,
// namely those that no other home can accept. It is not safe for concurrent
// use, see Participant.
type Authority struct {
	service  string
	document *Document
	// requested is the time of the newest confirmation request. Confirmations
	// of later requests are ignored: this node did not send them.
	requested time.Time
	// confirmations holds, for each witness, the time of the newest request
	// that it confirmed. A confirmation of an older version also holds for a
	// newer one: a witness that has recorded no intent to replace the older
	// version has recorded none for the newer one either.
	confirmations map[Home]time.Time
	// majority is the time of the newest request that a majority of the
	// witnesses has confirmed.
	majority time.Time
}

// NewAuthority returns the authority of a node over ids of a service.
func NewAuthority(service string) *Authority {
	return &Authority{service: service, document: &Document{}, confirmations: map[Home]time.Time{}}
}

// SetDocument sets the document that the node has. A document that is not
// newer than the current one is ignored.
func (a *Authority) SetDocument(d *Document) {
	if d.Version <= a.document.Version {
		return
	}
	a.document = d
	for h := range a.confirmations {
		if !contains(d.Witnesses[a.service], h) {
			delete(a.confirmations, h)
		}
	}
	a.updateMajority()
}

// Document returns the document that Limit refers to.
func (a *Authority) Document() *Document { return a.document }

// Witnesses returns the VMs to send confirmation requests to. They may include
// this node.
func (a *Authority) Witnesses() []Home { return a.document.Witnesses[a.service] }

// Ask returns the confirmation request for the witnesses. now is the node's
// wall-clock time before the request is sent. The request and its reply are both
// Vouch messages; a reply that confirms has VouchedUnixUs set to the AskedUnixUs
// of the request.
func (a *Authority) Ask(now time.Time) *linkpb.Vouch {
	a.RecordRequest(now)
	return &linkpb.Vouch{AskedHomesVersion: a.document.Version, AskedUnixUs: now.UnixMicro()}
}

// RecordRequest records that a confirmation request was made at the given
// time. Ask calls it. A request made by other means must be recorded as well,
// otherwise its confirmations are ignored.
func (a *Authority) RecordRequest(now time.Time) {
	if now.After(a.requested) {
		a.requested = now
	}
}

// HandleConfirmation processes the reply of a node to a confirmation request.
// It counts only if the node is one of the service's witnesses, in the same
// incarnation.
func (a *Authority) HandleConfirmation(from Home, reply *linkpb.Vouch) {
	if reply.GetVouchedUnixUs() == 0 || !contains(a.Witnesses(), from) {
		return
	}
	at := time.UnixMicro(reply.GetVouchedUnixUs())
	if at.After(a.requested) || !at.After(a.confirmations[from]) {
		return
	}
	a.confirmations[from] = at
	a.updateMajority()
}

// updateMajority raises the time confirmed by a majority of the witnesses.
func (a *Authority) updateMajority() {
	witnesses := a.Witnesses()
	need := majority(len(witnesses))
	if len(a.confirmations) < need {
		return
	}
	times := make([]time.Time, 0, len(witnesses))
	for _, at := range a.confirmations {
		times = append(times, at)
	}
	sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
	if at := times[need-1]; at.After(a.majority) {
		a.majority = at
	}
}

// Limit bounds the ids that this node may run among those whose home it is
// according to Document: the time embedded in the id must be before the limit.
// The zero time allows none.
//
// A confirmation by the document extends the limit by ActivationDelay less one
// ClockMargin. A confirmation by the witnesses extends it by one margin less,
// because the clocks of the home and of an editor may each differ by a margin
// from the clock of the witness that they share.
func (a *Authority) Limit() time.Time {
	var limit time.Time
	if a.document.Version != 0 {
		limit = a.document.Confirmed.Add(ActivationDelay - ClockMargin)
	}
	if byMajority := a.majority.Add(ActivationDelay - 2*ClockMargin); !a.majority.IsZero() && byMajority.After(limit) {
		limit = byMajority
	}
	return limit
}
