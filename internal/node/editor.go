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

// homesKey is the key of the homes document in the store.
const homesKey = "homes/head"

const (
	// refreshEvery is the age of the document's confirmation at which the first
	// watcher writes the document again.
	refreshEvery = 2 * time.Second
	// refreshStep is added for each watcher before this one, so that one
	// watcher writes and the others stand by.
	refreshStep = time.Second
	// intentFresh is the greatest age of the confirmation at which an editor
	// asks the witnesses to acknowledge a change. With an older one the store
	// may be down, and witnesses that acknowledged the change would no longer
	// confirm the current document.
	intentFresh = time.Second
	// intentPartialAfter is how long an editor waits for all changed services
	// before it writes those that are ready. intentTimeout ends an intent with
	// no ready service.
	intentPartialAfter = time.Second
	intentTimeout      = 3 * time.Second
	// editorTimeout bounds one write.
	editorTimeout = 4 * time.Second
)

// homesBase maps a version of the homes document to the version of its object
// in the store.
type homesBase struct {
	object   platform.Version
	document uint64
}

// editor keeps the homes document up to date on watchers: it refreshes the
// document's confirmation periodically and changes the lists as members join
// and leave. All fields but base, busy and writes belong to the control task.
type editor struct {
	n       *Node
	base    atomic.Pointer[homesBase]
	busy    atomic.Bool
	intent  *homes.Intent
	began   time.Time
	writes  chan editorWrite
	editing homes.Editor
}

// editorWrite is one write for the editor's task. A nil document requests a
// read.
type editorWrite struct {
	document *homes.Document
	base     platform.Version
}

// homesWrittenEvent reports a successful write to the control task.
type homesWrittenEvent struct {
	document *homes.Document
	value    []byte
}

func newEditor(n *Node) *editor {
	e := &editor{n: n, writes: make(chan editorWrite, 1)}
	e.base.Store(&homesBase{})
	return e
}

// tick decides whether to refresh or to change the document.
func (e *editor) tick(c *control, now time.Time) {
	if !c.watcher.Load() || e.busy.Load() || c.n.phase() != phaseServing {
		e.intent = nil
		return
	}
	document := c.n.homes.Current()
	base := e.base.Load()
	if base.document != document.Version {
		e.requestWrite(editorWrite{}) // read first
		return
	}
	age := now.Sub(document.Confirmed)
	wait := refreshEvery + time.Duration(e.position(c))*refreshStep
	liveHomes := e.liveHomes(c)
	e.editing.Datacentre = c.datacentreOf
	_, changed := e.editing.Edit(now, document, liveHomes)
	refreshForIntent := len(changed) > 0 && e.mayChangeLists(c, now) && age >= intentFresh
	switch {
	case e.intent != nil && e.intent.Version() == document.Version:
		e.completeIntent(now, document, base, liveHomes)
	case document.Version == 0 && len(changed) > 0:
		next, _ := e.editing.Edit(now, document, liveHomes)
		e.requestWrite(editorWrite{next, base.object})
	case len(changed) > 0 && age < intentFresh && e.mayChangeLists(c, now):
		e.beginIntent(c, now, document, changed)
	case document.Version > 0 && (age >= wait || refreshForIntent):
		e.requestWrite(editorWrite{homes.Refresh(now, document), base.object})
	}
}

// mayChangeLists reports whether this watcher may change the lists. The first
// watcher may do so immediately, each other one only after the watchers before
// it have had 3 s each to do so.
func (e *editor) mayChangeLists(c *control, now time.Time) bool {
	const standBy = 3 * time.Second
	position := e.position(c)
	if position == 0 {
		return true
	}
	if e.began.IsZero() {
		e.began = now
	}
	return now.Sub(e.began) > time.Duration(position)*standBy
}

// beginIntent asks the witnesses to acknowledge the change.
func (e *editor) beginIntent(c *control, now time.Time, document *homes.Document, changed []string) {
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

// completeIntent writes the change once a majority of the witnesses of each
// changed service has acknowledged it, or the services that are ready after
// intentPartialAfter. An intent with no ready service ends in a refresh, which
// lets the witnesses confirm the document again.
func (e *editor) completeIntent(now time.Time, document *homes.Document, base *homesBase, live map[string][]homes.Home) {
	waited := now.Sub(e.began)
	if !e.intent.Ready() && waited < intentPartialAfter {
		return
	}
	next, changed := e.intent.Edit(e.editing, now, live)
	if len(changed) == 0 {
		if waited < intentTimeout {
			return
		}
		next = homes.Refresh(now, document)
	}
	e.intent = nil
	e.began = time.Time{}
	e.requestWrite(editorWrite{next, base.object})
}

// ackIntent counts the acknowledgement of a witness.
func (e *editor) ackIntent(from homes.Home, reply *linkpb.Vouch) {
	if e.intent != nil {
		e.intent.HandleAck(from, reply)
	}
}

func (e *editor) requestWrite(w editorWrite) {
	e.busy.Store(true)
	e.writes <- w
}

// liveHomes returns the members that are to be homes, for each service with
// orders.
func (e *editor) liveHomes(c *control) map[string][]homes.Home {
	current, _ := e.n.catalogue.Current()
	orders := make(map[string]bool)
	for _, k := range current.Kinds() {
		if k.IsOrder() {
			orders[k.Service] = true
		}
	}
	liveHomes := make(map[string][]homes.Home, len(orders))
	for _, m := range c.view.Members() {
		if orders[m.Service] && m.State == linkpb.MemberState_MEMBER_STATE_UP {
			liveHomes[m.Service] = append(liveHomes[m.Service], homes.Home{VM: m.Vm, Incarnation: m.Incarnation})
		}
	}
	return liveHomes
}

// position returns the position of this node among the watchers that are up,
// ordered by data centre. The watcher at position 0 writes first.
func (e *editor) position(c *control) int {
	members := c.view.Members()
	var datacentres []string
	for _, m := range members {
		if !slices.Contains(datacentres, m.Datacentre) {
			datacentres = append(datacentres, m.Datacentre)
		}
	}
	slices.Sort(datacentres)
	position := 0
	for _, d := range datacentres {
		for _, vm := range membership.Watchers(d, members, membership.WatchersPerDatacentre) {
			if vm == e.n.cfg.VM {
				return position
			}
			position++
		}
	}
	return position
}

func (c *control) datacentreOf(vm string) string {
	if m, ok := c.view.Member(vm); ok {
		return m.Datacentre
	}
	return ""
}

// runEditor is the task that reads and writes the homes document.
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
	n.control.offer(homesWrittenEvent{w.document, value})
}

// readHomes reads the document and the version to replace.
func (n *Node) readHomes(ctx context.Context) {
	o, err := n.store.Get(ctx, homesKey)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		n.control.editor.base.Store(&homesBase{})
	case err == nil:
		n.applyObject(o)
	}
}

func (e homesWrittenEvent) apply(c *control, now time.Time) {
	before := c.homes.listsVersion.Load()
	c.offerDocument(now, documentHomes, e.document.Version, e.value, "")
	if c.homes.listsVersion.Load() != before {
		c.n.record(timeline.Event{Kind: timeline.KindHomes, Detail: "lists changed"})
	}
}
