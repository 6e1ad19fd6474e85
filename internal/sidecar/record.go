package sidecar

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	linkpb "heathershed/api/link"
	"heathershed/internal/bootclock"
	store "heathershed/internal/platform"
	"heathershed/internal/vm/instance"
	"heathershed/internal/wait"
	"heathershed/platform"
)

const (
	// recordKind is the kind of object in which nodes store their records.
	recordKind = "heathershed-nodes"
	// firstHeartbeatWait is how long a node without a record waits for the
	// first heartbeat of its upstream before it writes one.
	firstHeartbeatWait = 2 * time.Second
	// All records are read again every listInterval plus up to listJitter.
	listInterval = 15 * time.Second
	listJitter   = 5 * time.Second
	// writeDelay coalesces changes that closely follow each other into one
	// write.
	writeDelay = 200 * time.Millisecond
	// A node removes the record of another one if it has had no link to it for
	// goneAfter, the object API has answered every call for
	// minStoreAvailability, and most of the links that the node wants are up.
	goneAfter            = 45 * time.Second
	minStoreAvailability = 20 * time.Second
)

// record is what a node stores in the object API: what other nodes need to
// reach it, and what it needs itself after a restart.
type record struct {
	VM         string `json:"vm"`
	Datacentre string `json:"datacentre"`
	Address    string `json:"address"`
	Service    string `json:"service"`
	Instance   string `json:"instance"`
	Slots      int    `json:"slots"`
	// Leaving and DrainSeq are those of instance.Stored.
	Leaving  bool   `json:"leaving,omitempty"`
	DrainSeq uint64 `json:"drainSeq,omitempty"`
}

// setInstance sets what the next process needs to know of the upstream.
func (r *record) setInstance(s instance.Stored) {
	r.Instance, r.Service, r.Slots, r.Leaving, r.DrainSeq = s.ID, s.Service, s.Slots, s.Leaving, s.DrainSeq
}

// stored is the reverse of setInstance.
func (r *record) stored() instance.Stored {
	return instance.Stored{ID: r.Instance, Service: r.Service, Slots: r.Slots, Leaving: r.Leaving, DrainSeq: r.DrainSeq}
}

// decodeRecord decodes the record of a node. Another writer may have left anything
// there, so what is out of range is an error.
func decodeRecord(o platform.Object) (record, error) {
	if o.Err != nil {
		return record{}, o.Err
	}
	var r record
	if err := json.Unmarshal(o.Spec, &r); err != nil {
		return record{}, errors.Wrapf(err, "record %.80q", o.Name)
	}
	if err := r.validate(o.Name); err != nil {
		return record{}, errors.Wrapf(err, "record %.80q", o.Name)
	}
	return r, nil
}

// validate checks that a record read under a name can be used.
func (r *record) validate(name string) error {
	for _, text := range []string{r.VM, r.Datacentre, r.Service, r.Instance} {
		if len(text) > maxRecordText {
			return errors.Newf("text of %d bytes: want at most %d", len(text), maxRecordText)
		}
	}
	if r.VM != name || r.VM == "" {
		return errors.Newf("vm %.80q: want the name of the record", r.VM)
	}
	if _, err := netip.ParseAddrPort(r.Address); err != nil {
		return errors.Newf("address %.80q: want ip:port", r.Address)
	}
	if r.Slots < 0 || r.Slots > instance.MaxSlots {
		return errors.Newf("slots %d: want 0 to %d", r.Slots, instance.MaxSlots)
	}
	return nil
}

// maxRecordText bounds each text of a record, in bytes: a message of a link carries
// those of all nodes.
const maxRecordText = 256

// recordTask writes the local record and reads those of the other nodes. found
// is set once the local record was read from the store; written and revision
// are its last stored content and revision.
type recordTask struct {
	n        *Node
	revision uint64
	written  record
	found    bool
	// unreadable holds why records in the last list can't be decoded.
	unreadable map[string]bool
}

// runRecord is the task that keeps the records up to date.
func (n *Node) runRecord(ctx context.Context) error {
	d := &recordTask{n: n}
	d.initialize(ctx)
	for ctx.Err() == nil {
		changed := n.recordChanged.Wait(ctx, listInterval+rand.N(listJitter))
		switch {
		case ctx.Err() != nil:
		case changed:
			if !d.announcesLeaving() {
				_ = wait.For(ctx, writeDelay)
			}
			d.write(ctx)
			if d.n.listDue.Swap(false) {
				d.syncAll(ctx)
			}
		default:
			d.reconcile(ctx)
		}
	}
	return nil
}

// initialize reads all records, writes the local one if it is missing or
// differs, and then reads all of them again: of two nodes that start at the
// same time, the one that reads later finds the other.
func (d *recordTask) initialize(ctx context.Context) {
	newBackoff().Retry(ctx, func() bool { return d.syncAll(ctx) })
	if !d.found {
		d.n.recordChanged.Wait(ctx, firstHeartbeatWait)
	} else {
		d.n.quotas.restarted.Store(true)
	}
	if d.desired() != d.written {
		d.write(ctx)
		newBackoff().Retry(ctx, func() bool { return d.syncAll(ctx) })
	}
	d.n.listed.Store(true)
	d.n.quotas.recordsRead(bootclock.Now())
}

// desired returns the record as it should be stored. Until the first
// heartbeat, the upstream of the stored record is assumed if that is of this service.
func (d *recordTask) desired() record {
	r := record{VM: d.n.cfg.VM, Datacentre: d.n.cfg.Datacentre, Address: d.n.cfg.Announce}
	if d.written.Service == d.n.cfg.Service {
		r.setInstance(d.written.stored())
	}
	if state := d.n.target.state(); state.ID != "" {
		r.setInstance(state.Stored())
	}
	return r
}

// announcesLeaving reports whether the upstream leaves and the stored record does
// not say so.
func (d *recordTask) announcesLeaving() bool {
	want := d.desired()
	return want.Leaving && want != d.written
}

// write writes the local record if it has changed, and retries until it is
// stored.
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
			d.n.stored.set(want.stored())
			d.n.log.Info("record written", "revision", o.Revision, "instance", want.Instance)
			return true
		}
		d.refreshStored(ctx, err)
		return false
	})
}

// refreshStored reads the stored record again after a failed write; the next
// write is conditional on its revision. After a write that the store did not
// execute, it does nothing.
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

// setStored adopts the stored content and revision of the local record.
func (d *recordTask) setStored(o platform.Object) {
	d.revision, d.found = o.Revision, true
	var err error
	if d.written, err = decodeRecord(o); err != nil {
		d.n.log.Warn("own record unreadable", "revision", o.Revision, "err", shorten(err.Error()))
	}
	d.n.stored.set(d.written.stored())
}

// listObjects returns all records. With stale set, they may be seconds old.
func (d *recordTask) listObjects(ctx context.Context, stale bool) ([]platform.Object, error) {
	began := time.Now()
	objects, _, err := d.n.objects.List(ctx, recordKind, stale)
	d.n.observeStoreCall(callList, began, err)
	return objects, err
}

// syncAll merges all records and reports whether they could be read.
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

// reconcile reads all records. It finds nodes that no link has reported,
// writes the local record again if it is missing, and removes the records of
// nodes that are gone.
func (d *recordTask) reconcile(ctx context.Context) {
	began := bootclock.Now()
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
	d.forgetGone(present)
	if present[d.n.cfg.VM] || d.revision == 0 {
		d.n.quotas.recordsRead(began)
	}
	if !present[d.n.cfg.VM] && d.revision > 0 {
		d.refreshStored(ctx, store.ErrUnknown) // the list may be stale
		d.write(ctx)
	}
}

// forgetGone forgets nodes without a record that can't be reached. A list may lack
// the record of a node that others have told of just now.
func (d *recordTask) forgetGone(present map[string]bool) {
	for _, vm := range d.n.peers.unreachable() {
		if !present[vm] && d.n.peers.knownFor(vm) > goneAfter {
			d.n.log.Info("node forgotten", "vm", vm)
			d.n.peers.remove(vm)
		}
	}
}

// removeGone removes the record of a node that has been gone for long,
// conditional on the revision that was read: a node that is back has written
// its record again, under another revision.
func (d *recordTask) removeGone(ctx context.Context, o platform.Object) {
	down := d.n.peers.downFor(o.Name)
	answered := d.n.store.availableFor(time.Now())
	if down < goneAfter || answered < minStoreAvailability || !d.n.peers.mostlyLinked() {
		return
	}
	began := time.Now()
	err := d.n.objects.Delete(ctx, recordKind, o.Name, o.Revision)
	d.n.log.Info("record removed", "vm", o.Name, "revision", o.Revision, "away_ms", down.Milliseconds(),
		"store_answers_ms", answered.Milliseconds(), "err", err)
	if errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrConflict) {
		err = nil // another node removed it first, or its node is back
	}
	d.n.observeStoreCall(callWrite, began, err)
}

// expectInstance restores what the local record says of the upstream.
func (d *recordTask) expectInstance() {
	stored := d.written.stored()
	d.n.target.update("record", func(tr *instance.Tracker) instance.Change { return tr.Restore(stored) })
	d.n.checkDue.Send()
}

// merge merges the records of the other nodes. Records that can't be decoded are
// skipped.
func (d *recordTask) merge(objects []platform.Object) {
	members := make([]*linkpb.Member, 0, len(objects))
	unreadable := make(map[string]bool)
	for _, o := range objects {
		if o.Name == d.n.cfg.VM {
			continue
		}
		r, err := decodeRecord(o)
		if err != nil {
			cause := shorten(err.Error())
			d.logUnreadable(o, cause)
			unreadable[cause] = true
			continue
		}
		members = append(members, &linkpb.Member{
			Vm: r.VM, Datacentre: r.Datacentre, Address: r.Address,
			Service: r.Service, Instance: r.Instance, Slots: uint32(r.Slots),
		})
	}
	d.unreadable = unreadable
	d.n.peers.merge(members...)
}

// logUnreadable logs a record that can't be decoded, unless the last list had it too.
func (d *recordTask) logUnreadable(o platform.Object, cause string) {
	if !d.unreadable[cause] {
		d.n.log.Warn("record unreadable", "name", shorten(o.Name), "revision", o.Revision, "err", cause)
	}
}

// maxLoggedText bounds a text of another writer in the log, in bytes.
const maxLoggedText = 300

// shorten returns a text of another writer as it is logged.
func shorten(text string) string { return text[:min(len(text), maxLoggedText)] }
