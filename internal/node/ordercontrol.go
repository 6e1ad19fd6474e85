package node

import (
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/link"
	"heathershed/internal/order/homes"
)

const (
	// askWitnessesAfter is the age of the homes document's confirmation from
	// which a node asks the witnesses to confirm it, because the store may be
	// down.
	askWitnessesAfter = 3500 * time.Millisecond
	// askWitnessesEvery is the interval between these requests.
	askWitnessesEvery = time.Second
	// expireEvery is the interval at which expired order records are dropped.
	expireEvery = time.Second
)

// orderControl is the part of the control task that renews this node's
// authority as a home, see homes.Authority, and drops expired order records.
type orderControl struct {
	n          *Node
	lastAsked  time.Time
	lastExpiry time.Time
}

func newOrderControl(n *Node) *orderControl { return &orderControl{n: n} }

// tick drops expired order records and, if the document has not been confirmed
// recently, asks the witnesses to confirm it.
func (o *orderControl) tick(c *control, now time.Time) {
	if now.Sub(o.lastExpiry) >= expireEvery {
		o.lastExpiry = now
		o.n.orders.Expire(now)
	}
	document := o.n.homes.Current()
	if document.Version == 0 || now.Sub(document.Confirmed) < askWitnessesAfter || now.Sub(o.lastAsked) < askWitnessesEvery {
		return
	}
	o.lastAsked = now
	request, witnesses := o.n.homes.Ask(now)
	f := c.frame()
	f.Vouch = request
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

// handleVouch handles another node's request for confirmation, its intent to
// change the lists, or its reply to either.
func (o *orderControl) handleVouch(c *control, s *link.Session, v *linkpb.Vouch) {
	from := homes.Home{VM: s.Peer().VM, Incarnation: s.Peer().Incarnation}
	if v.VouchedUnixUs != 0 {
		o.n.homes.HandleConfirmation(from, v)
	}
	if v.IntentTaken != 0 {
		c.editor.ackIntent(from, v)
	}
	if reply := o.n.homes.Answer(time.Now(), v); reply != nil {
		f := c.frame()
		f.Vouch = reply
		s.Send(f)
	}
}
