package node

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	linkpb "heathershed/api/link"
	"heathershed/internal/catalogue"
	"heathershed/internal/datacentre/membership"
	"heathershed/internal/order/homes"
	"heathershed/internal/platform"
	"heathershed/internal/platform/resolve"
	"heathershed/internal/timeline"
)

const (
	// startRetry is the wait between two attempts to read the store at the
	// start.
	startRetry = time.Second
	// leaseRetry is the wait after a failed write of the local member record.
	leaseRetry = 5 * time.Second
	// leaseSpread is the total width of the jitter of the renewal interval, so
	// that many nodes do not renew at the same time.
	leaseSpread = 20 * time.Second
	// sweepEvery is the least time between two sweeps of a watcher. A sweep
	// deletes the records of VMs that are gone and were last renewed more than
	// sweepAge ago.
	sweepEvery = 10 * time.Minute
	sweepAge   = time.Hour
	// watchCheck is how often a node checks whether it is a watcher.
	watchCheck = time.Second
)

// allKeys is the prefix of all objects of the system. One watch with it covers
// the catalogue, the homes document and the members.
const allKeys = ""

func seedOf(vm string, now time.Time) int64 {
	return int64(xxhash.Sum64String(vm) ^ uint64(now.UnixNano()))
}

// runStart reads the store until one read succeeds, or until the node serves
// with what peers have sent.
func (n *Node) runStart(ctx context.Context) error {
	for ctx.Err() == nil {
		objects, _, err := n.store.List(ctx, allKeys)
		if err == nil {
			n.applyObjects(objects)
			return nil
		}
		if n.phase() != phaseStarting {
			return nil // the watchers deliver later changes
		}
		sleep(ctx, startRetry)
	}
	return nil
}

// applyObjects passes the contents of the store to the control task.
func (n *Node) applyObjects(objects []platform.Object) {
	seenCatalogue := false
	var records []*linkpb.Member
	for _, o := range objects {
		seenCatalogue = seenCatalogue || o.Key == catalogue.Key
		if m := n.applyObject(o); m != nil {
			records = append(records, m)
		}
	}
	if len(records) > 0 {
		n.control.offer(membersEvent{records})
	}
	if !seenCatalogue {
		n.control.offer(documentEvent{name: documentCatalogue})
	}
}

// applyObject passes a document to the control task, or returns a member
// record.
func (n *Node) applyObject(o platform.Object) *linkpb.Member {
	switch {
	case o.Key == catalogue.Key:
		d, err := catalogue.Decode(o.Value)
		if err != nil {
			n.recordRefused(documentCatalogue, 0, "", err)
			return nil
		}
		n.control.offer(documentEvent{documentCatalogue, d.Version, o.Value})
	case o.Key == homesKey:
		d, err := homes.Decode(o.Value)
		if err != nil {
			n.recordRefused(documentHomes, 0, "", err)
			return nil
		}
		n.control.editor.base.Store(&homesBase{object: o.Version, document: d.Version})
		n.control.offer(documentEvent{documentHomes, d.Version, o.Value})
	case strings.HasPrefix(o.Key, membership.KeyPrefix):
		m, err := membership.Decode(o.Key, o.Value)
		if err != nil {
			n.log.Warn("unreadable member record", "key", o.Key, "err", err)
			return nil
		}
		return m
	}
	return nil
}

// runLease writes the local member record to the store and renews its lease at
// long intervals.
func (n *Node) runLease(ctx context.Context) error {
	var base platform.Version
	for ctx.Err() == nil {
		next, err := n.writeLease(ctx, base)
		if err == nil {
			base = next
			n.record(timeline.Event{Kind: timeline.KindLease, Detail: "renewed"})
			n.announce.Wait(ctx, membership.RenewInterval-leaseSpread/2+rand.N(leaseSpread))
			n.control.offer(localRecordEvent{renew: true})
			continue
		}
		base = n.readLease(ctx, base)
		n.announce.Wait(ctx, leaseRetry)
	}
	return nil
}

// writeLease writes the local member record as last published.
func (n *Node) writeLease(ctx context.Context, base platform.Version) (platform.Version, error) {
	self := n.localRecord()
	if self == nil {
		return 0, errors.New("local member record not known")
	}
	value, err := membership.Encode(self)
	if err != nil {
		return 0, err
	}
	o, err := n.store.Put(ctx, membership.Key(n.cfg.VM), value, base, uuid.NewString())
	return o.Version, err
}

// readLease reads the version to replace after a failed write. A record with a
// later incarnation means that another process has the VM's name.
func (n *Node) readLease(ctx context.Context, base platform.Version) platform.Version {
	o, err := n.store.Get(ctx, membership.Key(n.cfg.VM))
	if err != nil {
		return base
	}
	if m, err := membership.Decode(o.Key, o.Value); err == nil {
		n.control.offer(membersEvent{[]*linkpb.Member{m}})
	}
	return o.Version
}

// localRecord returns the local member record as last published.
func (n *Node) localRecord() *linkpb.Member {
	return n.control.members.Load().byVM[n.cfg.VM]
}

// runWatch watches the store while this node is a watcher of its data centre.
func (n *Node) runWatch(ctx context.Context) error {
	for sleep(ctx, watchCheck) {
		if n.control.watcher.Load() {
			n.watchWhile(ctx)
		}
	}
	return nil
}

func (n *Node) watchWhile(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go n.sweepRecords(ctx)
	go func() {
		for sleep(ctx, watchCheck) {
			if !n.control.watcher.Load() {
				cancel()
			}
		}
	}()
	_ = n.store.Follow(ctx, allKeys, resolve.FollowOptions{
		OnChange: func(_ *resolve.View, changes []platform.Event) { n.applyChanges(changes) },
	})
}

// sweepRecords periodically deletes the records of VMs that have been gone for
// longer than sweepAge. Nothing else deletes them, and a node that starts would
// consider these VMs live.
func (n *Node) sweepRecords(ctx context.Context) {
	for sleep(ctx, sweepEvery+rand.N(sweepEvery)) {
		objects, _, err := n.store.List(ctx, membership.KeyPrefix)
		if err != nil {
			continue
		}
		for _, o := range objects {
			m, err := membership.Decode(o.Key, o.Value)
			if err == nil && n.sweepable(m) {
				_ = n.store.Delete(ctx, o.Key, o.Version)
			}
		}
	}
}

// sweepable reports whether a VM is not live in the local view and was not
// renewed within sweepAge.
func (n *Node) sweepable(m *linkpb.Member) bool {
	known := n.control.members.Load().byVM[m.Vm]
	gone := known == nil || !membership.IsLive(known)
	return gone && time.Since(time.UnixMilli(m.RenewedUnixMs)) > sweepAge
}

func (n *Node) applyChanges(changes []platform.Event) {
	objects := make([]platform.Object, 0, len(changes))
	for _, e := range changes {
		if !e.Deleted {
			objects = append(objects, e.Object)
		}
	}
	var records []*linkpb.Member
	for _, o := range objects {
		if m := n.applyObject(o); m != nil {
			records = append(records, m)
		}
	}
	if len(records) > 0 {
		n.control.offer(membersEvent{records})
	}
}
