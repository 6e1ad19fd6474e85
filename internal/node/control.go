package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/catalogue"
	"heathershed/internal/datacentre/membership"
	"heathershed/internal/link"
	"heathershed/internal/ring"
)

const (
	// eventRingSize bounds the events queued for the control task.
	eventRingSize = 4096
	// controlTick is the interval of the control task's periodic work.
	controlTick = 250 * time.Millisecond
	// mismatchLimit is the number of consecutive heartbeats with a different
	// digest after which the complete member list is requested.
	mismatchLimit = 3
	// pruneEvery is the interval at which expired tombstones are dropped.
	pruneEvery = time.Hour
	// startingRatio is the ratio of the number of members known to a peer to
	// the number known to this node above which this node has probably just
	// started and requests the list immediately.
	startingRatio = 2
	// fetchEvery is the least interval between two requests for one document.
	fetchEvery = 300 * time.Millisecond
)

// event is an input of the control task.
type event interface {
	apply(c *control, now time.Time)
}

// control is the state of the control task, which owns what nodes gossip: the
// member list, the documents and the homes of orders. Only the task's goroutine
// accesses the fields above the line, except for the parts of editor that are
// named there; the others are safe for concurrent use.
type control struct {
	n         *Node
	view      *membership.View
	bootstrap *catalogue.Bootstrap
	// lastContact is, by VM, when a frame last arrived or a session opened.
	lastContact map[string]time.Time
	// lost is, by VM, when a link that this node dialled was lost by a fault.
	lost map[string]time.Time
	// mismatches counts, by session, the consecutive heartbeats with a
	// different digest of the members.
	mismatches map[*link.Session]int
	// fetched is, by document, when it was last requested.
	fetched   map[string]time.Time
	lastProbe time.Time // when probes was last chosen
	// probes are the lapsed VMs that are dialled.
	probes       map[string]bool
	gossipQueue  *gossipQueue
	lastPrune    time.Time // when expired tombstones were last dropped
	quotaVersion uint64    // catalogue version that the quotas use
	editor       *editor
	orders       *orderControl
	// ---
	queue   *ring.Ring[event]
	members atomic.Pointer[memberList]
	watcher atomic.Bool
	homes   *homesGossip

	mu       sync.Mutex
	sessions map[*link.Session]struct{}
}

// memberList is an immutable snapshot of the member list.
type memberList struct {
	all    []*linkpb.Member
	byVM   map[string]*linkpb.Member
	digest uint64
	count  int
}

func newControl(n *Node) *control {
	c := &control{
		n:           n,
		view:        membership.NewView(n.member()),
		bootstrap:   catalogue.NewBootstrap(n.started),
		lastContact: make(map[string]time.Time),
		lost:        make(map[string]time.Time),
		mismatches:  make(map[*link.Session]int),
		fetched:     make(map[string]time.Time),
		queue:       ring.New[event](eventRingSize),
		gossipQueue: newGossipQueue(),
		sessions:    make(map[*link.Session]struct{}),
	}
	c.homes = &homesGossip{participant: n.homes}
	c.orders = newOrderControl(n)
	c.editor = newEditor(n)
	c.publish()
	return c
}

// run is the control task.
func (c *control) run(ctx context.Context) error {
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	flush := time.NewTicker(flushEvery)
	defer flush.Stop()
	c.membersChanged(time.Now())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-c.queue.Out():
			e.apply(c, time.Now())
		case <-c.n.demand.changed:
			c.updateLinkTargets(time.Now())
		case <-flush.C:
			c.flushMembers(time.Now())
		case <-ticker.C:
			c.tick(time.Now())
		}
	}
}

func (c *control) tick(now time.Time) {
	c.updateWatcherRole(now)
	c.markLapsed(now)
	c.probeLapsed(now)
	if c.watcher.Load() {
		c.expireLeases(now)
	}
	if c.view.Superseded() {
		c.n.supersede()
	}
	c.beginServing(now)
	c.adoptCatalogue()
	c.orders.tick(c, now)
	c.editor.tick(c, now)
	if now.Sub(c.lastPrune) >= pruneEvery {
		c.lastPrune = now
		c.view.PruneTombstones(now)
	}
	if c.n.demand.expire(now) {
		c.updateLinkTargets(now)
	}
}

// beginServing ends the start phase once the catalogue is ready, see
// catalogue.Holder.Ready.
func (c *control) beginServing(now time.Time) {
	if c.n.phase() != phaseStarting || !c.n.catalogue.Ready(c.bootstrap, now) {
		return
	}
	c.n.state.CompareAndSwap(phaseStarting, phaseServing)
	_, version := c.n.catalogue.Current()
	c.n.log.Info("serving", "vm", c.n.cfg.VM, "catalogue_version", version)
}

// adoptCatalogue applies a new catalogue to the quotas.
func (c *control) adoptCatalogue() {
	current, version := c.n.catalogue.Current()
	if version == c.quotaVersion {
		return
	}
	c.quotaVersion = version
	c.n.quota.SetKinds(current.Kinds(), c.targetsOfService())
	c.n.recordCatalogue(version)
}

func (c *control) targetsOfService() int {
	count := 0
	for _, m := range c.view.Members() {
		if m.Service == c.n.cfg.Service && m.State == linkpb.MemberState_MEMBER_STATE_UP {
			count++
		}
	}
	return max(count, 1)
}

func (c *control) publish() {
	digest, count := c.view.Digest()
	all := c.view.Members()
	byVM := make(map[string]*linkpb.Member, len(all))
	for _, m := range all {
		byVM[m.Vm] = m
	}
	c.members.Store(&memberList{all: all, byVM: byVM, digest: digest, count: count})
}

// offer queues an event for the control task. If the ring is full, the event is
// dropped and counted; the digests in heartbeats repair the loss of member
// records and documents.
func (c *control) offer(e event) bool { return c.queue.Offer(e) }

// broadcast queues a frame on every session but one.
func (c *control) broadcast(f *linkpb.ControlFrame, except *link.Session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s := range c.sessions {
		if s != except {
			s.Send(f)
		}
	}
}

// sessionTo returns a session with a VM, or nil.
func (c *control) sessionTo(vm string) *link.Session {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s := range c.sessions {
		if s.Peer().VM == vm {
			return s
		}
	}
	return nil
}

// sendToSome queues a frame on a few sessions, chosen at random for each frame.
// Heartbeats inform the other peers.
func (c *control) sendToSome(f *linkpb.ControlFrame, except *link.Session) {
	const fanOut = 4
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := 0
	for s := range c.sessions { // map iteration order is random
		if s != except && sent < fanOut {
			s.Send(f)
			sent++
		}
	}
}

// frame returns a frame with the fields that every frame carries.
func (c *control) frame() *linkpb.ControlFrame {
	list := c.members.Load()
	have := &linkpb.Have{
		MembersDigest: list.digest,
		MembersCount:  uint32(list.count),
	}
	c.homes.fill(have)
	if c.n.phase() != phaseStarting {
		_, have.CatalogueVersion = c.n.catalogue.Current()
	}
	return &linkpb.ControlFrame{
		Vm:          c.n.cfg.VM,
		Incarnation: c.n.incarnation,
		SentHlc:     c.n.events.Stamp(),
		Have:        have,
	}
}
