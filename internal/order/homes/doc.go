// Package homes decides which VM is the home of an order id: the one process
// that may run the order and that keeps its record.
//
// One document in the platform's store holds, for each service, a history of
// lists of homes. Each list counts from a time on, and an order id carries the
// time at which it was made, so the home of an id is fixed for ever: it is the
// rendezvous choice over the list that counted at that time. A join, a leave
// or a crash makes a new list and never moves an id that exists.
//
// A VM may run an id only if it knows every list that can count at the time of
// the id. Two facts tell it so:
//
//   - A list never counts earlier than Delay after the time at which its editor
//     decided on it, and the document carries the time of its newest write. So
//     a document confirmed at s holds every list from before s + Delay.
//   - Each service has up to NumWitnesses witnesses. A majority of them that
//     answers a question sent at b with "I know no newer document" (a vouch)
//     counts like a confirmation at b, because an editor that wants to change
//     the service needs a majority to take note of its intent first, and a
//     witness that took note vouches for that version no more. Two majorities
//     share a witness. This path needs no store.
//
// Witnesses decide nothing and keep nothing that lasts: what the lists are is
// decided by the store's conditional update alone.
//
// The limit that follows, see Authority, is a fact about the time inside the
// id and not about the present: a VM that is paused between its check and the
// run is still the only one that may run the id.
//
// Everything here is pure but Holder and Guard, which are safe for concurrent
// use.
package homes

import "time"

const (
	// ActivationDelay is the least time between the decision on a list and the time from
	// which it counts. Confirmations must be renewed well within it.
	ActivationDelay = 8 * time.Second
	// ClockMargin bounds the difference between the wall clocks of two VMs.
	ClockMargin = time.Second
	// Horizon is how long ids are accepted and records are kept, counted from
	// the time inside the id.
	Horizon = 10 * time.Minute
	// NumWitnesses is the number of witnesses of a service where there are as
	// many VMs. It is odd and survives the loss of three.
	NumWitnesses = 7
	// MaxLists bounds the history of a service. A service that has reached it
	// keeps its newest list until older ones are past the horizon.
	MaxLists = 64
)
