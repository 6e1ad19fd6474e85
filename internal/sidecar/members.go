package sidecar

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/antientropy"
	"heathershed/internal/link"
	"heathershed/internal/wait"
)

const (
	// announceDelay and announceJitter are how long a node waits after a change of
	// the known nodes until it tells the linked ones, to join changes that follow
	// each other.
	announceDelay  = 100 * time.Millisecond
	announceJitter = 100 * time.Millisecond
	// refuseAfterForget is how long a node that was forgotten is not learnt again
	// from others, which may not have forgotten it yet. All of them list the
	// records in that time.
	refuseAfterForget = 3 * (listInterval + listJitter)
)

// exchange is what a node keeps to exchange the known nodes with others. The lock
// of peers guards it.
type exchange struct {
	puller *antientropy.Puller
	// digest is that of all nodes but this one, unless stale is set.
	digest antientropy.Digest
	stale  bool
	// learnt is when a node became known.
	learnt map[string]time.Time
	// forgotten holds nodes that were forgotten a short time ago.
	forgotten map[string]forgottenNode
}

// forgottenNode is a node that is not learnt again from others until a time, unless
// with a higher incarnation.
type forgottenNode struct {
	incarnation uint64
	until       time.Time
}

func newExchange() exchange {
	return exchange{
		puller:    antientropy.New(),
		learnt:    make(map[string]time.Time),
		forgotten: make(map[string]forgottenNode),
	}
}

// put records that m has replaced old, which is nil for a new node. It reports
// whether that changes the digest.
func (e *exchange) put(now time.Time, old, m *linkpb.Member) (changed bool) {
	if old == nil {
		e.learnt[m.Vm] = now
	} else if old.Address == m.Address && old.Service == m.Service {
		return false
	}
	e.stale = true
	return true
}

// remove records that a node was forgotten.
func (e *exchange) remove(now time.Time, m *linkpb.Member) {
	if m == nil {
		return
	}
	maps.DeleteFunc(e.forgotten, func(_ string, f forgottenNode) bool { return now.After(f.until) })
	e.forgotten[m.Vm] = forgottenNode{m.Incarnation, now.Add(refuseAfterForget)}
	delete(e.learnt, m.Vm)
	e.stale = true
}

// refuses reports whether a member is not to be learnt from another node.
func (e *exchange) refuses(now time.Time, m *linkpb.Member) bool {
	f, forgotten := e.forgotten[m.Vm]
	return forgotten && now.Before(f.until) && m.Incarnation <= f.incarnation
}

// membersDigest returns the digest of the nodes that this one knows, itself
// included.
func (n *Node) membersDigest() antientropy.Digest {
	self := n.localMember()
	p := n.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known.stale {
		p.known.digest, p.known.stale = antientropy.Digest{}, false
		for _, m := range p.members {
			p.known.digest.Add(m.Vm, m.Address, m.Service)
		}
	}
	d := p.known.digest
	d.Add(self.Vm, self.Address, self.Service)
	return d
}

// mergeReported merges the members of a frame. Those of other nodes than its sender
// are hearsay: one without an incarnation comes from a record, and does not replace
// what this node has read itself.
func (p *peers) mergeReported(f *linkpb.ControlFrame) {
	now := time.Now()
	var accepted []*linkpb.Member
	p.mu.Lock()
	for _, m := range f.Members {
		if m.Vm == f.Vm {
			delete(p.known.forgotten, m.Vm)
		} else if p.known.refuses(now, m) || m.Incarnation == 0 && p.members[m.Vm] != nil {
			continue
		}
		accepted = append(accepted, m)
	}
	if theirs := digestOf(f.Have); theirs.Count > 0 && len(f.Members) == theirs.Count {
		p.known.puller.Answered(f.Vm, theirs)
	}
	p.mu.Unlock()
	p.merge(accepted...)
}

func digestOf(h *linkpb.Have) antientropy.Digest {
	return antientropy.Digest{Sum: h.GetMembersDigest(), Count: int(h.GetMembersCount())}
}

// pullMembers asks the other end of s for all members that it knows, if its digest
// shows that they differ.
func (n *Node) pullMembers(s *link.Session, have *linkpb.Have) {
	theirs := digestOf(have)
	if theirs.Count == 0 {
		return
	}
	own := n.membersDigest()
	n.peers.mu.Lock()
	begin := n.peers.known.puller.Begin(time.Now(), s.Peer().VM, own, theirs, rand.Uint64())
	n.peers.mu.Unlock()
	if !begin {
		return
	}
	n.metrics.pulls.Inc(1)
	f := n.newFrame()
	f.FetchMembers = true
	s.Send(f)
}

// sendMembers sends all known members, this node included. Their number is the
// count of the digest in the same frame, unless one has changed in between; then
// the receiver pulls again.
func (n *Node) sendMembers(s *link.Session) {
	f := n.newFrame()
	n.peers.mu.Lock()
	f.Members = append(slices.Collect(maps.Values(n.peers.members)), n.localMember())
	n.peers.mu.Unlock()
	s.Send(f)
}

// runMembers is the task that sends the new digest on all links when the known
// nodes have changed: busy links carry no heartbeats.
func (n *Node) runMembers(ctx context.Context) error {
	for ctx.Err() == nil {
		if !n.membersChanged.Wait(ctx, listInterval) {
			continue
		}
		if wait.For(ctx, announceDelay+rand.N(announceJitter)) != nil {
			break
		}
		for _, s := range n.peers.openSessions() {
			s.Send(n.newFrame())
		}
	}
	return nil
}

// knownFor returns for how long a node has been known.
func (p *peers) knownFor(vm string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	since, known := p.known.learnt[vm]
	if !known {
		return 0
	}
	return time.Since(since)
}
