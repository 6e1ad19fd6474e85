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
	// newsRing bounds the events that wait for the control duty.
	newsRing = 4096
	// controlTick is how often the control duty looks after itself.
	controlTick = 250 * time.Millisecond
	// mismatches is the number of heartbeats in a row whose digest differs
	// before the whole list of members is asked for.
	mismatches = 3
	// forgetEvery is how often tombstones that are too old are dropped.
	forgetEvery = time.Hour
	// manyMore is the ratio of members at which it is asked for at once.
	manyMore = 2
	// fetchEvery bounds how often one document is asked for.
	fetchEvery = 300 * time.Millisecond
)

// event is something that the control duty must take in.
type event interface {
	apply(c *control, now time.Time)
}

// control is the duty that owns what nodes tell each other: the member list,
// the documents and the homes of orders. Only its goroutine touches the fields
// above the line; the others are safe for concurrent use.
type control struct {
	n       *Node
	view    *membership.View
	start   *catalogue.Bootstrap
	heard   map[string]time.Time
	lost    map[string]time.Time
	differ  map[*link.Session]int
	fetched map[string]time.Time
	probed  time.Time // when the lapsed VMs to try were last chosen
	probes  map[string]bool
	spread  *spread
	forgot  time.Time // when tombstones that are too old were last dropped
	adopted uint64    // catalogue version that quota has
	editor  *editor
	orders  *orderControl
	// ---
	news    *ring.Ring[event]
	members atomic.Pointer[memberList]
	watcher atomic.Bool
	homes   *homesNews

	mu       sync.Mutex
	sessions map[*link.Session]struct{}
}

// memberList is a published state of the member list.
type memberList struct {
	all    []*linkpb.Member
	byVM   map[string]*linkpb.Member
	digest uint64
	count  int
}

func newControl(n *Node) *control {
	c := &control{
		n:        n,
		view:     membership.NewView(n.member()),
		start:    catalogue.NewBootstrap(n.started),
		heard:    make(map[string]time.Time),
		lost:     make(map[string]time.Time),
		differ:   make(map[*link.Session]int),
		fetched:  make(map[string]time.Time),
		news:     ring.New[event](newsRing),
		spread:   newSpread(),
		sessions: make(map[*link.Session]struct{}),
	}
	c.homes = &homesNews{guard: n.homes}
	c.orders = newOrderControl(n)
	c.editor = newEditor(n)
	c.publish()
	return c
}

// run is the duty.
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
		case e := <-c.news.Out():
			e.apply(c, time.Now())
		case <-c.n.demand.changed:
			c.wantLinks(time.Now())
		case <-flush.C:
			c.flushMembers(time.Now())
		case <-ticker.C:
			c.tick(time.Now())
		}
	}
}

func (c *control) tick(now time.Time) {
	c.takeRole(now)
	c.suspect(now)
	c.probeLapsed(now)
	if c.watcher.Load() {
		c.lapse(now)
	}
	if c.view.Superseded() {
		c.n.supersede()
	}
	c.beginServing(now)
	c.adoptCatalogue()
	c.orders.tick(c, now)
	c.editor.tick(c, now)
	if now.Sub(c.forgot) >= forgetEvery {
		c.forgot = now
		c.view.PruneTombstones(now)
	}
	if c.n.demand.expire(now) {
		c.wantLinks(now)
	}
}

// beginServing ends the start once enough was heard to know the catalogue.
func (c *control) beginServing(now time.Time) {
	if c.n.phase() != phaseStarting || !c.n.catalogue.Ready(c.start, now) {
		return
	}
	c.n.state.CompareAndSwap(phaseStarting, phaseServing)
	_, version := c.n.catalogue.Current()
	c.n.log.Info("serving", "vm", c.n.cfg.VM, "catalogue_version", version)
}

// adoptCatalogue hands a new catalogue to the limits.
func (c *control) adoptCatalogue() {
	current, version := c.n.catalogue.Current()
	if version == c.adopted {
		return
	}
	c.adopted = version
	c.n.quota.Adopt(current.Kinds(), c.targetsOfService())
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

// offer hands an event to the duty; a full ring counts the refusal. Digests
// make good what is lost.
func (c *control) offer(e event) bool { return c.news.Offer(e) }

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

// tellSome queues a frame on a few sessions, others each time. Heartbeats reach
// the rest.
func (c *control) tellSome(f *linkpb.ControlFrame, except *link.Session) {
	const fanOut = 4
	c.mu.Lock()
	defer c.mu.Unlock()
	told := 0
	for s := range c.sessions { // in an order that differs each time
		if s != except && told < fanOut {
			s.Send(f)
			told++
		}
	}
}

// frame returns a frame with what every frame carries.
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
