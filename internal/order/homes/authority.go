package homes

import (
	"sort"
	"time"

	linkpb "heathershed/api/link"
)

// Authority is what one node may conclude, as a home of one service, about ids
// that no other home can accept. It is not safe for concurrent use, see Guard.
type Authority struct {
	service  string
	document *Document
	// asked is the time of the newest question; answers to later ones are none
	// of this node's.
	asked time.Time
	// vouched holds the time of the newest question that each witness answered
	// with a vouch. A vouch for an older version holds for a newer one too:
	// who took no note of replacing the older took none for the newer.
	vouched map[Home]time.Time
	// majority is the time up to which a majority vouches.
	majority time.Time
}

// NewAuthority returns the authority of a node over ids of a service.
func NewAuthority(service string) *Authority {
	return &Authority{service: service, document: &Document{}, vouched: map[Home]time.Time{}}
}

// SetDocument tells the authority the node's document. Older ones are ignored.
func (a *Authority) SetDocument(d *Document) {
	if d.Version <= a.document.Version {
		return
	}
	a.document = d
	for h := range a.vouched {
		if !contains(d.Witnesses[a.service], h) {
			delete(a.vouched, h)
		}
	}
	a.count()
}

// Document is the document that Limit belongs to.
func (a *Authority) Document() *Document { return a.document }

// Witnesses are the VMs to ask, this node perhaps among them.
func (a *Authority) Witnesses() []Home { return a.document.Witnesses[a.service] }

// Ask returns the question for the witnesses; now is the node's wall clock
// before the question is sent.
func (a *Authority) Ask(now time.Time) *linkpb.Vouch {
	a.RecordRequest(now)
	return &linkpb.Vouch{AskedHomesVersion: a.document.Version, AskedUnixUs: now.UnixMicro()}
}

// RecordRequest takes note that a question was made at now by other means.
func (a *Authority) RecordRequest(now time.Time) {
	if now.After(a.asked) {
		a.asked = now
	}
}

// HandleConfirmation takes the answer of a node. It counts only if the node is, in the
// same incarnation, one of the service's witnesses.
func (a *Authority) HandleConfirmation(from Home, reply *linkpb.Vouch) {
	if reply.GetVouchedUnixUs() == 0 || !contains(a.Witnesses(), from) {
		return
	}
	at := time.UnixMicro(reply.GetVouchedUnixUs())
	if at.After(a.asked) || !at.After(a.vouched[from]) {
		return
	}
	a.vouched[from] = at
	a.count()
}

// count raises the time up to which a majority of the witnesses vouches.
func (a *Authority) count() {
	witnesses := a.Witnesses()
	need := majority(len(witnesses))
	if len(a.vouched) < need {
		return
	}
	times := make([]time.Time, 0, len(witnesses))
	for _, at := range a.vouched {
		times = append(times, at)
	}
	sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
	if at := times[need-1]; at.After(a.majority) {
		a.majority = at
	}
}

// Limit bounds the ids that this node may run, among those whose home it is by
// Document: the time inside the id must lie before it. The zero time allows
// none.
//
// After a confirmation by the document it is Delay less a margin. After a vouch
// it is a margin less: the clocks of the home and of an editor may each differ
// by one from that of the witness between them.
func (a *Authority) Limit() time.Time {
	var limit time.Time
	if a.document.Version != 0 {
		limit = a.document.Confirmed.Add(ActivationDelay - ClockMargin)
	}
	if vouched := a.majority.Add(ActivationDelay - 2*ClockMargin); !a.majority.IsZero() && vouched.After(limit) {
		limit = vouched
	}
	return limit
}
