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
	// firstHeartbeatWait is how long a node that has no record yet waits for its
	// upstream's first heartbeat before it writes one.
	firstHeartbeatWait = 2 * time.Second
	// listInterval and listSpread are the time between two readings of all
	// records.
	listInterval = 15 * time.Second
	listJitter   = 5 * time.Second
	// writeDelay joins changes that follow each other closely into one write.
	writeDelay = 200 * time.Millisecond
	// goneAfter is how long a node has had no link to another one when it takes
	// that one's record for left behind, and trusted how long the object API
	// must have answered without a failure.
	goneAfter      = 45 * time.Second
	minStoreUptime = 20 * time.Second
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

// recordTask writes the own record and reads the others'.
type recordTask struct {
	n        *Node
	revision uint64
	written  record
	found    bool
}

// runRecord is the duty.
func (n *Node) runRecord(ctx context.Context) error {
	d := &recordTask{n: n}
	d.initialize(ctx)
	for ctx.Err() == nil {
		changed := n.recordChanged.Wait(ctx, listInterval+rand.N(listJitter))
		switch {
		case ctx.Err() != nil:
		case changed:
			_ = wait.For(ctx, writeDelay)
			d.write(ctx)
		default:
			d.reconcile(ctx)
		}
	}
	return nil
}

// first reads all records, writes the own one where it is missing or another,
// and reads once more: of two nodes that start together, the one that reads
// later finds the other.
func (d *recordTask) initialize(ctx context.Context) {
	newBackoff().Retry(ctx, func() bool { return d.syncAll(ctx) })
	if !d.found {
		d.n.recordChanged.Wait(ctx, firstHeartbeatWait)
	}
	if d.desired() != d.written {
		d.write(ctx)
		newBackoff().Retry(ctx, func() bool { return d.syncAll(ctx) })
	}
	d.n.listed.Store(true)
}

// own is the record as it should be. Before the first heartbeat the upstream
// is taken to be the one that the old record names.
func (d *recordTask) desired() record {
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
func (d *recordTask) write(ctx context.Context) {
	newBackoff().Retry(ctx, func() bool {
		want := d.desired()
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
		d.n.observeStoreCall(callWrite, began, err)
		if err == nil {
			d.revision, d.written = o.Revision, want
			d.n.log.Info("record written", "revision", o.Revision, "instance", want.Instance)
			return true
		}
		d.refreshStored(ctx, err)
		return false
	})
}

// readOwn finds the revision to replace after a write that failed.
func (d *recordTask) refreshStored(ctx context.Context, failed error) {
	if errors.Is(failed, store.ErrUnavailable) {
		return
	}
	began := time.Now()
	o, err := d.n.objects.Get(ctx, recordKind, d.n.cfg.VM)
	switch {
	case errors.Is(err, store.ErrNotFound):
		d.revision, d.written = 0, record{}
	case err != nil:
		d.n.observeStoreCall(callRead, began, err)
	default:
		d.n.observeStoreCall(callRead, began, nil)
		d.setStored(o)
	}
}

// take takes in the own record as it lies in the store.
func (d *recordTask) setStored(o platform.Object) {
	d.revision, d.found = o.Revision, true
	if err := json.Unmarshal(o.Spec, &d.written); err != nil {
		d.n.log.Warn("own record unreadable", "revision", o.Revision, "err", err)
		d.written = record{}
	}
}

// read returns all records; stale ones may be seconds old.
func (d *recordTask) listObjects(ctx context.Context, stale bool) ([]platform.Object, error) {
	began := time.Now()
	objects, _, err := d.n.objects.List(ctx, recordKind, stale)
	d.n.observeStoreCall(callList, began, err)
	return objects, err
}

// list takes in all records and reports whether it could read them.
func (d *recordTask) syncAll(ctx context.Context) bool {
	objects, err := d.listObjects(ctx, false)
	if err != nil {
		return false
	}
	for _, o := range objects {
		if o.Name == d.n.cfg.VM {
			d.setStored(o)
			d.expectInstance()
		}
	}
	d.merge(objects)
	return true
}

// look reads all records from time to time: it finds nodes that no link told
// of, writes the own record again where it is missing, and removes those of
// nodes that are gone.
func (d *recordTask) reconcile(ctx context.Context) {
	objects, err := d.listObjects(ctx, true)
	if err != nil {
		return
	}
	d.merge(objects)
	present := make(map[string]bool, len(objects))
	for _, o := range objects {
		present[o.Name] = true
		if o.Name != d.n.cfg.VM {
			d.removeGone(ctx, o)
		}
	}
	for _, vm := range d.n.peers.unreachable() {
		if !present[vm] {
			d.n.log.Info("node forgotten", "vm", vm)
			d.n.peers.remove(vm)
		}
	}
	if !present[d.n.cfg.VM] && d.revision > 0 {
		d.refreshStored(ctx, store.ErrUnknown) // the list may be old
		d.write(ctx)
	}
}

// removeGone removes the record of a node that is long gone, under the revision
// that was read: one that has come back has written another.
func (d *recordTask) removeGone(ctx context.Context, o platform.Object) {
	down := d.n.peers.downFor(o.Name)
	answered := d.n.store.availableFor(time.Now())
	if down < goneAfter || answered < minStoreUptime || !d.n.peers.mostlyLinked() {
		return
	}
	began := time.Now()
	err := d.n.objects.Delete(ctx, recordKind, o.Name, o.Revision)
	d.n.log.Info("record removed", "vm", o.Name, "revision", o.Revision, "away_ms", down.Milliseconds(),
		"store_answers_ms", answered.Milliseconds(), "err", err)
	if errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrConflict) {
		err = nil // another node was first, or it is back
	}
	d.n.observeStoreCall(callWrite, began, err)
}

// expect takes the upstream of the own record for the present one until its
// first heartbeat.
func (d *recordTask) expectInstance() {
	w := d.written
	d.n.target.update("record", func(b *instance.Tracker) instance.Change {
		return b.Restore(w.Instance, w.Service, w.Slots)
	})
}

// learn takes in the other nodes' records. One that can't be read is left out.
func (d *recordTask) merge(objects []platform.Object) {
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
	d.n.peers.merge(members...)
}
