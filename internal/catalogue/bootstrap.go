package catalogue

import "time"

// The start rule.
const (
	// BootstrapPeers is the number of other nodes of the own data centre that a
	// fresh process hears before it decides.
	BootstrapPeers = 3
	// BootstrapTimeout is the time after which fewer nodes are enough, because no
	// more can be reached.
	BootstrapTimeout = 5 * time.Second
)

// Source is where a version was heard. The zero Source is the store.
type Source struct {
	// VM is the node, or empty for the store.
	VM string
	// SameDatacentre says that the node is in the own data centre.
	SameDatacentre bool
}

// Bootstrap decides when a fresh process has heard enough to put the highest
// version it heard in force, and with it to take work: BootstrapPeers other nodes
// of its data centre, or all of them where there are fewer. The store's answer
// is heard as well, but it doesn't take the place of a node, because its reads
// may be old. After BootstrapTimeout the store's answer or any node's is enough,
// because no more can be reached.
//
// Without the store, a version 0 alone is never enough: a data centre that has
// a catalogue must not begin without one. It is not safe for concurrent use.
type Bootstrap struct {
	began   time.Time
	peers   int // other nodes of the own data centre, or -1 where unknown
	store   bool
	own     map[string]bool
	highest uint64
}

// NewBootstrap returns the start of a process that began at the given time.
func NewBootstrap(began time.Time) *Bootstrap {
	return &Bootstrap{began: began, peers: -1, own: make(map[string]bool)}
}

// SetPeers sets how many other nodes of the own data centre are known, from the
// store or from other nodes. Until it is called they count as many.
func (s *Bootstrap) SetPeers(peers int) { s.peers = peers }

// Observe takes in the version that the store or a node answered; without a
// catalogue they answer 0.
func (s *Bootstrap) Observe(source Source, version uint64) {
	s.highest = max(s.highest, version)
	if source.VM == "" {
		s.store = true
	}
	if source.VM != "" && source.SameDatacentre {
		s.own[source.VM] = true
	}
}

// Highest returns the highest version heard.
func (s *Bootstrap) Highest() uint64 { return s.highest }

// Done reports whether enough was heard.
func (s *Bootstrap) Done(now time.Time) bool {
	if !s.store && s.highest == 0 {
		return false
	}
	if now.Sub(s.began) >= BootstrapTimeout {
		return true
	}
	want := BootstrapPeers
	if s.peers >= 0 {
		want = min(want, s.peers)
	}
	return len(s.own) >= want
}

// Ready reports whether the node may take work: enough was heard, and the
// highest version heard is in force or was refused as invalid.
func (h *Holder) Ready(s *Bootstrap, now time.Time) bool {
	if !s.Done(now) {
		return false
	}
	_, version := h.Current()
	return version >= s.Highest() || h.hasRefused(s.Highest())
}

func (h *Holder) hasRefused(version uint64) bool {
	for _, r := range h.Refused() {
		if r.Version == version {
			return true
		}
	}
	return false
}
