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
	// startRetry is the wait between two tries to read the store at the start.
	startRetry = time.Second
	// leaseRetry is the wait after a failed write of the own record.
	leaseRetry = 5 * time.Second
	// leaseSpread varies the renewals of many nodes.
	leaseSpread = 20 * time.Second
	// sweepEvery is the least time between two sweeps of a watcher, and sweepAge
	// the age of the last renewal from which on the record of a VM that is gone
	// is deleted.
	sweepEvery = 10 * time.Minute
	sweepAge   = time.Hour
	// watchCheck is how often a node looks whether it is a watcher.
	watchCheck = time.Second
)

// everything is the prefix of all objects of the system: one waiting watch
// serves catalogue, homes and members.
const everything = ""

func seedOf(vm string, now time.Time) int64 {
	return int64(xxhash.Sum64String(vm) ^ uint64(now.UnixNano()))
}

// runStart reads the store until the node serves. It ends then, or goes on
// beside a start that peers make possible.
func (n *Node) runStart(ctx context.Context) error {
	for ctx.Err() == nil {
		objects, _, err := n.store.List(ctx, everything)
		if err == nil {
			n.takeObjects(objects)
			return nil
		}
		if n.phase() != phaseStarting {
			return nil // the watchers bring the rest
		}
		sleep(ctx, startRetry)
	}
	return nil
}

// takeObjects hands what the store holds to the control duty.
func (n *Node) takeObjects(objects []platform.Object) {
	seenCatalogue := false
	var records []*linkpb.Member
	for _, o := range objects {
		seenCatalogue = seenCatalogue || o.Key == catalogue.Key
		if m := n.takeObject(o); m != nil {
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

// takeObject hands a document to the control duty, or returns a member record.
func (n *Node) takeObject(o platform.Object) *linkpb.Member {
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

// runLease announces the node in the store and renews its slow lease.
func (n *Node) runLease(ctx context.Context) error {
	var base platform.Version
	for ctx.Err() == nil {
		next, err := n.writeLease(ctx, base)
		if err == nil {
			base = next
			n.record(timeline.Event{Kind: timeline.KindLease, Detail: "renewed"})
			n.announce.Wait(ctx, membership.RenewInterval-leaseSpread/2+rand.N(leaseSpread))
			n.control.offer(ownEvent{renew: true})
			continue
		}
		base = n.readLease(ctx, base)
		n.announce.Wait(ctx, leaseRetry)
	}
	return nil
}

// writeLease writes the own record as it is now.
func (n *Node) writeLease(ctx context.Context, base platform.Version) (platform.Version, error) {
	self := n.ownRecord()
	if self == nil {
		return 0, errors.New("own record not known")
	}
	value, err := membership.Encode(self)
	if err != nil {
		return 0, err
	}
	o, err := n.store.Put(ctx, membership.Key(n.cfg.VM), value, base, uuid.NewString())
	return o.Version, err
}

// readLease finds the version to replace after a conflict. A record of a later
// incarnation means that another process has the VM's name.
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

// ownRecord is the own record as last published.
func (n *Node) ownRecord() *linkpb.Member {
	return n.control.members.Load().byVM[n.cfg.VM]
}

// runWatch holds a waiting watch while the node is a watcher of its data
// centre.
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
	_ = n.store.Follow(ctx, everything, resolve.FollowOptions{
		OnChange: func(_ *resolve.View, changes []platform.Event) { n.takeChanges(changes) },
	})
}

// sweepRecords deletes, from time to time, the records of VMs that have been
// gone for long: nobody else does, and a fresh node would take them for live.
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

// sweepable reports whether a VM was not renewed for long and is not live here.
func (n *Node) sweepable(m *linkpb.Member) bool {
	known := n.control.members.Load().byVM[m.Vm]
	gone := known == nil || !membership.IsLive(known)
	return gone && time.Since(time.UnixMilli(m.RenewedUnixMs)) > sweepAge
}

func (n *Node) takeChanges(changes []platform.Event) {
	objects := make([]platform.Object, 0, len(changes))
	for _, e := range changes {
		if !e.Deleted {
			objects = append(objects, e.Object)
		}
	}
	var records []*linkpb.Member
	for _, o := range objects {
		if m := n.takeObject(o); m != nil {
			records = append(records, m)
		}
	}
	if len(records) > 0 {
		n.control.offer(membersEvent{records})
	}
}
