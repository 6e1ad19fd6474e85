package node

import (
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/link"
	"heathershed/internal/order/homes"
)

const (
	// vouchAge is the age of the document's confirmation from which on a home
	// asks the witnesses: the store may be down.
	vouchAge = 3500 * time.Millisecond
	// vouchEvery is how often it then asks.
	vouchEvery = time.Second
	// expireEvery is how often records that are too old are forgotten.
	expireEvery = time.Second
)

// orderControl is the part of the control duty that keeps this node's right to
// run orders as a home.
type orderControl struct {
	n       *Node
	asked   time.Time
	expired time.Time
}

func newOrderControl(n *Node) *orderControl { return &orderControl{n: n} }

// tick asks the witnesses where the store is silent, and forgets old records.
func (o *orderControl) tick(c *control, now time.Time) {
	if now.Sub(o.expired) >= expireEvery {
		o.expired = now
		o.n.orders.Expire(now)
	}
	document := o.n.homes.Current()
	if document.Version == 0 || now.Sub(document.Confirmed) < vouchAge || now.Sub(o.asked) < vouchEvery {
		return
	}
	o.asked = now
	question, witnesses := o.n.homes.Ask(now)
	f := c.frame()
	f.Vouch = question
	for _, w := range witnesses {
		if w.VM == o.n.cfg.VM {
			continue
		}
		if s := c.sessionTo(w.VM); s != nil {
			s.Send(f)
		} else {
			o.n.demand.vm(now, w.VM)
		}
	}
}

// vouch takes a question, an intent or an answer of another node.
func (o *orderControl) vouch(c *control, s *link.Session, v *linkpb.Vouch) {
	from := homes.Home{VM: s.Peer().VM, Incarnation: s.Peer().Incarnation}
	if v.VouchedUnixUs != 0 {
		o.n.homes.HandleConfirmation(from, v)
	}
	if v.IntentTaken != 0 {
		c.editor.taken(from, v)
	}
	if answer := o.n.homes.Answer(time.Now(), v); answer != nil {
		f := c.frame()
		f.Vouch = answer
		s.Send(f)
	}
}
