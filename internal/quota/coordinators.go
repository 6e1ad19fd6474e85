package quota

import (
	"cmp"
	"slices"
	"time"
)

// rank orders the nodes as coordinators. The order depends only on their names.
func (n *Node) rank() {
	n.ranked = n.ranked[:0]
	n.names = make(map[ID]string, len(n.members))
	for vm := range n.members {
		id := IDOf(vm)
		n.ranked = append(n.ranked, ranked{vm, id})
		n.names[id] = vm
	}
	slices.SortFunc(n.ranked, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(mix(uint64(a.id)), mix(uint64(b.id))), cmp.Compare(a.name, b.name))
	})
}

// coordinators returns the number of coordinators.
func (n *Node) coordinators() int { return max(minCoordinators, len(n.members)/nodesPerCoordinator) }

// Wanted returns the nodes that this one should have links to: the first coordinators,
// and as many others as there are among them that down reports to be down.
func (n *Node) Wanted(down func(vm string) bool) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var wanted []string
	up := 0
	for _, r := range n.ranked {
		if up == n.coordinators() {
			break
		}
		if r.name == n.self {
			up++
			continue
		}
		wanted = append(wanted, r.name)
		if !down(r.name) {
			up++
		}
	}
	return wanted
}

// SetLinked tells which nodes messages can be sent to. The coordinators are the first of
// them by rank; a node that reaches none is its own.
func (n *Node) SetLinked(now time.Time, linked func(vm string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now = n.settle(now)
	var list []ID
	n.linked = make(map[ID]bool, len(n.ranked))
	for _, r := range n.ranked {
		usable := r.name == n.self || linked(r.name)
		n.linked[r.id] = usable
		if usable && len(list) < n.coordinators() {
			list = append(list, r.id)
		}
	}
	n.received.learn(list)
	n.promises.setList(now, list)
}

// renewal returns the time between two delegations to a coordinator, and valid how long
// each lasts.
func (n *Node) renewal() time.Duration {
	return max(minRenewal, time.Duration(len(n.members))*renewalPerNode)
}

func (n *Node) valid() time.Duration { return validRenewals * n.renewal() }

// SetStartedTogether tells which nodes can be reached and have started with this one, as
// after a loss of power. They hold no delegation of before this node's start. If most that
// may hold one have, and none that can be reached may, the node need not wait for its end.
// Those that may are the coordinators, and as many further nodes by rank, which take the
// places of coordinators that fail. A few may be out of reach: the records name nodes that
// are gone, too. It reports whether that is found now.
func (n *Node) SetStartedTogether(now time.Time, together func(vm string) bool) (found bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now = n.settle(now)
	if !n.together.IsZero() || n.confirmed.IsZero() || n.waited(now) {
		return false
	}
	unreachable := 0
	for i, r := range n.ranked[:min(2*n.coordinators(), len(n.ranked))] {
		switch {
		case r.name == n.self || together(r.name):
		case n.linked[r.id]:
			return false
		case i < n.coordinators():
			unreachable++
		}
	}
	if unreachable > min(n.coordinators(), len(n.ranked))/unreachableDivisor {
		return false
	}
	n.together = now
	return true
}

// unreachableDivisor bounds the part of the coordinators that may be out of reach of nodes
// that have started together.
const unreachableDivisor = 4

// waited reports whether no delegation of before the start of this node lasts, and it has
// known the records for long enough.
func (n *Node) waited(now time.Time) bool {
	known := !n.confirmed.IsZero() && now.Sub(n.knowing) >= n.valid()
	return known || !n.together.IsZero()
}

// Delegate returns the delegations that are due. A node that has started sends none for
// as long as one of before its start may last. It sends none either until it has known
// the records for that long: nodes that start together learn of one another meanwhile.
func (n *Node) Delegate(now time.Time) []Delegating {
	n.mu.Lock()
	defer n.mu.Unlock()
	now = n.settle(now)
	if !n.waited(now) || len(n.accounts) == 0 {
		return nil
	}
	n.promises.removeEnded(now)
	lists, ok := n.promises.lists()
	if !ok {
		return nil
	}
	var due []Delegating
	for _, id := range n.promises.list {
		sent := n.promises.sent[id]
		if sent.count > 0 && now.Sub(sent.at) < n.renewal() {
			continue
		}
		n.promises.sent[id] = sending{now, sent.count + 1}
		n.promises.until = now.Add(n.valid())
		d := Delegation{Valid: n.valid(), Nodes: len(n.members), Stale: now.Sub(n.confirmed) > confirmedFor}
		for _, list := range lists {
			d.Lists = append(d.Lists, listID(list))
		}
		if sent.carriesContent() {
			d.Content = lists
		}
		if id == n.id {
			n.accept(now, id, d, 0)
			continue
		}
		due = append(due, Delegating{To: n.names[id], Delegation: d})
	}
	return due
}

// HandleDelegation records a delegation that another node has sent. heldUp is the delay
// of its message.
func (n *Node) HandleDelegation(now time.Time, from string, d Delegation, heldUp time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.accept(n.settle(now), IDOf(from), d, heldUp)
}

func (n *Node) accept(now time.Time, from ID, d Delegation, heldUp time.Duration) {
	if d.Nodes <= 0 || d.Valid > maxValid || len(d.Lists) > maxFormer+1 || len(d.Content) > maxFormer+1 {
		return // not sent by this version
	}
	until := now.Add(d.Valid - d.Valid/marginDivisor - heldUp)
	if until.After(now) && n.received.put(from, until, d) {
		n.updateShares(now)
	}
}
