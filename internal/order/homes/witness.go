package homes

import (
	"time"

	linkpb "heathershed/api/link"
)

// Witness is what a node knows of the homes document as a witness: the newest
// version it has, and the newest version that it took note will be replaced.
// Both only grow. It lives in memory alone: a node that restarts is another
// incarnation and no longer the witness that the document names.
//
// The zero Witness knows nothing. It is not safe for concurrent use.
type Witness struct {
	known    uint64
	intended uint64
	clock    time.Time // highest time given; never goes back
}

// ObserveVersion tells the witness that the node has a version of the document. An
// Authority of the same node must be given the document first.
func (w *Witness) ObserveVersion(version uint64) {
	w.known = max(w.known, version)
}

// RecordIntent takes note that an editor is about to replace a version and returns
// the newest version noted. From now on the witness vouches for nothing up to
// that version: only for newer ones, once it knows one.
func (w *Witness) RecordIntent(version uint64) (taken uint64) {
	w.intended = max(w.intended, version)
	return w.intended
}

// vouches reports whether the witness vouches that no newer document than the
// given version changed anything.
func (w *Witness) vouches(version uint64) bool {
	return version >= w.known && version > w.intended
}

// Ask returns the question of a home for the version that the node knows. now
// is the node's wall clock before the question is sent.
func (w *Witness) Ask(now time.Time) *linkpb.Vouch {
	return &linkpb.Vouch{AskedHomesVersion: w.known, AskedUnixUs: now.UnixMicro()}
}

// Answer answers a question, an intent, or both in one message. It returns
// nil for a message that holds neither. A zero now checks no clock.
//
// It does not vouch for a home whose clock is ahead of now by more than
// ClockMargin, and takes no note for an editor whose clock is behind by more.
// Since a majority that vouched and a majority that took note share a witness,
// its clock bounds how far the two others are apart, and no error of a clock
// lets two homes run one id.
func (w *Witness) Answer(now time.Time, request *linkpb.Vouch) *linkpb.Vouch {
	if request.GetAskedUnixUs() == 0 && request.GetIntentHomesVersion() == 0 {
		return nil
	}
	if now.After(w.clock) {
		w.clock = now
	}
	reply := &linkpb.Vouch{}
	asked := time.UnixMicro(request.GetAskedUnixUs())
	dated, checked := request.GetAskedUnixUs() != 0, !now.IsZero()
	if request.GetIntentHomesVersion() != 0 {
		if checked && dated && asked.Before(w.clock.Add(-ClockMargin)) {
			return reply
		}
		reply.IntentTaken = w.RecordIntent(request.GetIntentHomesVersion())
	}
	if checked && asked.After(w.clock.Add(ClockMargin)) {
		return reply
	}
	if dated && w.vouches(request.GetAskedHomesVersion()) {
		reply.VouchedUnixUs = request.GetAskedUnixUs()
	}
	return reply
}
