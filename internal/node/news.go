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

// The names of documents.
const (
	documentCatalogue = "catalogue"
	documentHomes     = "homes"
)

// frameEvent is a control frame that arrived.
type frameEvent struct {
	session *link.Session
	frame   *linkpb.ControlFrame
}

// openedEvent and closedEvent tell of sessions.
type openedEvent struct{ session *link.Session }

type closedEvent struct {
	session *link.Session
	err     error
}

// membersEvent carries records from the store.
type membersEvent struct{ records []*linkpb.Member }

// ownEvent changes the own record: its state or its slots, where set.
type ownEvent struct {
	state    linkpb.MemberState
	hasState bool
	slots    uint32
	renew    bool
}

// documentEvent is a document read from the store.
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
	c.offer(openedEvent{s})
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
	c.offer(closedEvent{s, reason})
}

func (e openedEvent) apply(c *control, now time.Time) {
	peer := e.session.Peer()
	c.heard[peer.VM] = now
	if e.session.Dialled() {
		delete(c.lost, peer.VM)
	}
	f := c.frame()
	f.Members = []*linkpb.Member{c.view.Self()}
	e.session.Send(f)
}

func (e closedEvent) apply(c *control, now time.Time) {
	delete(c.differ, e.session)
	if e.session.Dialled() && !errors.Is(e.err, context.Canceled) {
		c.lost[e.session.Peer().VM] = now
	}
}

func (e frameEvent) apply(c *control, now time.Time) {
	f := e.frame
	c.heard[f.Vm] = now
	c.view.RecordContact(now, f.Vm)
	if len(f.Members) > 0 {
		c.takeMembers(now, f.Members, e.session)
	}
	if f.FetchMembers {
		answer := c.frame()
		answer.Members = c.view.Members()
		e.session.Send(answer)
	}
	if f.Have != nil {
		c.compare(now, e.session, f)
	}
	c.answerFetch(e.session, f.FetchDocuments)
	for _, d := range f.Documents {
		c.takeDocument(now, d.Name, d.Version, d.Value, f.Vm)
	}
	if f.Vouch != nil {
		c.orders.vouch(c, e.session, f.Vouch)
	}
	if len(f.OrderRecords) > 0 {
		c.n.orders.Import(now, f.OrderRecords)
	}
}

func (e membersEvent) apply(c *control, now time.Time) { c.takeMembers(now, e.records, nil) }

func (e documentEvent) apply(c *control, now time.Time) {
	if e.name == documentCatalogue {
		c.start.Observe(catalogue.Source{}, e.version)
	}
	if e.version > 0 {
		c.takeDocument(now, e.name, e.version, e.value, "")
	}
}

func (e ownEvent) apply(c *control, now time.Time) {
	if e.hasState {
		c.view.SetState(now, e.state)
	}
	if e.slots > 0 {
		c.view.SetSlots(now, e.slots)
	}
	if e.renew {
		c.view.Renew(now)
	}
	c.spread.add(c.view.Self())
}

// compare sees from a heartbeat what this node or the other one lacks.
func (c *control) compare(now time.Time, s *link.Session, f *linkpb.ControlFrame) {
	if m, ok := c.view.Member(f.Vm); ok {
		same := m.Datacentre == c.n.cfg.Datacentre
		c.start.Observe(catalogue.Source{VM: f.Vm, SameDatacentre: same}, f.Have.CatalogueVersion)
	}
	var lacking []string
	if _, version := c.n.catalogue.Current(); f.Have.CatalogueVersion > version && c.mayFetch(now, documentCatalogue) {
		lacking = append(lacking, documentCatalogue)
	}
	if c.homes.confirm(f.Have) {
		c.tellSome(c.frame(), s)
	} else if f.Have.HomesVersion > c.n.homes.Current().Version && c.mayFetch(now, documentHomes) {
		lacking = append(lacking, documentHomes)
	}
	list := c.members.Load()
	if f.Have.MembersDigest == list.digest {
		c.differ[s] = 0
	} else {
		c.differ[s]++
	}
	// A node that has just started does not wait.
	starting := int(f.Have.MembersCount) > manyMore*list.count
	fetchMembers := c.differ[s] >= mismatches || starting
	if !fetchMembers && len(lacking) == 0 {
		return
	}
	if fetchMembers {
		c.differ[s] = 0
	}
	ask := c.frame()
	ask.FetchMembers = fetchMembers
	ask.FetchDocuments = lacking
	s.Send(ask)
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

// takeDocument offers a document to its holder and tells the others what this
// node now has. from is empty for the store.
func (c *control) takeDocument(now time.Time, name string, version uint64, value []byte, from string) {
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
		c.tellSome(c.frame(), nil)
		return
	}
	c.broadcast(c.frame(), nil)
}
