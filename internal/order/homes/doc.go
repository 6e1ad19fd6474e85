// Package homes decides which VM is the home of an order id: the only process
// that may run the order, and the one that keeps its record.
//
// One document in the platform's store holds, for each service, a history of
// lists of homes. Each list is active from a certain time on. An order id
// carries the time at which it was generated, so the home of an id never
// changes: it is chosen by rendezvous hashing over the list that was active at
// that time. When a VM joins, leaves or crashes, a new list is added; the
// homes of existing ids do not move.
//
// A VM may run an id only if it knows every list that can be active at the
// time embedded in the id. Two facts establish that it does:
//
//   - A list becomes active no earlier than ActivationDelay after the time at
//     which its editor decided on it, and the document carries the time of its
//     newest write. A document confirmed at time s therefore contains every
//     list that is active before s + ActivationDelay.
//   - Each service has up to NumWitnesses witnesses. A request sent at time b
//     that a majority of them answers with "I know no newer document" counts
//     like a confirmation of the document at b. The reason is that an editor
//     that wants to change the service must first announce its intent to a
//     majority of the witnesses, and a witness that has recorded an intent no
//     longer confirms the version it replaces. Any two majorities share a
//     witness. This path does not need the store.
//
// Witnesses make no decisions and persist nothing. Only the conditional update
// of the document in the store decides which lists exist.
//
// The resulting limit, see Authority, applies to the time embedded in the id
// and not to the present time. A VM that is paused between its check and the
// run is still the only one that may run the id.
//
// Holder and Participant are safe for concurrent use; the other types are not,
// unless stated otherwise. The package performs no I/O and reads no clock.
package homes

import "time"

const (
	// ActivationDelay is the least time between the decision on a list and the
	// time from which the list is active. Homes must renew their confirmations
	// well within it.
	ActivationDelay = 8 * time.Second
	// ClockMargin is the largest tolerated difference between the wall clocks
	// of two VMs.
	ClockMargin = time.Second
	// Horizon is how long ids are accepted and records are kept, counted from
	// the time embedded in the id.
	Horizon = 10 * time.Minute
	// NumWitnesses is the number of witnesses of a service, or the number of
	// VMs if that is smaller. It is odd, and a majority survives the loss of
	// three witnesses.
	NumWitnesses = 7
	// MaxLists bounds the history of a service. A service that has reached the
	// bound keeps its newest list until older lists have passed the horizon.
	MaxLists = 64
)
