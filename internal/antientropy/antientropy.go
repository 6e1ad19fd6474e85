// Package antientropy decides when a node asks another one for all members that
// it knows.
//
// Each control frame carries a Digest of the members that its sender knows. Nodes
// whose digests are equal exchange nothing. A node whose digest differs pulls the
// members of the other end, from one node at a time, and each state of that node
// once: where both keep a difference, because one of them refuses what the other
// knows, the exchange still ends.
package antientropy

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minPause and pauseJitter bound the time between two pulls of a node.
	// While a fleet starts, digests differ all the time.
	minPause    = 250 * time.Millisecond
	pauseJitter = 250 * time.Millisecond
	// answerTimeout is how long a pull waits for its answer before another one
	// may begin.
	answerTimeout = time.Second
	// smallerAfter is the time without a pull after which a node that knows fewer
	// members is asked.
	smallerAfter = time.Second
)

// Digest identifies a set of members, in any order. The zero value is that of the
// empty set.
type Digest struct {
	Sum   uint64
	Count int
}

// Add adds a member, by what other nodes need to reach it.
func (d *Digest) Add(vm, address, service string) {
	h := xxhash.New()
	for _, part := range []string{vm, address, service} {
		_, _ = h.WriteString(part) // a hash.Hash never returns an error
		_, _ = h.Write([]byte{0})
	}
	d.Sum ^= h.Sum64()
	d.Count++
}

// Puller decides about the pulls of one node. It reads no clock and is not safe
// for concurrent use. Use New.
type Puller struct {
	// pulled holds the newest state that was pulled from each node.
	pulled map[string]Digest
	// waitingFor is the node of the pull without an answer; empty if there is
	// none. since is when it began, and notBefore when the next one may begin.
	waitingFor string
	since      time.Time
	notBefore  time.Time
}

// New returns a Puller that has pulled nothing.
func New() *Puller { return &Puller{pulled: make(map[string]Digest)} }

// Begin reports whether to pull the members of a node that has reported the digest
// theirs, where own is the local one. If so, the pull has begun. random seeds the
// pause until the next one.
//
// A node that knows fewer members is asked only where no pull has begun for a
// while: it will ask this one.
func (p *Puller) Begin(now time.Time, vm string, own, theirs Digest, random uint64) bool {
	if theirs == own || p.pulled[vm] == theirs {
		return false
	}
	if theirs.Count < own.Count && now.Sub(p.since) < smallerAfter {
		return false
	}
	if p.waitingFor != "" && now.Sub(p.since) < answerTimeout || now.Before(p.notBefore) {
		return false
	}
	p.waitingFor, p.since = vm, now
	p.notBefore = now.Add(minPause + time.Duration(random%uint64(pauseJitter)))
	return true
}

// Answered records that all members of a node have arrived, and their digest.
func (p *Puller) Answered(vm string, theirs Digest) {
	p.pulled[vm] = theirs
	if p.waitingFor == vm {
		p.waitingFor = ""
	}
}

// Closed records that the links to a node are gone.
func (p *Puller) Closed(vm string) {
	delete(p.pulled, vm)
	if p.waitingFor == vm {
		p.waitingFor = ""
	}
}
