package homes

import (
	"sync"
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
)

// Participant is one node's part in the homes protocol: the document it has,
// its role as a witness and its authority as a home. It updates them in the
// order that keeps them consistent: the limit never refers to a newer document
// than the one that names the home. Participant is safe for concurrent use;
// create it with NewParticipant.
type Participant struct {
	self    Home
	service string
	holder  *Holder

	mu        sync.Mutex
	witness   Witness
	authority *Authority
}

// NewParticipant returns the participant for a node beside an upstream of the
// given service.
func NewParticipant(self Home, service string) *Participant {
	return &Participant{
		self:      self,
		service:   service,
		holder:    NewHolder(),
		authority: NewAuthority(service),
	}
}

// Offer adopts a newer document, see Holder.Offer.
func (p *Participant) Offer(version uint64, value []byte) (adopted bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	adopted, err = p.holder.Offer(version, value)
	if adopted {
		p.authority.SetDocument(p.holder.Current())
		p.witness.ObserveVersion(version)
	}
	return adopted, err
}

// Current returns the newest document. It takes no lock.
func (p *Participant) Current() *Document { return p.holder.Current() }

// Document returns the newest version and its encoded form.
func (p *Participant) Document() (version uint64, value []byte) { return p.holder.Document() }

// Ask returns a confirmation request and the witnesses to send it to. If this
// node is one of them, its own reply has already been counted.
func (p *Participant) Ask(now time.Time) (request *linkpb.Vouch, witnesses []Home) {
	p.mu.Lock()
	defer p.mu.Unlock()
	request = p.authority.Ask(now)
	p.authority.HandleConfirmation(p.self, p.witness.Answer(now, request))
	return request, p.authority.Witnesses()
}

// Answer returns this node's reply, as a witness, to a message of another node,
// see Witness.Answer.
func (p *Participant) Answer(now time.Time, request *linkpb.Vouch) *linkpb.Vouch {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.witness.Answer(now, request)
}

// HandleConfirmation processes the reply of a witness, see
// Authority.HandleConfirmation.
func (p *Participant) HandleConfirmation(from Home, reply *linkpb.Vouch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.authority.HandleConfirmation(from, reply)
}

// HomeOf returns the home of an id of the node's service, whether that home is
// this incarnation of this node, and the limit to pass to order.Table.Begin.
func (p *Participant) HomeOf(id contract.OrderID) (home Home, local bool, limit time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	home, ok := p.authority.Document().Home(p.service, id)
	return home, ok && home == p.self, p.authority.Limit()
}
