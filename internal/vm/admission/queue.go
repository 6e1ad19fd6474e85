package admission

import (
	"time"

	"heathershed/internal/contract"
)

// none is the index that refers to no entry.
const none = int32(-1)

type entryState uint8

const (
	entryFree entryState = iota
	entryQueued
	entryRunning
)

// entry is one request that is queued or running.
type entry struct {
	generation uint32
	state      entryState
	class      contract.Class
	score      contract.Level
	next, prev int32
	since      time.Time // queued or admitted
	deadline   time.Time
	// silentUntil is how long the request waits for an upstream that ends
	// nothing; of no meaning without a deadline.
	silentUntil time.Time
	kind        *kindLatency
	depth       uint32
}

// arena holds entries at stable indexes and reuses them. A ticket carries the
// generation of its entry, so that a ticket of an ended request is not found.
type arena struct {
	entries     []entry
	freeIndexes []int32
}

func (a *arena) alloc() int32 {
	if n := len(a.freeIndexes); n > 0 {
		i := a.freeIndexes[n-1]
		a.freeIndexes = a.freeIndexes[:n-1]
		return i
	}
	a.entries = append(a.entries, entry{generation: 1})
	return int32(len(a.entries) - 1)
}

func (a *arena) release(i int32) {
	e := &a.entries[i]
	*e = entry{generation: e.generation + 1}
	a.freeIndexes = append(a.freeIndexes, i)
}

func (a *arena) ticket(i int32) Ticket {
	return Ticket(uint64(a.entries[i].generation)<<32 | uint64(uint32(i)))
}

// index returns the index of the ticket's entry, which is stable until the
// request ends.
func (t Ticket) index() int32 { return int32(uint32(t)) }

// find returns the index of the entry of a ticket and whether the ticket is
// valid and its request in the given state.
func (a *arena) find(t Ticket, state entryState) (int32, bool) {
	i := t.index()
	if i < 0 || int(i) >= len(a.entries) {
		return none, false
	}
	e := &a.entries[i]
	return i, e.generation == uint32(t>>32) && e.state == state
}

// queue is the list of the waiting requests of one class, oldest first.
type queue struct {
	head, tail int32
	length     int
}

func newQueue() queue { return queue{head: none, tail: none} }

func (q *queue) push(a *arena, i int32) {
	e := &a.entries[i]
	e.prev, e.next = q.tail, none
	if q.tail == none {
		q.head = i
	} else {
		a.entries[q.tail].next = i
	}
	q.tail = i
	q.length++
}

func (q *queue) remove(a *arena, i int32) {
	e := &a.entries[i]
	if e.prev == none {
		q.head = e.next
	} else {
		a.entries[e.prev].next = e.next
	}
	if e.next == none {
		q.tail = e.prev
	} else {
		a.entries[e.next].prev = e.prev
	}
	q.length--
}

// lowest returns the waiting request with the lowest score; the oldest one if
// several have it.
func (q *queue) lowest(a *arena) int32 {
	found := q.head
	for i := q.head; i != none; i = a.entries[i].next {
		if a.entries[i].score < a.entries[found].score {
			found = i
		}
	}
	return found
}
