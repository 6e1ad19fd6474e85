package catalogue

import "time"

// Constants of Bootstrap.
const (
	// BootstrapPeers is the number of other nodes of the local data centre whose
	// version a new process waits for.
	BootstrapPeers = 3
	// BootstrapTimeout is the time after which fewer nodes suffice, because the
	// others can't be reached.
	BootstrapTimeout = 5 * time.Second
)

// Source identifies where a version was received from. The zero Source is the
// store.
type Source struct {
	// VM is the VM of the node, or empty for the store.
	VM string
	// SameDatacentre is set if the node is in the local data centre.
	SameDatacentre bool
}

// Bootstrap decides when a newly started process has received enough answers to
// activate the highest version received and to accept requests: those of
// BootstrapPeers other nodes of its data centre, or of all of them if there are
// fewer. The store's version counts towards the highest one, but the store
// doesn't replace a node, because its reads may be stale. After BootstrapTimeout
// the answer of the store or of any node suffices, because the others can't be
// reached.
//
// Without an answer of the store, version 0 alone never suffices: a process must
// not start without a catalogue in a data centre that has one. Bootstrap is not
// safe for concurrent use.
type Bootstrap struct {
	startedAt     time.Time
	peers         int // other nodes of the local data centre, or -1 if unknown
	storeAnswered bool
	localPeers    map[string]bool
	highest       uint64
}

// NewBootstrap returns the bootstrap of a process started at the given time.
func NewBootstrap(startedAt time.Time) *Bootstrap {
	return &Bootstrap{startedAt: startedAt, peers: -1, localPeers: make(map[string]bool)}
}

// SetPeers sets the number of other nodes of the local data centre that are
// known from the store or from other nodes. Until it is called, Done assumes at
// least BootstrapPeers of them.
func (b *Bootstrap) SetPeers(peers int) { b.peers = peers }

// Observe records the version that the store or a node returned, 0 if it has no
// catalogue.
func (b *Bootstrap) Observe(source Source, version uint64) {
	b.highest = max(b.highest, version)
	if source.VM == "" {
		b.storeAnswered = true
	}
	if source.VM != "" && source.SameDatacentre {
		b.localPeers[source.VM] = true
	}
}

// Highest returns the highest version observed.
func (b *Bootstrap) Highest() uint64 { return b.highest }

// Done reports whether enough answers were received.
func (b *Bootstrap) Done(now time.Time) bool {
	if !b.storeAnswered && b.highest == 0 {
		return false
	}
	if now.Sub(b.startedAt) >= BootstrapTimeout {
		return true
	}
	want := BootstrapPeers
	if b.peers >= 0 {
		want = min(want, b.peers)
	}
	return len(b.localPeers) >= want
}

// Ready reports whether the node may accept requests: the bootstrap is done, and
// the highest version observed is active or was rejected as invalid.
func (h *Holder) Ready(b *Bootstrap, now time.Time) bool {
	if !b.Done(now) {
		return false
	}
	_, version := h.Current()
	return version >= b.Highest() || h.hasRefused(b.Highest())
}

// hasRefused reports whether a document of the version is among the recorded
// rejected ones.
func (h *Holder) hasRefused(version uint64) bool {
	for _, r := range h.Refused() {
		if r.Version == version {
			return true
		}
	}
	return false
}
