package node

import (
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/link"
)

// flushEvery is how long changed records are collected before they are sent in
// one frame. Many change at once when a data centre fails.
const flushEvery = 50 * time.Millisecond

// gossipQueue collects changed member records. Each session is sent the records
// that it did not deliver itself. The queue belongs to the control task.
type gossipQueue struct {
	pending map[string]*gossipRecord
	dirty   bool // the list has changed since the last flush
}

// gossipRecord is one changed record and the sessions whose peers have it.
type gossipRecord struct {
	member  *linkpb.Member
	knownBy map[*link.Session]bool
}

func newGossipQueue() *gossipQueue { return &gossipQueue{pending: make(map[string]*gossipRecord)} }

// add queues a record that changed at this node.
func (q *gossipQueue) add(m *linkpb.Member) {
	q.pending[m.Vm] = &gossipRecord{member: m, knownBy: make(map[*link.Session]bool)}
	q.dirty = true
}

// markKnown records that the peer of a session has a record.
func (q *gossipQueue) markKnown(m *linkpb.Member, from *link.Session) {
	r := q.pending[m.Vm]
	if r != nil && from != nil && r.member.Incarnation == m.Incarnation && r.member.Sequence == m.Sequence {
		r.knownBy[from] = true
	}
}

// missingAt returns the pending records that the peer of a session may lack.
func (q *gossipQueue) missingAt(to *link.Session) []*linkpb.Member {
	var list []*linkpb.Member
	for _, r := range q.pending {
		if !r.knownBy[to] {
			list = append(list, r.member)
		}
	}
	return list
}

// flushMembers applies the changed member list to its dependants and sends the
// changes to the sessions.
func (c *control) flushMembers(now time.Time) {
	if !c.gossipQueue.dirty {
		return
	}
	c.gossipQueue.dirty = false
	c.membersChanged(now)
	c.mu.Lock()
	for s := range c.sessions {
		if records := c.gossipQueue.missingAt(s); len(records) > 0 {
			f := c.frame()
			f.Members = records
			s.Send(f)
		}
	}
	c.mu.Unlock()
	clear(c.gossipQueue.pending)
}

// mergeMembers merges records into the view and queues those to be forwarded.
func (c *control) mergeMembers(now time.Time, records []*linkpb.Member, from *link.Session) {
	for _, m := range c.view.Apply(now, records) {
		c.n.recordMember(m)
		c.gossipQueue.add(m)
	}
	for _, m := range records {
		c.gossipQueue.markKnown(m, from)
	}
}
