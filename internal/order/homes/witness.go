package homes

import (
	"time"

	linkpb "heathershed/api/link"
)

// Witness is the state of a node in its role as a witness: the newest version
// of the homes document that it has, and the newest version for which it has
// recorded an intent to replace it. Both only increase. The state is held in
// memory only: a node that restarts is another incarnation and no longer the
// witness that the document names.
//
// The zero Witness knows no version and no intent. Witness is not safe for
// concurrent use.
type Witness struct {
	known    uint64
	intended uint64
	clock    time.Time // highest time passed to Answer; never goes back
}

// ObserveVersion records that the node has a version of the document. The
// document must be passed to the Authority of the same node first.
func (w *Witness) ObserveVersion(version uint64) {
	w.known = max(w.known, version)
}

// RecordIntent records that an editor is about to replace a version and
// returns the newest version recorded. From then on the witness confirms only
// newer versions.
func (w *Witness) RecordIntent(version uint64) (taken uint64) {
	w.intended = max(w.intended, version)
	return w.intended
}

// confirms reports whether the witness knows of no document newer than the
// given version and has recorded no intent to replace that version or a newer
// one.
func (w *Witness) confirms(version uint64) bool {
	return version >= w.known && version > w.intended
}

// Ask returns a home's confirmation request for the version that the node has.
// now is the node's wall-clock time before the request is sent.
func (w *Witness) Ask(now time.Time) *linkpb.Vouch {
	return &linkpb.Vouch{AskedHomesVersion: w.known, AskedUnixUs: now.UnixMicro()}
}

// Answer returns the reply to a message that holds a confirmation request, an
// intent, or both. It returns nil for a message that holds neither. If now is
// the zero time, no clock is checked.
//
// Answer does not confirm a request whose time is ahead of the witness's clock
// by more than ClockMargin, and does not record an intent whose time is behind
// it by more than that. A majority that confirmed and a majority that recorded
// an intent share a witness, so its clock bounds the difference between the
// clocks of the home and of the editor. A wrong clock can therefore not let
// two homes run the same id.
func (w *Witness) Answer(now time.Time, request *linkpb.Vouch) *linkpb.Vouch {
	if request.GetAskedUnixUs() == 0 && request.GetIntentHomesVersion() == 0 {
		return nil
	}
	if now.After(w.clock) {
		w.clock = now
	}
	reply := &linkpb.Vouch{}
	asked := time.UnixMicro(request.GetAskedUnixUs())
	hasTime, checkClock := request.GetAskedUnixUs() != 0, !now.IsZero()
	if request.GetIntentHomesVersion() != 0 {
		if checkClock && hasTime && asked.Before(w.clock.Add(-ClockMargin)) {
			return reply
		}
		reply.IntentTaken = w.RecordIntent(request.GetIntentHomesVersion())
	}
	if checkClock && asked.After(w.clock.Add(ClockMargin)) {
		return reply
	}
	if hasTime && w.confirms(request.GetAskedHomesVersion()) {
		reply.VouchedUnixUs = request.GetAskedUnixUs()
	}
	return reply
}
