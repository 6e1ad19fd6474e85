package quota

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// One in nodesPerCoordinator nodes, and at least minCoordinators, own workspaces. More
	// of them divide the questions and what a failure of one affects; but each node sends
	// delegations to all of them.
	nodesPerCoordinator = 6
	minCoordinators     = 8
	// minRenewal is the least time between two delegations to a coordinator, and
	// renewalPerNode what it is for each node: a coordinator receives at most one
	// delegation in renewalPerNode, however many nodes there are.
	minRenewal     = 250 * time.Millisecond
	renewalPerNode = 8 * time.Millisecond
	// validRenewals is how many renewals a delegation lasts, so that it survives the loss
	// of two. marginDivisor gives the part of it by which the owner ends it early, which
	// covers the latency of the network and the drift of clocks.
	validRenewals = 3
	maxValid      = 10 * time.Minute
	marginDivisor = 10
	// retainFor is how long a node that is no longer known still counts as alive. A node
	// whose record was removed by mistake writes it again in that time.
	retainFor = time.Minute
	// confirmedFor is how long a reading of the records proves that the other nodes still
	// count this one. They remove a record at the earliest 45 s after they have lost the
	// links to its node, and count it for retainFor after that.
	confirmedFor = 100 * time.Second
	// askTimeout is how long an answer to a question is waited for before the next one.
	askTimeout = 250 * time.Millisecond
	// maxExtra bounds the tokens that a node holds in advance.
	maxExtra = 256
	// demandPeriod is the time constant of a node's own demand.
	demandPeriod = time.Second
)

// Workspace is a workspace with a limit.
type Workspace struct {
	Name string
	Limit
}

// Ask is a question for tokens. Sent is the time of the asking node, which a Grant
// returns.
type Ask struct {
	Workspace     string
	Needed, Extra int
	Sent          time.Duration
}

// Grant is the answer to an Ask.
type Grant struct {
	Workspace string
	Granted   int
	Sent      time.Duration
	// RetryAfter is when to ask again; 0 if all that was needed is granted.
	RetryAfter time.Duration
	// Limit is that of the owner's configuration.
	Limit Limit
}

// Verdict is the decision for a request.
type Verdict uint8

const (
	// Rejected: the workspace is over its limit.
	Rejected Verdict = iota
	// Admitted: a token was spent, or the workspace has no limit.
	Admitted
	// Unknown: the owner must be asked, or has been asked and has not answered yet.
	Unknown
)

// Decision is the decision for a request.
type Decision struct {
	Verdict
	// RetryAfter is the time until there may be tokens, for a request that is rejected.
	RetryAfter time.Duration
	// To is the node that Ask must be sent to; empty if no question is due.
	To  string
	Ask Ask
}

// Delegating is a delegation with the node that it must be sent to.
type Delegating struct {
	To string
	Delegation
}

// Change says that a workspace has reached its limit, or is below it again.
type Change struct {
	Workspace string
	Limited   bool
	// Rejected is the number of requests that were rejected meanwhile.
	Rejected int
}

// Node decides for one node. It is safe for concurrent use.
type Node struct {
	mu      sync.Mutex
	config  Config
	self    string
	id      ID
	started time.Time
	// together is when the nodes that may hold a delegation of before the start were
	// found to have started with this one; the zero time if they were not.
	together time.Time
	latest   time.Time

	accounts map[string]*account
	// members holds the nodes that may be alive, this one included, with the time at
	// which each was known last.
	members map[string]time.Time
	ranked  []ranked
	names   map[ID]string
	// confirmed is when the records were read last, and knowing since when they are known.
	confirmed time.Time
	knowing   time.Time
	received  received
	promises  promises
	// linked holds the nodes that messages can be sent to.
	linked map[ID]bool
}

type ranked struct {
	name string
	id   ID
}

// NewNode returns the state of a node that starts now.
func NewNode(self string, config Config, now time.Time) *Node {
	n := &Node{
		config: config, self: self, id: IDOf(self), started: now, latest: now,
		accounts: make(map[string]*account),
		members:  map[string]time.Time{self: now},
	}
	n.received = newReceived(n.id)
	n.promises.sent = make(map[ID]sending)
	n.rank()
	return n
}

// SetConfig replaces the common part of the limits.
func (n *Node) SetConfig(now time.Time, c Config) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c == n.config {
		return
	}
	now = n.settle(now)
	n.config = c
	for _, a := range n.accounts {
		n.setLimit(now, a, a.terms.Limit)
	}
}

// SetWorkspaces replaces the workspaces that have a limit. A lowered limit is binding at
// once.
func (n *Node) SetWorkspaces(now time.Time, all []Workspace) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now = n.settle(now)
	present := make(map[string]bool, len(all))
	for _, w := range all {
		present[w.Name] = true
		a := n.accounts[w.Name]
		if a == nil {
			t := n.config.terms(w.Limit)
			a = &account{id: IDOf(w.Name), name: w.Name, terms: t, pool: newPool(now, t), demandAt: now}
			a.share = n.received.share(a.id)
			n.accounts[w.Name] = a
		} else if a.terms.Limit != w.Limit {
			n.setLimit(now, a, w.Limit)
		}
	}
	for name := range n.accounts {
		if !present[name] {
			delete(n.accounts, name)
		}
	}
}

func (n *Node) setLimit(now time.Time, a *account, l Limit) {
	a.pool.advance(now, a.share)
	if l.lower(a.terms.Limit) {
		a.held = [heldLots]heldTokens{}
	}
	a.terms = n.config.terms(l)
	a.pool.setTerms(a.terms)
	a.denied = time.Time{}
}

// SetMembers sets the nodes that are known. One that is no longer among them counts as
// alive for retainFor. confirmed is when the records of the nodes were read last, zero
// for never.
func (n *Node) SetMembers(now time.Time, known []string, confirmed time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now = n.settle(now)
	if n.confirmed.IsZero() && !confirmed.IsZero() {
		n.knowing = now
	}
	n.confirmed = confirmed
	changed := false
	for _, vm := range append(known, n.self) {
		if _, old := n.members[vm]; !old {
			changed = true
		}
		n.members[vm] = now
	}
	for vm, at := range n.members {
		if now.Sub(at) > retainFor {
			delete(n.members, vm)
			changed = true
		}
	}
	if changed {
		n.rank()
	}
	n.updateShares(now)
}

// settledAfter is how long a node that has started waits for tokens beyond the time at
// which all nodes have delegated their shares, if all have started with it.
const settledAfter = time.Second

// settledTogetherAfter is the same where the node need not wait: the owners have the
// delegations of most nodes after two renewals at the least.
const settledTogetherAfter = 2 * minRenewal

// Settled reports whether there are tokens even if all nodes have started with this one.
func (n *Node) Settled(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.together.IsZero() {
		return now.Sub(n.together) >= settledTogetherAfter
	}
	return len(n.accounts) == 0 || !n.knowing.IsZero() && now.Sub(n.knowing) >= n.valid()+settledAfter
}

// settle ends the delegations that have ended by now, after the tokens of the time up to
// the end of each were created. It returns the time, which never goes back.
func (n *Node) settle(now time.Time) time.Time {
	for len(n.received.from) > 0 && !n.received.next.After(now) {
		end := n.received.next
		n.received.removeEnded(end)
		n.updateShares(end)
	}
	n.latest = maxTime(n.latest, now)
	return n.latest
}

// updateShares creates the tokens of the time up to now at the old shares and computes
// the new ones.
func (n *Node) updateShares(now time.Time) {
	for _, a := range n.accounts {
		a.pool.advance(now, a.share)
		a.share = n.received.share(a.id)
	}
}

// Admit decides whether a request of a workspace may be sent. counted says that the
// request was decided before, with the verdict Unknown.
func (n *Node) Admit(now time.Time, workspace string, counted bool) Decision {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := n.accounts[workspace]
	if a == nil {
		return Decision{Verdict: Admitted}
	}
	now = n.settle(now)
	if !counted {
		a.countDemand(now)
	}
	if a.spend(now) {
		return n.refill(now, a)
	}
	if a.denied.After(now) {
		return n.reject(now, a)
	}
	return n.ask(now, a, 1)
}

// Expired decides for a request whose question was not answered in time.
func (n *Node) Expired(now time.Time, workspace string) Decision {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := n.accounts[workspace]
	if a == nil {
		return Decision{Verdict: Admitted}
	}
	now = n.settle(now)
	a.denied = maxTime(a.denied, now.Add(n.renewal()))
	return n.reject(now, a)
}

func (n *Node) reject(now time.Time, a *account) Decision {
	a.lastRejected = now
	a.rejected++
	return Decision{Verdict: Rejected, RetryAfter: max(a.denied.Sub(now), 0)}
}

// refill asks for further tokens in advance if a node with the demand of this one is
// soon without.
func (n *Node) refill(now time.Time, a *account) Decision {
	d := Decision{Verdict: Admitted}
	if extra := a.extra(); 2*a.holding(now) >= extra || a.denied.After(now) {
		return d
	}
	asked := n.ask(now, a, 0)
	d.To, d.Ask = asked.To, asked.Ask
	return d
}

// ask returns the question for tokens, if none is on its way, or the decision where this
// node is the owner.
func (n *Node) ask(now time.Time, a *account, needed int) Decision {
	owner := n.ownerToAsk(now, a)
	if owner == n.id {
		return n.decide(now, a, needed)
	}
	d := Decision{Verdict: Unknown}
	if owner == 0 || a.asked && now.Sub(a.askedAt) < askTimeout {
		a.waiting += needed
		return d
	}
	a.asked, a.askedAt = true, now
	d.To = n.names[owner]
	d.Ask = Ask{Workspace: a.name, Needed: max(needed+a.waiting, 1), Extra: a.extra(), Sent: now.Sub(n.started)}
	a.waiting = 0
	return d
}

// maxLinger bounds how long a node asks an earlier owner after its promises have ended.
const maxLinger = time.Second

// knownFor returns for how long this node has known the records.
func (n *Node) knownFor(now time.Time) time.Duration {
	if n.knowing.IsZero() {
		return 0
	}
	return now.Sub(n.knowing)
}

// ownerToAsk returns the owner of a workspace, or 0 if there is none. Where another one
// takes it over, that is the earlier one for as long as the promise to it lasts, and for
// half of the life of the tokens that it has: the next one has none at first.
func (n *Node) ownerToAsk(now time.Time, a *account) ID {
	earlier := n.promises.ended
	if len(n.promises.former) > 0 {
		earlier = n.promises.former[0]
	}
	if now.Before(earlier.until.Add(min(a.terms.pooled/2, maxLinger))) {
		if owner := ownerIn(earlier.list, a.id); n.linked[owner] {
			return owner
		}
	}
	owner := ownerIn(n.promises.list, a.id)
	if owner == n.id && len(n.promises.list) > 1 && n.together.IsZero() && n.knownFor(now) < 2*n.valid()+maxLinger && a.stock(now) < 1 {
		// This node has started; the others may still ask the one that is next.
		others := slices.DeleteFunc(slices.Clone(n.promises.list), func(id ID) bool { return id == n.id })
		owner = ownerIn(others, a.id)
	}
	return owner
}

// decide is ask for a workspace that this node owns.
func (n *Node) decide(now time.Time, a *account, needed int) Decision {
	if needed == 0 {
		return Decision{Verdict: Admitted}
	}
	g := n.grantTo(now, a, n.id, needed, 0)
	if g.Granted > 0 {
		return Decision{Verdict: Admitted}
	}
	if n.knownFor(now) < n.valid() { // links to the owner may not be up yet
		return Decision{Verdict: Unknown}
	}
	a.denied = now.Add(g.RetryAfter)
	return n.reject(now, a)
}

// HandleAsk answers a question. known is false if this node does not know the workspace,
// or no limit of it.
func (n *Node) HandleAsk(now time.Time, from string, ask Ask) (grant Grant, known bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := n.accounts[ask.Workspace]
	if a == nil {
		return Grant{}, false
	}
	grant = n.grantTo(n.settle(now), a, IDOf(from), min(ask.Needed, math.MaxInt32), min(ask.Extra, maxExtra))
	grant.Sent = ask.Sent
	return grant, true
}

func (n *Node) grantTo(now time.Time, a *account, to ID, needed, extra int) Grant {
	a.pool.advance(now, a.share)
	a.pool.note(now, to)
	g := Grant{Workspace: a.name, Limit: a.terms.Limit, Granted: a.pool.grant(needed, extra)}
	if g.Granted < needed {
		g.RetryAfter = a.pool.retryAfter(a.share)
	}
	return g
}

// HandleGrant records an answer. The tokens expire by the time of the question, which
// was before they were granted.
func (n *Node) HandleGrant(now time.Time, g Grant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := n.accounts[g.Workspace]
	if a == nil {
		return
	}
	now = n.settle(now)
	sent := n.started.Add(g.Sent)
	if sent.Equal(a.askedAt) {
		a.asked = false
	}
	if g.RetryAfter > 0 {
		a.denied = now.Add(g.RetryAfter)
	}
	if !a.terms.Limit.lower(g.Limit) { // granted by a limit that is not in force here any more
		a.hold(heldTokens{g.Granted, sent.Add(a.terms.held)})
	}
}

// Changes returns the workspaces that have reached their limit at this node since the
// last call, and those of which no request was rejected for a window.
func (n *Node) Changes(now time.Time) []Change {
	n.mu.Lock()
	defer n.mu.Unlock()
	now = n.settle(now)
	var changes []Change
	for _, a := range n.accounts {
		limited := a.rejected > 0 && now.Sub(a.lastRejected) <= n.config.Window
		if limited != a.limited {
			changes = append(changes, Change{Workspace: a.name, Limited: limited, Rejected: a.rejected})
		}
		a.limited = limited
		if !limited {
			a.rejected = 0
		}
	}
	return changes
}
