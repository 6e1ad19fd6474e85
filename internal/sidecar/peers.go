package sidecar

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/bootclock"
	"heathershed/internal/datacentre/membership"
	"heathershed/internal/fleet"
	"heathershed/internal/link"
)

// documentRoutes is the name of the configuration among the documents of a
// link.
const documentRoutes = "routes"

const (
	// fetchDelay and fetchJitter are how long a node waits for its own watch
	// to bring a new configuration before it asks another node; a node without
	// any configuration asks immediately. fetchDelay is also the time that the
	// asked node has to answer.
	fetchDelay  = 100 * time.Millisecond
	fetchJitter = 200 * time.Millisecond
)

// peers tracks the other nodes, as their records in the object API and their
// control frames describe them.
type peers struct {
	n *Node

	mu       sync.Mutex
	members  map[string]*linkpb.Member // by VM
	sessions map[*link.Session]uint64  // last sequence of the local member that was sent
	// known is what the exchange of members between nodes needs.
	known exchange
	// wanted holds the nodes to which links are wanted. down holds since when
	// the link to one of them has not been up.
	wanted map[string]bool
	down   map[string]time.Time
	// changed is set when a node or a link has changed since the wanted links
	// were last computed.
	changed bool
	// fetching is set while a configuration is being fetched from another
	// node.
	fetching atomic.Bool
}

func newPeers(n *Node) *peers {
	return &peers{
		n:        n,
		members:  make(map[string]*linkpb.Member),
		sessions: make(map[*link.Session]uint64),
		known:    newExchange(),
		down:     make(map[string]time.Time),
	}
}

// merge adds or updates nodes. For each node the member with the higher
// incarnation, then the higher sequence, wins. Members that come from records
// of the object API have incarnation 0.
func (p *peers) merge(members ...*linkpb.Member) {
	moved := false
	for _, m := range members {
		moved = p.mergeOne(m) || moved
	}
	if moved {
		p.updateWanted()
	}
}

// mergeOne merges one member and reports whether its node is new or has
// another address.
func (p *peers) mergeOne(m *linkpb.Member) (moved bool) {
	if m.Vm == p.n.cfg.VM {
		p.n.raiseIncarnation(m.Incarnation)
		return false
	}
	if m.Vm == "" || m.Address == "" {
		return false
	}
	old, replaced := p.replace(m)
	if !replaced {
		return false
	}
	if old == nil || old.Incarnation != m.Incarnation || old.State != m.State || old.Instance != m.Instance {
		p.n.log.Info("node", "vm", m.Vm, "service", m.Service, "instance", m.Instance,
			"incarnation", m.Incarnation, "sequence", m.Sequence, "state", m.State.String())
	}
	return old == nil || old.Address != m.Address
}

// replace stores m if it is newer than the known member of its VM, and updates
// the fleet. Both happen under the same lock: frames of one node can arrive on
// two links concurrently, and the fleet must end up with the newest.
func (p *peers) replace(m *linkpb.Member) (old *linkpb.Member, replaced bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old = p.members[m.Vm]
	if old != nil && !newer(m, old) {
		return old, false
	}
	p.members[m.Vm] = m
	p.changed = true
	if p.known.put(time.Now(), old, m) {
		p.n.membersChanged.Send()
	}
	p.n.fleet.Put(fleet.Upstream{
		VM:         m.Vm,
		Service:    m.Service,
		Datacentre: m.Datacentre,
		Instance:   m.Instance,
		Slots:      int(m.Slots),
		Ready:      m.Incarnation > 0 && m.State == linkpb.MemberState_MEMBER_STATE_UP,
	})
	return old, true
}

// newer reports whether m replaces old. Two members from records of the object
// API, which have no incarnation, are compared by address.
func newer(m, old *linkpb.Member) bool {
	if m.Incarnation == 0 && old.Incarnation == 0 {
		return m.Address != old.Address
	}
	return membership.Newer(m, old)
}

// remove deletes a node.
func (p *peers) remove(vm string) {
	p.mu.Lock()
	p.known.remove(time.Now(), p.members[vm])
	delete(p.members, vm)
	p.mu.Unlock()
	p.n.fleet.Remove(vm)
	p.updateWanted()
}

// names returns the VMs of the known nodes.
func (p *peers) names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.members))
}

// Heartbeat implements link.Handler. The frame carries the load and the active
// version of the configuration, and the local member if this session has not
// sent its current sequence yet.
func (n *Node) Heartbeat(s *link.Session) *linkpb.ControlFrame {
	f := n.newFrame()
	f.Load = n.load("")
	n.target.mu.Lock()
	sequence := n.target.sequence
	n.target.mu.Unlock()
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	sent, opened := n.peers.sessions[s]
	if sent < sequence {
		if opened {
			n.peers.sessions[s] = sequence
		}
		f.Members = []*linkpb.Member{n.localMember()}
	}
	return f
}

// newFrame returns a control frame with the fields that every frame carries. Its
// time is that of the age that it reports, however late it is sent.
func (n *Node) newFrame() *linkpb.ControlFrame {
	digest := n.membersDigest()
	f := &linkpb.ControlFrame{
		Vm: n.cfg.VM, Incarnation: n.incarnation.Load(), SentUnixUs: time.Now().UnixMicro(),
		Have: &linkpb.Have{MembersDigest: digest.Sum, MembersCount: uint32(digest.Count)},
	}
	read, ok := n.freshness.LastRead() // before the version, which may rise meanwhile
	t := n.table.Load()
	if t == nil {
		return f
	}
	f.Have.CatalogueVersion = t.Version
	if ok {
		f.Have.CatalogueAgeUs = uint64(max(bootclock.Since(read).Microseconds(), 1))
	}
	return f
}

// localMember returns this node as other nodes see it.
func (n *Node) localMember() *linkpb.Member {
	n.target.mu.Lock()
	state, sequence := n.target.tracker.State(), n.target.sequence
	n.target.mu.Unlock()
	m := &linkpb.Member{
		Vm:          n.cfg.VM,
		Service:     state.Service,
		Region:      n.cfg.Region,
		Datacentre:  n.cfg.Datacentre,
		Address:     n.cfg.Announce,
		Incarnation: n.incarnation.Load(),
		Sequence:    sequence,
		Slots:       uint32(state.Slots),
		Instance:    state.ID,
		State:       linkpb.MemberState_MEMBER_STATE_LEAVING,
	}
	if state.Ready && !n.stopping.Load() {
		m.State = linkpb.MemberState_MEMBER_STATE_UP
	}
	return m
}

// broadcast sends a heartbeat with the current state on every session.
func (n *Node) broadcast() {
	for _, s := range n.peers.openSessions() {
		s.Send(n.Heartbeat(s))
	}
}

func (p *peers) openSessions() []*link.Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.sessions))
}

// SessionOpened implements link.Handler.
func (n *Node) SessionOpened(s *link.Session) {
	n.peers.mu.Lock()
	if _, known := n.peers.sessions[s]; !known {
		n.peers.sessions[s] = 0
	}
	n.peers.mu.Unlock()
	n.quotas.linksChanged()
	n.reportsDue.Send()
	vm := s.Peer().VM
	if s.Dialled() {
		n.peers.updateLink(vm)
		n.log.Info("link up", "vm", vm)
		return
	}
	n.links.Wake(vm)
}

// SessionClosed implements link.Handler.
func (n *Node) SessionClosed(s *link.Session, reason error) {
	n.peers.mu.Lock()
	delete(n.peers.sessions, s)
	n.peers.known.puller.Closed(s.Peer().VM)
	n.peers.mu.Unlock()
	n.quotas.linksChanged()
	if s.Dialled() {
		n.peers.updateLink(s.Peer().VM)
	}
	n.logLinkLost(s, reason)
}

// raiseIncarnation raises the incarnation above that of an earlier start,
// which another node has reported. Incarnations are taken from the wall clock,
// which may have been set back since.
func (n *Node) raiseIncarnation(earlier uint64) {
	own := n.incarnation.Load()
	if earlier <= own || !n.incarnation.CompareAndSwap(own, earlier+1) {
		return
	}
	n.log.Info("incarnation raised", "from", own, "above", earlier)
	n.target.mu.Lock()
	n.target.sequence++
	n.target.mu.Unlock()
	n.broadcast()
}

// sendNewer sends on s the known members whose incarnation is higher than the
// reported one. A node whose own incarnation is behind that of its earlier
// start raises it then.
func (p *peers) sendNewer(s *link.Session, reported []*linkpb.Member) {
	var newer []*linkpb.Member
	p.mu.Lock()
	for _, m := range reported {
		if known := p.members[m.Vm]; known != nil && known.Incarnation > m.Incarnation {
			newer = append(newer, known)
		}
	}
	p.mu.Unlock()
	if len(newer) == 0 {
		return
	}
	f := p.n.newFrame()
	f.Members = newer
	s.Send(f)
}

// HandleFrame implements link.Handler.
func (n *Node) HandleFrame(s *link.Session, f *linkpb.ControlFrame) {
	n.peers.mergeReported(f)
	n.peers.sendNewer(s, f.Members)
	if f.Load != nil {
		if n.fleet.UpdateLoad(time.Now(), f.Vm, n.loadOf(f.Load)) {
			n.logNotice(f.Vm)
		}
		n.comparePeers(time.Now())
	}
	n.recall(f.Notice)
	n.remind(s, f)
	n.mergeCrashReports(f.CrashReports...)
	n.quotas.handle(s, f)
	for _, d := range f.Documents {
		if d.Name == documentRoutes {
			n.adoptFromLink(f.Vm, d.Value)
		}
	}
	n.noteFreshness(f.Vm, f.Have, s.Delay())
	if len(f.FetchDocuments) > 0 {
		n.sendConfiguration(s)
	}
	if f.FetchMembers {
		n.sendMembers(s)
	}
	n.pullMembers(s, f.Have)
	n.fetchNewer(s, f.Have)
}

// adoptFromLink adopts a configuration that another node has sent, and announces
// it if it is new.
func (n *Node) adoptFromLink(vm string, raw []byte) {
	changed, _ := n.adopt(vm, raw) // adopt has logged the error
	if changed {
		n.broadcast()
	}
}

// sendConfiguration sends the active configuration.
func (n *Node) sendConfiguration(s *link.Session) {
	t := n.table.Load()
	if t == nil {
		return
	}
	f := n.newFrame()
	f.Documents = []*linkpb.Document{{Name: documentRoutes, Version: t.Version, Value: t.raw}}
	s.Send(f)
}

// fetchNewer requests a configuration that is newer than the active one, from
// one node at a time, and not before the node's own watch has had time to
// bring it. A change becomes known at all nodes at the same time; if each of
// them asked every other one, the traffic would grow with the square of their
// number.
func (n *Node) fetchNewer(s *link.Session, have *linkpb.Have) {
	version := have.GetCatalogueVersion()
	n.noteAnnounced(version)
	if !n.lacks(version) || !n.peers.fetching.CompareAndSwap(false, true) {
		return
	}
	delay := fetchDelay + rand.N(fetchJitter)
	if n.table.Load() == nil {
		delay = 0
	}
	time.AfterFunc(delay, func() {
		if n.lacks(version) {
			f := n.newFrame()
			f.FetchDocuments = []string{documentRoutes}
			s.Send(f)
		}
		time.AfterFunc(fetchDelay, func() { n.endFetch(version) })
	})
}

// endFetch ends the fetch of a version. If it did not bring the version, this
// node reads the configuration itself.
func (n *Node) endFetch(version uint64) {
	n.peers.fetching.Store(false)
	if n.lacks(version) {
		n.log.Info("configuration not received", "version", version, "active", n.freshnessText(bootclock.Now()))
		n.freshness.RequireRead(bootclock.Now())
		n.readDue.Send()
	}
}

// noteAnnounced records a version that another node has announced.
func (n *Node) noteAnnounced(version uint64) {
	for {
		highest := n.announced.Load()
		if version <= highest || n.announced.CompareAndSwap(highest, version) {
			return
		}
	}
}

// lacks reports whether a version is newer than the active one.
func (n *Node) lacks(version uint64) bool {
	t := n.table.Load()
	return version > 0 && (t == nil || t.Version < version)
}
