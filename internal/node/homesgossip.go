package node

import (
	"slices"
	"sync/atomic"
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/order/homes"
)

// homesGossip spreads the homes document with little traffic. Most versions
// differ from their predecessor only in the confirmation. A node builds such a
// version from its local copy and the few bytes that every heartbeat carries;
// the document itself is sent only when the lists change.
type homesGossip struct {
	participant *homes.Participant
	// listsVersion is a version since which only the confirmation has changed,
	// up to the current one. It may be later than the earliest such version.
	listsVersion atomic.Uint64
}

// fill sets the fields of a heartbeat that describe the local document.
func (h *homesGossip) fill(have *linkpb.Have) {
	document := h.participant.Current()
	have.HomesVersion = document.Version
	have.HomesListsVersion = min(h.listsVersion.Load(), document.Version)
	if document.Version > 0 {
		have.HomesConfirmedUnixMs = document.Confirmed.UnixMilli()
	}
}

// offer takes a complete document.
func (h *homesGossip) offer(version uint64, value []byte) (adopted bool, err error) {
	before := h.participant.Current()
	adopted, err = h.participant.Offer(version, value)
	if adopted && !sameLists(before, h.participant.Current()) {
		h.listsVersion.Store(version)
	}
	return adopted, err
}

// confirm builds, from the local copy, the version that another node has, and
// adopts it. This is possible if the lists have not changed since the local
// version, so that only the confirmation differs. It reports whether it adopted
// the version.
func (h *homesGossip) confirm(have *linkpb.Have) bool {
	document := h.participant.Current()
	if document.Version == 0 || have.HomesVersion <= document.Version || have.HomesListsVersion > document.Version {
		return false
	}
	next := homes.Refresh(time.UnixMilli(have.HomesConfirmedUnixMs), document)
	next.Version = have.HomesVersion
	value, err := next.Encode()
	if err != nil {
		return false
	}
	adopted, err := h.participant.Offer(next.Version, value)
	return adopted && err == nil
}

// sameLists reports whether two documents have the same latest list of homes
// and the same witnesses for each service.
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
