package homes

import (
	"sync"
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
)

// Participant joins what one node needs for the homes: the document, its part as a
// witness and its authority as a home, in the order that keeps them right: the
// limit never belongs to a newer document than the one that names the home. It
// is safe for concurrent use; make it with NewGuard.
type Participant struct {
	self    Home
	service string
	holder  *Holder

	mu        sync.Mutex
	witness   Witness
	authority *Authority
}

// NewParticipant returns the guard of a node beside an upstream of a service.
func NewParticipant(self Home, service string) *Participant {
	return &Participant{
		self:      self,
		service:   service,
		holder:    NewHolder(),
		authority: NewAuthority(service),
	}
}

// Offer adopts a newer document, see Holder.Offer.
func (g *Participant) Offer(version uint64, value []byte) (adopted bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	adopted, err = g.holder.Offer(version, value)
	if adopted {
		g.authority.SetDocument(g.holder.Current())
		g.witness.ObserveVersion(version)
	}
	return adopted, err
}

// Current is the newest document, without a lock.
func (g *Participant) Current() *Document { return g.holder.Current() }

// Document returns the newest version and its bytes.
func (g *Participant) Document() (version uint64, value []byte) { return g.holder.Document() }

// Ask returns the question for the witnesses and who they are. Where this node
// is one of them, its own answer is counted already.
func (g *Participant) Ask(now time.Time) (question *linkpb.Vouch, witnesses []Home) {
	g.mu.Lock()
	defer g.mu.Unlock()
	question = g.authority.Ask(now)
	g.authority.HandleConfirmation(g.self, g.witness.Answer(now, question))
	return question, g.authority.Witnesses()
}

// Answer answers another node as a witness, see Witness.Answer.
func (g *Participant) Answer(now time.Time, request *linkpb.Vouch) *linkpb.Vouch {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.witness.Answer(now, request)
}

// HandleConfirmation takes the answer of a witness.
func (g *Participant) HandleConfirmation(from Home, reply *linkpb.Vouch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.authority.HandleConfirmation(from, reply)
}

// HomeOf returns the home of an id of the node's service, whether that is this
// very incarnation of this node, and the limit for order.Table.Begin.
func (g *Participant) HomeOf(id contract.OrderID) (home Home, own bool, limit time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	home, known := g.authority.Document().Home(g.service, id)
	return home, known && home == g.self, g.authority.Limit()
}
