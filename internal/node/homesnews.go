package node

import (
	"slices"
	"sync/atomic"
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/order/homes"
)

// homesNews spreads the homes document cheaply. Most versions differ from the
// one before only in their confirmation: such a version is made from the one at
// hand by the few bytes that every heartbeat carries, and only a change of the
// lists moves the document itself.
type homesNews struct {
	guard *homes.Participant
	// listsVersion is a version from which on, up to the one at hand, only the
	// confirmation has changed. It may be later than the true one.
	listsVersion atomic.Uint64
}

// fill tells what this node has.
func (h *homesNews) fill(have *linkpb.Have) {
	document := h.guard.Current()
	have.HomesVersion = document.Version
	have.HomesListsVersion = min(h.listsVersion.Load(), document.Version)
	if document.Version > 0 {
		have.HomesConfirmedUnixMs = document.Confirmed.UnixMilli()
	}
}

// offer takes a whole document.
func (h *homesNews) offer(version uint64, value []byte) (adopted bool, err error) {
	before := h.guard.Current()
	adopted, err = h.guard.Offer(version, value)
	if adopted && !sameLists(before, h.guard.Current()) {
		h.listsVersion.Store(version)
	}
	return adopted, err
}

// confirm makes the version that another node has from the one at hand, where
// they differ only in the confirmation, and reports whether it did.
func (h *homesNews) confirm(have *linkpb.Have) bool {
	document := h.guard.Current()
	if document.Version == 0 || have.HomesVersion <= document.Version || have.HomesListsVersion > document.Version {
		return false
	}
	next := homes.Refresh(time.UnixMilli(have.HomesConfirmedUnixMs), document)
	next.Version = have.HomesVersion
	value, err := next.Encode()
	if err != nil {
		return false
	}
	adopted, err := h.guard.Offer(next.Version, value)
	return adopted && err == nil
}

// sameLists reports whether two documents name the same newest homes and the
// same witnesses.
func sameLists(a, b *homes.Document) bool {
	if len(a.Services) != len(b.Services) {
		return false
	}
	for service, lists := range b.Services {
		old := a.Services[service]
		if len(old) == 0 || len(lists) == 0 || !old[len(old)-1].From.Equal(lists[len(lists)-1].From) {
			return false
		}
		if !slices.Equal(a.Witnesses[service], b.Witnesses[service]) {
			return false
		}
	}
	return true
}
