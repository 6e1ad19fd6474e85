package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	linkpb "heathershed/api/link"
	"heathershed/internal/catalogue"
	"heathershed/internal/link"
	"heathershed/internal/timeline"
)

// Names of the documents that nodes exchange.
const (
	documentCatalogue = "catalogue"
	documentHomes     = "homes"
)

// frameEvent is a control frame received from a peer.
type frameEvent struct {
	session *link.Session
	frame   *linkpb.ControlFrame
}

// sessionOpenedEvent and sessionClosedEvent report the start and end of a
// session.
type sessionOpenedEvent struct{ session *link.Session }

type sessionClosedEvent struct {
	session *link.Session
	err     error
}

// membersEvent carries member records read from the store.
type membersEvent struct{ records []*linkpb.Member }

// localRecordEvent changes the local member record: its state if hasState is
// set, its slots if not zero, and its renewal time if renew is set.
type localRecordEvent struct {
	state    linkpb.MemberState
	hasState bool
	slots    uint32
	renew    bool
}

// documentEvent is a document read from the store. Version 0 means that the
// store has none.
type documentEvent struct {
	name    string
	version uint64
	value   []byte
}

// Heartbeat implements link.Handler.
func (n *Node) Heartbeat(*link.Session) *linkpb.ControlFrame {
	return n.control.frame()
}

// HandleFrame implements link.Handler.
func (n *Node) HandleFrame(s *link.Session, f *linkpb.ControlFrame) {
	n.events.Observe(f.SentHlc)
	n.control.offer(frameEvent{session: s, frame: f})
}

// SessionOpened implements link.Handler.
func (n *Node) SessionOpened(s *link.Session) {
	c := n.control
	c.mu.Lock()
	c.sessions[s] = struct{}{}
	c.mu.Unlock()
	peer := s.Peer()
	if s.Dialled() {
		n.router.SetLinked(time.Now(), peer.VM, n.links.Up(peer.VM))
		n.record(timeline.Event{Kind: timeline.KindLinkUp, Peer: peer.VM})
	}
	c.offer(sessionOpenedEvent{s})
}

// SessionClosed implements link.Handler.
func (n *Node) SessionClosed(s *link.Session, reason error) {
	c := n.control
	c.mu.Lock()
	delete(c.sessions, s)
	c.mu.Unlock()
	peer := s.Peer()
	if s.Dialled() {
		n.router.SetLinked(time.Now(), peer.VM, n.links.Up(peer.VM))
		n.record(timeline.Event{Kind: timeline.KindLinkSilent, Peer: peer.VM, Detail: reason.Error()})
	}
	c.offer(sessionClosedEvent{s, reason})
}

func (e sessionOpenedEvent) apply(c *control, now time.Time) {
	peer := e.session.Peer()
	c.lastContact[peer.VM] = now
	if e.session.Dialled() {
		delete(c.lost, peer.VM)
	}
	f := c.frame()
	f.Members = []*linkpb.Member{c.view.Self()}
	e.session.Send(f)
}

func (e sessionClosedEvent) apply(c *control, now time.Time) {
	delete(c.mismatches, e.session)
	if e.session.Dialled() && !errors.Is(e.err, context.Canceled) {
		c.lost[e.session.Peer().VM] = now
	}
}

func (e frameEvent) apply(c *control, now time.Time) {
	f := e.frame
	c.lastContact[f.Vm] = now
	c.view.RecordContact(now, f.Vm)
	if len(f.Members) > 0 {
		c.mergeMembers(now, f.Members, e.session)
	}
	if f.FetchMembers {
		reply := c.frame()
		reply.Members = c.view.Members()
		e.session.Send(reply)
	}
	if f.Have != nil {
		c.compareDigests(now, e.session, f)
	}
	c.answerFetch(e.session, f.FetchDocuments)
	for _, d := range f.Documents {
		c.offerDocument(now, d.Name, d.Version, d.Value, f.Vm)
	}
	if f.Vouch != nil {
		c.orders.handleVouch(c, e.session, f.Vouch)
	}
	if len(f.OrderRecords) > 0 {
		c.n.orders.Import(now, f.OrderRecords)
	}
}

func (e membersEvent) apply(c *control, now time.Time) { c.mergeMembers(now, e.records, nil) }

func (e documentEvent) apply(c *control, now time.Time) {
	if e.name == documentCatalogue {
		c.bootstrap.Observe(catalogue.Source{}, e.version)
	}
	if e.version > 0 {
		c.offerDocument(now, e.name, e.version, e.value, "")
	}
}

func (e localRecordEvent) apply(c *control, now time.Time) {
	if e.hasState {
		c.view.SetState(now, e.state)
	}
	if e.slots > 0 {
		c.view.SetSlots(now, e.slots)
	}
	if e.renew {
		c.view.Renew(now)
	}
	c.gossipQueue.add(c.view.Self())
}

// compareDigests finds from a heartbeat what this node lacks and requests it.
// If the homes documents differ only in their confirmation, the newer version
// is built locally.
func (c *control) compareDigests(now time.Time, s *link.Session, f *linkpb.ControlFrame) {
	if m, ok := c.view.Member(f.Vm); ok {
		same := m.Datacentre == c.n.cfg.Datacentre
		c.bootstrap.Observe(catalogue.Source{VM: f.Vm, SameDatacentre: same}, f.Have.CatalogueVersion)
	}
	var missing []string
	if _, version := c.n.catalogue.Current(); f.Have.CatalogueVersion > version && c.mayFetch(now, documentCatalogue) {
		missing = append(missing, documentCatalogue)
	}
	if c.homes.confirm(f.Have) {
		c.sendToSome(c.frame(), s)
	} else if f.Have.HomesVersion > c.n.homes.Current().Version && c.mayFetch(now, documentHomes) {
		missing = append(missing, documentHomes)
	}
	list := c.members.Load()
	if f.Have.MembersDigest == list.digest {
		c.mismatches[s] = 0
	} else {
		c.mismatches[s]++
	}
	// A node that has just started fetches the list immediately.
	starting := int(f.Have.MembersCount) > startingRatio*list.count
	fetchMembers := c.mismatches[s] >= mismatchLimit || starting
	if !fetchMembers && len(missing) == 0 {
		return
	}
	if fetchMembers {
		c.mismatches[s] = 0
	}
	request := c.frame()
	request.FetchMembers = fetchMembers
	request.FetchDocuments = missing
	s.Send(request)
}

func (c *control) mayFetch(now time.Time, name string) bool {
	if now.Sub(c.fetched[name]) < fetchEvery {
		return false
	}
	c.fetched[name] = now
	return true
}

func (c *control) answerFetch(s *link.Session, names []string) {
	var documents []*linkpb.Document
	for _, name := range names {
		d := &linkpb.Document{Name: name}
		switch name {
		case documentCatalogue:
			d.Version, d.Value = c.n.catalogue.Document()
		case documentHomes:
			d.Version, d.Value = c.n.homes.Document()
		}
		if d.Version > 0 {
			documents = append(documents, d)
		}
	}
	if len(documents) == 0 {
		return
	}
	f := c.frame()
	f.Documents = documents
	s.Send(f)
}

// offerDocument offers a document to its holder and, if the holder adopts it,
// announces the new version to other nodes. from is empty for the store.
func (c *control) offerDocument(now time.Time, name string, version uint64, value []byte, from string) {
	var adopted bool
	var err error
	switch name {
	case documentCatalogue:
		adopted, err = c.n.catalogue.Offer(version, value)
	case documentHomes:
		adopted, err = c.homes.offer(version, value)
	}
	if err != nil {
		c.n.recordRefused(name, version, from, err)
		return
	}
	if !adopted {
		return
	}
	delete(c.fetched, name)
	if name == documentCatalogue {
		c.adoptCatalogue()
	}
	if name == documentHomes && c.homes.listsVersion.Load() != version {
		c.sendToSome(c.frame(), nil)
		return
	}
	c.broadcast(c.frame(), nil)
}
