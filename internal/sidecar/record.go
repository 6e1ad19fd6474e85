package sidecar

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	linkpb "heathershed/api/link"
	store "heathershed/internal/platform"
	"heathershed/internal/vm/instance"
	"heathershed/internal/wait"
	"heathershed/platform"
)

const (
	// recordKind is the kind of object under which nodes keep their records.
	recordKind = "heathershed-nodes"
	// firstBeat is how long a node that has no record yet waits for its
	// upstream's first heartbeat before it writes one.
	firstBeat = 2 * time.Second
	// listEvery and listSpread are the time between two readings of all
	// records.
	listEvery  = 15 * time.Second
	listSpread = 5 * time.Second
	// settle joins changes that follow each other closely into one write.
	settle = 200 * time.Millisecond
	// goneAfter is how long a node has had no link to another one when it takes
	// that one's record for left behind, and trusted how long the object API
	// must have answered without a failure.
	goneAfter = 45 * time.Second
	trusted   = 20 * time.Second
)

// record is what a node keeps in the object API: what another node needs to
// find it, and what it needs itself after a restart.
type record struct {
	VM         string `json:"vm"`
	Datacentre string `json:"datacentre"`
	Address    string `json:"address"`
	Service    string `json:"service"`
	Instance   string `json:"instance"`
	Slots      int    `json:"slots"`
}

// recordDuty writes the own record and reads the others'.
type recordDuty struct {
	n        *Node
	revision uint64
	written  record
	known    bool
}

// runRecord is the duty.
func (n *Node) runRecord(ctx context.Context) error {
	d := &recordDuty{n: n}
	d.first(ctx)
	for ctx.Err() == nil {
		changed := n.announce.Wait(ctx, listEvery+rand.N(listSpread))
		switch {
		case ctx.Err() != nil:
		case changed:
			_ = wait.For(ctx, settle)
			d.write(ctx)
		default:
			d.look(ctx)
		}
	}
	return nil
}

// first reads all records, writes the own one where it is missing or another,
// and reads once more: of two nodes that start together, the one that reads
// later finds the other.
func (d *recordDuty) first(ctx context.Context) {
	newRetry().Retry(ctx, func() bool { return d.list(ctx) })
	if !d.known {
		d.n.announce.Wait(ctx, firstBeat)
	}
	if d.own() != d.written {
		d.write(ctx)
		newRetry().Retry(ctx, func() bool { return d.list(ctx) })
	}
	d.n.listed.Store(true)
}

// own is the record as it should be. Before the first heartbeat the upstream
// is taken to be the one that the old record names.
func (d *recordDuty) own() record {
	state := d.n.target.state()
	r := record{
		VM:         d.n.cfg.VM,
		Datacentre: d.n.cfg.Datacentre,
		Address:    d.n.cfg.Announce,
		Service:    state.Service,
		Instance:   state.ID,
		Slots:      state.Slots,
	}
	if r.Instance == "" {
		r.Service, r.Instance, r.Slots = d.written.Service, d.written.Instance, d.written.Slots
	}
	return r
}

// write writes the own record where it has changed, until it lies in the store.
func (d *recordDuty) write(ctx context.Context) {
	newRetry().Retry(ctx, func() bool {
		want := d.own()
		if want == d.written {
			return true
		}
		spec, err := json.Marshal(want)
		if err != nil {
			d.n.log.Error("record", "err", err)
			return true
		}
		began := time.Now()
		o, err := d.n.objects.Put(ctx, recordKind, platform.Object{Name: want.VM, Revision: d.revision, Spec: spec})
		d.n.called(callWrite, began, err)
		if err == nil {
			d.revision, d.written = o.Revision, want
			d.n.log.Info("record written", "revision", o.Revision, "instance", want.Instance)
			return true
		}
		d.readOwn(ctx, err)
		return false
	})
}

// readOwn finds the revision to replace after a write that failed.
func (d *recordDuty) readOwn(ctx context.Context, failed error) {
	if errors.Is(failed, store.ErrUnavailable) {
		return
	}
	began := time.Now()
	o, err := d.n.objects.Get(ctx, recordKind, d.n.cfg.VM)
	switch {
	case errors.Is(err, store.ErrNotFound):
		d.revision, d.written = 0, record{}
	case err != nil:
		d.n.called(callRead, began, err)
	default:
		d.n.called(callRead, began, nil)
		d.take(o)
	}
}

// take takes in the own record as it lies in the store.
func (d *recordDuty) take(o platform.Object) {
	d.revision, d.known = o.Revision, true
	if err := json.Unmarshal(o.Spec, &d.written); err != nil {
		d.n.log.Warn("own record unreadable", "revision", o.Revision, "err", err)
		d.written = record{}
	}
}

// read returns all records; stale ones may be seconds old.
func (d *recordDuty) read(ctx context.Context, stale bool) ([]platform.Object, error) {
	began := time.Now()
	objects, _, err := d.n.objects.List(ctx, recordKind, stale)
	d.n.called(callList, began, err)
	return objects, err
}

// list takes in all records and reports whether it could read them.
func (d *recordDuty) list(ctx context.Context) bool {
	objects, err := d.read(ctx, false)
	if err != nil {
		return false
	}
	for _, o := range objects {
		if o.Name == d.n.cfg.VM {
			d.take(o)
			d.expect()
		}
	}
	d.learn(objects)
	return true
}

// look reads all records from time to time: it finds nodes that no link told
// of, writes the own record again where it is missing, and removes those of
// nodes that are gone.
func (d *recordDuty) look(ctx context.Context) {
	objects, err := d.read(ctx, true)
	if err != nil {
		return
	}
	d.learn(objects)
	there := make(map[string]bool, len(objects))
	for _, o := range objects {
		there[o.Name] = true
		if o.Name != d.n.cfg.VM {
			d.removeGone(ctx, o)
		}
	}
	for _, vm := range d.n.peers.unreachable() {
		if !there[vm] {
			d.n.log.Info("node forgotten", "vm", vm)
			d.n.peers.forget(vm)
		}
	}
	if !there[d.n.cfg.VM] && d.revision > 0 {
		d.readOwn(ctx, store.ErrUnknown) // the list may be old
		d.write(ctx)
	}
}

// removeGone removes the record of a node that is long gone, under the revision
// that was read: one that has come back has written another.
func (d *recordDuty) removeGone(ctx context.Context, o platform.Object) {
	away := d.n.peers.downFor(o.Name)
	answered := d.n.store.answeredFor(time.Now())
	if away < goneAfter || answered < trusted || !d.n.peers.mostlyLinked() {
		return
	}
	began := time.Now()
	err := d.n.objects.Delete(ctx, recordKind, o.Name, o.Revision)
	d.n.log.Info("record removed", "vm", o.Name, "revision", o.Revision, "away_ms", away.Milliseconds(),
		"store_answers_ms", answered.Milliseconds(), "err", err)
	if errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrConflict) {
		err = nil // another node was first, or it is back
	}
	d.n.called(callWrite, began, err)
}

// expect takes the upstream of the own record for the present one until its
// first heartbeat.
func (d *recordDuty) expect() {
	w := d.written
	d.n.target.change("record", func(b *instance.Tracker) instance.Change {
		return b.Restore(w.Instance, w.Service, w.Slots)
	})
}

// learn takes in the other nodes' records. One that can't be read is left out.
func (d *recordDuty) learn(objects []platform.Object) {
	members := make([]*linkpb.Member, 0, len(objects))
	for _, o := range objects {
		if o.Name == d.n.cfg.VM {
			continue
		}
		var r record
		if err := json.Unmarshal(o.Spec, &r); err != nil || r.VM != o.Name || r.Address == "" {
			d.n.log.Warn("record unreadable", "name", o.Name, "revision", o.Revision, "err", err)
			continue
		}
		members = append(members, &linkpb.Member{
			Vm: r.VM, Datacentre: r.Datacentre, Address: r.Address,
			Service: r.Service, Instance: r.Instance, Slots: uint32(r.Slots),
		})
	}
	d.n.peers.learn(members...)
}
