package order

import (
	"io"
	"time"

	"heathershed/internal/contract"
	"heathershed/internal/order/homes"
)

// UnreachableVerdict returns the verdict of a node that received an order from
// a caller, cannot reach the order's home and has sent no byte of this copy.
// home is the zero Home if no list names one.
//
// Only the home can run the id, but the home may have received another copy,
// which the caller sent through another node. NotRun is therefore correct only
// if the caller states that there is no other copy. It makes no difference
// that the home's incarnation is known to have ended: it may have run a copy
// before that. A node that has sent a byte must return MayHaveRun whatever the
// attempt.
func UnreachableVerdict(attemptKnown bool, attempt uint32, id contract.OrderID, home homes.Home) contract.Verdict {
	return Attempt{Known: attemptKnown, Number: attempt}.UnrecordedVerdict()
}

// maxIDDraws bounds the number of ids that FreshID generates in search of one
// with a reachable home.
const maxIDDraws = 512

// FreshID generates an order id whose home, according to the document, is
// reachable. Callers can thus continue while one home is down and the list
// that names it is still active. It returns false if no generated id has a
// reachable home, no list is active, or reading from random fails. reachable
// must distinguish incarnations: a VM that has restarted is not the home that
// the list names.
func FreshID(now time.Time, d *homes.Document, service string, reachable func(homes.Home) bool, random io.Reader) (contract.OrderID, bool) {
	for range maxIDDraws {
		id, err := newID(now, random)
		if err != nil {
			return contract.OrderID{}, false
		}
		home, ok := d.Home(service, id)
		if !ok {
			return contract.OrderID{}, false
		}
		if reachable(home) {
			return id, true
		}
	}
	return contract.OrderID{}, false
}

// newID generates a UUID version 7 with the given time.
func newID(now time.Time, random io.Reader) (contract.OrderID, error) {
	var id contract.OrderID
	if _, err := io.ReadFull(random, id[6:]); err != nil {
		return id, err
	}
	ms := now.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6] = id[6]&0x0f | 0x70 // version 7
	id[8] = id[8]&0x3f | 0x80 // RFC 9562 variant
	return id, nil
}
