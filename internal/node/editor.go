package node

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	linkpb "heathershed/api/link"
	"heathershed/internal/datacentre/membership"
	"heathershed/internal/order/homes"
	"heathershed/internal/platform"
	"heathershed/internal/timeline"
)

// homesKey is the key of the document in the store.
const homesKey = "homes/head"

const (
	// refreshEvery is the age of the document's confirmation at which the
	// first watcher writes it again.
	refreshEvery = 2 * time.Second
	// refreshStep is added for each watcher before this one, so that one
	// writes and the others stand by.
	refreshStep = time.Second
	// intentFresh is the age of the confirmation up to which an editor asks
	// witnesses to take note of a change. With an older one the store may be
	// down, and witnesses that took note would vouch no more.
	intentFresh = time.Second
	// intentWait is how long an editor waits for all changed services before
	// it writes those that are ready; intentGiveUp ends the intent.
	intentWait   = time.Second
	intentGiveUp = 3 * time.Second
	// editorTimeout bounds one write.
	editorTimeout = 4 * time.Second
)

// homesBase ties the document's own version to the store's.
type homesBase struct {
	object   platform.Version
	document uint64
}

// editor keeps the homes of orders up to date, at watchers: it confirms the
// document from time to time and changes lists as members come and go. All
// fields but base and busy belong to the control duty.
type editor struct {
	n       *Node
	base    atomic.Pointer[homesBase]
	busy    atomic.Bool
	intent  *homes.Intent
	began   time.Time
	writes  chan editorWrite
	editing homes.Editor
}

// editorWrite is one write for the editor's duty.
type editorWrite struct {
	document *homes.Document
	base     platform.Version
}

// wroteEvent tells the control duty of a write that took effect.
type wroteEvent struct {
	document *homes.Document
	value    []byte
}

func newEditor(n *Node) *editor {
	e := &editor{n: n, writes: make(chan editorWrite, 1)}
	e.base.Store(&homesBase{})
	return e
}

// tick decides whether to confirm or to change the document.
func (e *editor) tick(c *control, now time.Time) {
	if !c.watcher.Load() || e.busy.Load() || c.n.phase() != phaseServing {
		e.intent = nil
		return
	}
	document := c.n.homes.Current()
	base := e.base.Load()
	if base.document != document.Version {
		e.request(editorWrite{}) // read first
		return
	}
	age := now.Sub(document.Confirmed)
	wait := refreshEvery + time.Duration(e.rank(c))*refreshStep
	live := e.live(c)
	e.editing.Datacentre = c.datacentreOf
	_, changed := e.editing.Edit(now, document, live)
	waits := len(changed) > 0 && e.mayChange(c, now) && age >= intentFresh
	switch {
	case e.intent != nil && e.intent.Version() == document.Version:
		e.pursue(now, document, base, live)
	case document.Version == 0 && len(changed) > 0:
		next, _ := e.editing.Edit(now, document, live)
		e.request(editorWrite{next, base.object})
	case len(changed) > 0 && age < intentFresh && e.mayChange(c, now):
		e.begin(c, now, document, changed)
	case document.Version > 0 && (age >= wait || waits):
		e.request(editorWrite{homes.Refresh(now, document), base.object})
	}
}

// mayChange lets the first watcher change lists at once and the others only
// when the first one doesn't.
func (e *editor) mayChange(c *control, now time.Time) bool {
	const standBy = 3 * time.Second
	rank := e.rank(c)
	if rank == 0 {
		return true
	}
	if e.began.IsZero() {
		e.began = now
	}
	return now.Sub(e.began) > time.Duration(rank)*standBy
}

// begin asks the witnesses to take note.
func (e *editor) begin(c *control, now time.Time, document *homes.Document, changed []string) {
	e.intent = homes.NewIntent(document, changed)
	e.began = now
	f := c.frame()
	f.Vouch = e.intent.Ask(now)
	self := e.n.self()
	for _, w := range e.intent.Witnesses() {
		if w == self {
			e.intent.HandleAck(self, e.n.homes.Answer(now, f.Vouch))
			continue
		}
		if s := c.sessionTo(w.VM); s != nil {
			s.Send(f)
			continue
		}
		e.n.demand.vm(now, w.VM)
	}
}

// pursue writes the change once a majority of each service took note, or what
// is ready after a while. An intent that nothing came of ends in a refresh,
// which lets the witnesses vouch again.
func (e *editor) pursue(now time.Time, document *homes.Document, base *homesBase, live map[string][]homes.Home) {
	waited := now.Sub(e.began)
	if !e.intent.Ready() && waited < intentWait {
		return
	}
	next, changed := e.intent.Edit(e.editing, now, live)
	if len(changed) == 0 {
		if waited < intentGiveUp {
			return
		}
		next = homes.Refresh(now, document)
	}
	e.intent = nil
	e.began = time.Time{}
	e.request(editorWrite{next, base.object})
}

// taken counts a witness that took note.
func (e *editor) taken(from homes.Home, reply *linkpb.Vouch) {
	if e.intent != nil {
		e.intent.HandleAck(from, reply)
	}
}

func (e *editor) request(w editorWrite) {
	e.busy.Store(true)
	e.writes <- w
}

// live returns the members that shall be homes, for services with orders.
func (e *editor) live(c *control) map[string][]homes.Home {
	current, _ := e.n.catalogue.Current()
	orders := make(map[string]bool)
	for _, k := range current.Kinds() {
		if k.IsOrder() {
			orders[k.Service] = true
		}
	}
	live := make(map[string][]homes.Home, len(orders))
	for _, m := range c.view.Members() {
		if orders[m.Service] && m.State == linkpb.MemberState_MEMBER_STATE_UP {
			live[m.Service] = append(live[m.Service], homes.Home{VM: m.Vm, Incarnation: m.Incarnation})
		}
	}
	return live
}

// rank is the place of this node among all watchers that are up.
func (e *editor) rank(c *control) int {
	members := c.view.Members()
	var datacentres []string
	for _, m := range members {
		if !slices.Contains(datacentres, m.Datacentre) {
			datacentres = append(datacentres, m.Datacentre)
		}
	}
	slices.Sort(datacentres)
	rank := 0
	for _, d := range datacentres {
		for _, vm := range membership.Watchers(d, members, membership.WatchersPerDatacentre) {
			if vm == e.n.cfg.VM {
				return rank
			}
			rank++
		}
	}
	return rank
}

func (c *control) datacentreOf(vm string) string {
	if m, ok := c.view.Member(vm); ok {
		return m.Datacentre
	}
	return ""
}

// runEditor is the duty that writes the document.
func (n *Node) runEditor(ctx context.Context) error {
	e := n.control.editor
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case w := <-e.writes:
			n.writeHomes(ctx, w)
			e.busy.Store(false)
		}
	}
}

func (n *Node) writeHomes(ctx context.Context, w editorWrite) {
	ctx, cancel := context.WithTimeout(ctx, editorTimeout)
	defer cancel()
	if w.document == nil {
		n.readHomes(ctx)
		return
	}
	value, err := w.document.Encode()
	if err != nil {
		n.log.Error("homes document", "err", err)
		return
	}
	o, err := n.store.Put(ctx, homesKey, value, w.base, uuid.NewString())
	if err != nil {
		n.readHomes(ctx)
		return
	}
	n.control.editor.base.Store(&homesBase{object: o.Version, document: w.document.Version})
	n.control.offer(wroteEvent{w.document, value})
}

// readHomes finds the document and the version to replace.
func (n *Node) readHomes(ctx context.Context) {
	o, err := n.store.Get(ctx, homesKey)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		n.control.editor.base.Store(&homesBase{})
	case err == nil:
		n.takeObject(o)
	}
}

func (e wroteEvent) apply(c *control, now time.Time) {
	before := c.homes.listsVersion.Load()
	c.takeDocument(now, documentHomes, e.document.Version, e.value, "")
	if c.homes.listsVersion.Load() != before {
		c.n.record(timeline.Event{Kind: timeline.KindHomes, Detail: "lists changed"})
	}
}
