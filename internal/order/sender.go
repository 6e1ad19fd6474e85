package order

import (
	"io"
	"time"

	"heathershed/internal/contract"
	"heathershed/internal/order/homes"
)

// UnreachableVerdict is the verdict of a node that took an order from a caller and
// can't reach its home, for a copy of which this node sent no byte. home is the
// zero Home where no list names one.
//
// Only the home can run the id, but the home may have got another copy, from
// the caller by way of another node. So "not run" is right only where the
// caller says that there is no other copy. An incarnation that is gone for good
// changes nothing: it may have run a copy before it went. Where this node sent
// a byte, the verdict is MayHaveRun whatever the attempt.
func UnreachableVerdict(attemptKnown bool, attempt uint32, id contract.OrderID, home homes.Home) contract.Verdict {
	return Attempt{Known: attemptKnown, Number: attempt}.UnrecordedVerdict()
}

// maxDraws bounds the ids that FreshID tries.
const maxDraws = 512

// FreshID makes an order id whose home, by the document, can be reached, so
// that callers go on at once while a home is gone and its list still counts. It
// is false where no reachable home was drawn or random fails. reachable tells
// incarnations apart: a VM that was just restarted is not the home that the
// list names.
func FreshID(now time.Time, d *homes.Document, service string, reachable func(homes.Home) bool, random io.Reader) (contract.OrderID, bool) {
	for range maxDraws {
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

// newID makes a UUID of version 7 for a time.
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
