package homes

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"heathershed/internal/contract"
)

// Home is one incarnation of a VM.
type Home struct {
	VM          string
	Incarnation uint64
}

// List is the set of homes of a service from a given time on.
type List struct {
	// From is the time from which the list is active, compared with the time
	// embedded in an order id.
	From time.Time
	// Members holds each VM once, in ascending order of VM.
	Members []Home
}

// Document holds the homes of all services. It is immutable once published and
// then safe for concurrent use. The zero Document has version 0 and no homes.
type Document struct {
	// Version is the document's own counter. Each write increments it by one.
	Version uint64
	// Confirmed is a time, by the editor's wall clock, before the write of
	// this version. It never decreases from one version to the next.
	Confirmed time.Time
	// Services holds the history of lists by service, oldest first. It
	// includes every list that was active within the last Horizon.
	Services map[string][]List
	// Witnesses holds the witnesses by service. Like a change of the list, a
	// change of the witnesses requires the consent of a majority of the
	// current witnesses.
	Witnesses map[string][]Home
}

// Home returns the home of an order id of a service. It returns false if no
// list was active at the time of the id or the list is no longer kept. It does
// not allocate.
func (d *Document) Home(service string, id contract.OrderID) (Home, bool) {
	list := d.listAt(service, id.Time())
	if list == nil {
		return Home{}, false
	}
	return list.choose(id, nil)
}

// Successor returns the VM that answers for an id whose home has left
// gracefully: the next choice over the same list whose incarnation is still in
// the newest list. It returns false if there is none.
func (d *Document) Successor(service string, id contract.OrderID) (Home, bool) {
	list := d.listAt(service, id.Time())
	if list == nil {
		return Home{}, false
	}
	home, ok := list.choose(id, nil)
	if !ok {
		return Home{}, false
	}
	newest := d.newest(service)
	return list.choose(id, func(h Home) bool {
		return h != home && contains(newest.Members, h)
	})
}

// listAt returns the list of a service that is active at t, or nil.
func (d *Document) listAt(service string, t time.Time) *List {
	lists := d.Services[service]
	for i := len(lists) - 1; i >= 0; i-- {
		if !t.Before(lists[i].From) {
			return &lists[i]
		}
	}
	return nil
}

// newest returns the newest list of a service, whether or not it is active
// yet.
func (d *Document) newest(service string) List {
	lists := d.Services[service]
	if len(lists) == 0 {
		return List{}
	}
	return lists[len(lists)-1]
}

// choose returns the member with the highest rendezvous weight for an id,
// among the members that accept returns true for. A nil accept admits all
// members.
func (l *List) choose(id contract.OrderID, accept func(Home) bool) (Home, bool) {
	best, found := -1, false
	var bestWeight uint64
	for i := range l.Members {
		if accept != nil && !accept(l.Members[i]) {
			continue
		}
		w := weight(l.Members[i].VM, id)
		if !found || w > bestWeight {
			best, bestWeight, found = i, w, true
		}
	}
	if !found {
		return Home{}, false
	}
	return l.Members[best], true
}

// weight returns the rendezvous weight of a VM for an id.
func weight(vm string, id contract.OrderID) uint64 {
	var b [8 + len(id)]byte
	binary.LittleEndian.PutUint64(b[:8], xxhash.Sum64String(vm))
	copy(b[8:], id[:])
	return xxhash.Sum64(b[:])
}

// contains reports whether set holds h.
func contains(set []Home, h Home) bool {
	for i := range set {
		if set[i] == h {
			return true
		}
	}
	return false
}

// majority returns the smallest number of witnesses that is more than half of
// n.
func majority(n int) int { return n/2 + 1 }
