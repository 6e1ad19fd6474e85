package quota

import (
	"slices"
	"time"
)

// Delegation is the promise of a node not to use its share of the limits for a time, and
// to let another node use it: the owner, of each workspace of which that node is the
// owner by each of Lists.
type Delegation struct {
	Valid time.Duration
	// Nodes is the number of nodes among which the sender divides the limits, itself
	// included. Stale is set if the others may have ceased to count the sender; its
	// share then counts only where most nodes are in contact.
	Nodes int
	Stale bool
	Lists []ListID
	// Content holds the lists, unless the receiver is expected to know them.
	Content [][]ID
}

// ListID identifies a list of coordinators by a hash of its content.
type ListID uint64

func listID(list []ID) ListID {
	h := mix(uint64(len(list)) + 1)
	for _, id := range list {
		h = mix(h ^ uint64(id))
	}
	return ListID(h)
}

// received holds the delegations that a coordinator has received.
type received struct {
	self ID
	from map[ID]delegated
	// groups holds the delegations by their content; nodes that agree send the same.
	groups map[uint64]*group
	// lists holds the lists of coordinators that are known.
	lists map[ListID][]ID
	// next is a time before which no delegation ends.
	next time.Time
}

func newReceived(self ID) received {
	return received{
		self: self, from: make(map[ID]delegated), groups: make(map[uint64]*group), lists: make(map[ListID][]ID),
	}
}

type group struct {
	Delegation
	lists   [][]ID
	senders int
}

// maxLists bounds the lists that are kept; nodes that agree name the same.
const maxLists = 64

// learn stores a list.
func (r *received) learn(list []ID) {
	if len(r.lists) >= maxLists {
		clear(r.lists)
	}
	r.lists[listID(list)] = list
}

// resolve returns the lists that a delegation names, or false if one is not known.
func (r *received) resolve(d Delegation) (lists [][]ID, known bool) {
	for _, id := range d.Lists {
		list := r.lists[id]
		if list == nil {
			return nil, false
		}
		lists = append(lists, list)
	}
	return lists, true
}

// delegated is the delegation of one node.
type delegated struct {
	until time.Time
	group uint64
	// next takes its place at its end; nil if there is none.
	next *pending
}

type pending struct {
	Delegation
	until time.Time
}

// put stores a delegation, and reports whether it covers other workspaces than the one
// that it replaces. One that names an unknown list is not stored. One that adds lists
// covers less; the one before it holds to its end, as the sender has promised.
func (r *received) put(from ID, until time.Time, d Delegation) (changed bool) {
	for _, list := range d.Content {
		r.learn(list)
	}
	if old, known := r.from[from]; known && r.adds(d, old.group) {
		old.next = &pending{d, until}
		r.from[from] = old
		return false
	}
	return r.replace(from, until, d)
}

// adds reports whether a delegation names all lists of a group, and others.
func (r *received) adds(d Delegation, key uint64) bool {
	g := r.groups[key]
	for _, id := range g.Lists {
		if !slices.Contains(d.Lists, id) {
			return false
		}
	}
	return len(d.Lists) > len(g.Lists)
}

func (r *received) replace(from ID, until time.Time, d Delegation) (changed bool) {
	key := keyOf(d)
	if r.groups[key] == nil {
		lists, known := r.resolve(d)
		if !known {
			return false
		}
		r.groups[key] = &group{d, lists, 0}
	}
	old, known := r.from[from]
	r.from[from] = delegated{until: until, group: key}
	if len(r.from) == 1 || until.Before(r.next) {
		r.next = until
	}
	if known && old.group == key {
		return false
	}
	if known {
		r.leave(old.group)
	}
	r.groups[key].senders++
	return true
}

func (r *received) leave(key uint64) {
	g := r.groups[key]
	if g.senders--; g.senders == 0 {
		delete(r.groups, key)
	}
}

// removeEnded removes the delegations that have ended.
func (r *received) removeEnded(now time.Time) {
	var follow []ID
	var pendings []*pending
	next := now.Add(maxSeconds * time.Second)
	for id, d := range r.from {
		switch {
		case !d.until.After(now):
			r.leave(d.group)
			delete(r.from, id)
			if d.next != nil && d.next.until.After(now) {
				follow, pendings = append(follow, id), append(pendings, d.next)
			}
		case d.until.Before(next):
			next = d.until
		}
	}
	r.next = next
	for i, id := range follow {
		r.replace(id, pendings[i].until, pendings[i].Delegation)
	}
}

// share returns the part of the rate of a workspace that was delegated.
func (r *received) share(workspace ID) float64 {
	senders, nodes := 0, 0
	fresh, stale := 0.0, 0.0
	for _, g := range r.groups {
		if !r.owns(g, workspace) {
			continue
		}
		senders, nodes = senders+g.senders, max(nodes, g.Nodes)
		part := float64(g.senders) / float64(max(g.Nodes, 1))
		if g.Stale {
			stale += part
		} else {
			fresh += part
		}
	}
	if 2*senders > nodes {
		fresh += stale
	}
	return min(fresh, 1)
}

// owns reports whether this node is the owner of a workspace by all lists of a group.
func (r *received) owns(g *group, workspace ID) bool {
	for _, list := range g.lists {
		if ownerIn(list, workspace) != r.self {
			return false
		}
	}
	return len(g.lists) > 0
}

// keyOf returns a hash of the content of a delegation.
func keyOf(d Delegation) uint64 {
	key := uint64(d.Nodes) << 1
	if d.Stale {
		key++
	}
	for _, id := range d.Lists {
		key = mix(key ^ uint64(id))
	}
	return key
}

// maxFormer bounds the lists of coordinators that a delegation names beside the present
// one.
const maxFormer = 3

// promises holds what a node has promised to coordinators.
type promises struct {
	// list is the present list of coordinators, and until the end of the newest promise
	// by it.
	list  []ID
	until time.Time
	// former holds earlier lists whose promises have not ended, the oldest first. ended is
	// the one whose promises have ended last.
	former []promised
	ended  promised
	// sent holds what was sent to each coordinator.
	sent map[ID]sending
}

// sending is when the newest delegation was sent to a coordinator, and how many were
// since the list has changed.
type sending struct {
	at    time.Time
	count int
}

const (
	// The content of lists is in the first firstContents delegations by a list, and then
	// in one of contentEvery, for a coordinator that has restarted and has another view.
	firstContents = 2
	contentEvery  = 8
)

// carriesContent reports whether the next delegation has the content of its lists.
func (s sending) carriesContent() bool {
	return s.count < firstContents || s.count%contentEvery == 0
}

type promised struct {
	list  []ID
	until time.Time
}

// setList replaces the list of coordinators.
func (p *promises) setList(now time.Time, list []ID) {
	if slices.Equal(p.list, list) {
		return
	}
	if p.until.After(now) {
		p.former = append(p.former, promised{p.list, p.until})
	}
	p.list, p.until = list, time.Time{}
	clear(p.sent)
	p.removeEnded(now)
}

// removeEnded removes the lists whose promises have ended. A former list that is the
// present one again says nothing new.
func (p *promises) removeEnded(now time.Time) {
	p.former = slices.DeleteFunc(p.former, func(f promised) bool {
		if slices.Equal(f.list, p.list) {
			p.until = maxTime(p.until, f.until)
			return true
		}
		if f.until.After(now) {
			return false
		}
		p.ended = f
		return true
	})
}

// lists returns the lists that a delegation names. ok is false if there are too many.
func (p *promises) lists() (lists [][]ID, ok bool) {
	if len(p.former) > maxFormer {
		return nil, false
	}
	lists = append(lists, p.list)
	for _, f := range p.former {
		lists = append(lists, f.list)
	}
	return lists, true
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
