package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	linkpb "heathershed/api/link"
	"heathershed/internal/bootclock"
	"heathershed/internal/freshness"
	store "heathershed/internal/platform"
	"heathershed/internal/wait"
	"heathershed/platform"
)

const (
	// A watch waits for a change for watchWait plus up to watchJitter. The
	// wait differs between nodes, so that after an outage some of them ask
	// again soon.
	watchWait   = 3 * time.Second
	watchJitter = 6 * time.Second
	// minBackoff and maxBackoff bound the wait after a failed call.
	minBackoff = 130 * time.Millisecond
	maxBackoff = 2600 * time.Millisecond
	// A node that does not watch checks every rolePollInterval whether it
	// should.
	rolePollInterval = time.Second
	// freshnessParts divides the time in which a change must be active. A read
	// is due one to two parts after the newest one; the rest is for the read and
	// its report.
	freshnessParts = 4
	// heldUpInterval is the least time between two lines of reports that were held
	// up. After a clock has jumped, all reports of its VM seem to be.
	heldUpInterval = 10 * time.Second
	// maxReportedAge bounds the age of a read that another node reports, in
	// microseconds.
	maxReportedAge = uint64(time.Hour / time.Microsecond)
)

// newBackoff returns the backoff between failed calls to the object API.
func newBackoff() *wait.Backoff { return &wait.Backoff{Base: minBackoff, Max: maxBackoff} }

// freshnessLimit returns the age of a confirmation at which a read may be due.
func freshnessLimit(applyWithin time.Duration) time.Duration { return applyWithin / freshnessParts }

// maxReadPause returns the longest pause after a failed read. It grows with the
// number of linked nodes, each of which reads too and reports what it has read, so
// that the reads of a node and those around it stay as frequent.
func maxReadPause(limit time.Duration, linked int) time.Duration {
	return min(time.Duration(1+linked)*limit, maxBackoff)
}

// reads describes the newest reads of the configuration for the log.
type reads struct {
	// failed counts the reads that failed one after the other.
	failed int
	// pause is the wait after the newest one that failed.
	pause time.Duration
}

// runFreshness is the task that reads the configuration whenever no read of it,
// here or at a linked node, is recent enough. It bounds the time until a change
// is active, whatever happens to watches and links.
func (n *Node) runFreshness(ctx context.Context) error {
	backoff := newBackoff()
	overdue, lapsed := false, false
	var newest reads
	for ctx.Err() == nil {
		overdue = n.logOverdue(overdue, newest)
		lapsed = n.logLease(lapsed)
		if left := n.freshness.Due().Sub(bootclock.Now()); left > 0 {
			n.readDue.Wait(ctx, left)
			continue
		}
		if _, err := n.readConfiguration(ctx); err != nil {
			newest.failed++
			backoff.Max = maxReadPause(freshnessLimit(time.Duration(n.applyWithin.Load())), n.peers.linked())
			newest.pause = backoff.Next()
			_ = wait.For(ctx, newest.pause)
			continue
		}
		newest = reads{}
		backoff.Reset()
	}
	return nil
}

// logOverdue logs when the active configuration has not been confirmed for the
// time in which a change must be active, and when it is confirmed again. It
// takes and returns whether it was overdue.
func (n *Node) logOverdue(before bool, newest reads) bool {
	now := bootclock.Now()
	c, _ := n.freshness.Newest()
	overdue := min(c.Age(now), time.Since(n.started)) > time.Duration(n.applyWithin.Load())
	switch {
	case overdue && !before:
		n.log.Warn("configuration unconfirmed", "active", n.freshnessText(now),
			"reads_failed", newest.failed, "pause_ms", newest.pause.Milliseconds())
	case before && !overdue:
		n.log.Info("configuration confirmed again", "active", n.freshnessText(now))
	}
	return overdue
}

// logLease logs when the table of keys becomes too old to be used, and when it can be
// used again. It takes and returns whether it was too old.
func (n *Node) logLease(before bool) bool {
	now := bootclock.Now()
	table := n.table.Load()
	if table == nil || table.Workspaces == nil {
		return false
	}
	c, _ := n.freshness.Newest()
	lapsed := !n.keyLease().Holds(c.Age(now))
	switch {
	case lapsed && !before:
		n.log.Warn("keys unconfirmed", "active", n.freshnessText(now))
	case before && !lapsed:
		n.log.Info("keys confirmed again", "active", n.freshnessText(now))
	}
	return lapsed
}

// runWatch is the task that watches the configuration if this node is one of
// those of its data centre that do. A watch tells of a change at once, but its
// silence proves nothing.
func (n *Node) runWatch(ctx context.Context) error {
	backoff := newBackoff()
	var revision uint64
	for ctx.Err() == nil {
		if !n.peers.watches() {
			revision = 0
			_ = wait.For(ctx, rolePollInterval)
			continue
		}
		var err error
		if revision, err = n.followConfiguration(ctx, revision); err != nil {
			_ = wait.For(ctx, backoff.Next())
			continue
		}
		backoff.Reset()
	}
	return nil
}

// followConfiguration makes one call to the object API. It returns the revision
// from which a watch continues, or 0 if a read is needed first.
func (n *Node) followConfiguration(ctx context.Context, revision uint64) (uint64, error) {
	if revision == 0 {
		return n.readConfiguration(ctx)
	}
	return n.watchConfiguration(ctx, revision)
}

// readConfiguration reads the configuration, reports the read to the linked
// nodes and returns the revision from which a watch continues.
func (n *Node) readConfiguration(ctx context.Context) (uint64, error) {
	began, read := time.Now(), bootclock.Now()
	objects, revision, err := n.objects.List(ctx, platform.ConfigKind, false)
	n.observeStoreCall(callConfiguration, began, err)
	if err != nil {
		return 0, err
	}
	for _, o := range objects {
		if _, err := n.adoptObject("read", o); err != nil {
			return 0, err
		}
	}
	n.freshness.Read(read)
	n.broadcast()
	return revision, nil
}

// watchConfiguration waits for changes after a revision and returns the
// revision from which the next watch continues, or 0 if the store no longer
// has the changes since from.
func (n *Node) watchConfiguration(ctx context.Context, from uint64) (uint64, error) {
	events, revision, err := n.objects.Watch(ctx, platform.ConfigKind, from, watchWait+rand.N(watchJitter))
	if errors.Is(err, store.ErrCompacted) {
		n.log.Info("store history gone", "from", from)
		err, events, revision = nil, nil, 0
	}
	n.observeStoreCall(callConfiguration, time.Now(), err) // no latency: a watch is meant to wait
	if err != nil {
		return from, err
	}
	for _, e := range events {
		if e.Gone {
			continue
		}
		changed, _ := n.adoptObject("watch", e.Object) // adopt has logged the error
		if changed {
			n.broadcast()
		}
	}
	return revision, nil
}

// adoptObject is adopt for the object that holds the configuration. It ignores
// every other object.
func (n *Node) adoptObject(by string, o platform.Object) (changed bool, err error) {
	if o.Name != platform.ConfigName || len(o.Spec) == 0 {
		return false, nil
	}
	return n.adopt(by, o.Spec)
}

// adopt activates a configuration unless the active one is as new, and reports
// whether it did. by says what brought it: a read, a watch or the VM of another
// node. The error of a configuration that can't be decoded is logged here; the
// active one stays.
func (n *Node) adopt(by string, raw []byte) (changed bool, err error) {
	if old := n.table.Load(); old != nil && bytes.Equal(old.raw, raw) {
		return false, nil
	}
	table, faults, err := platform.DecodeConfig(raw)
	if err != nil {
		if last := n.refused.Swap(&raw); last == nil || !bytes.Equal(*last, raw) {
			n.log.Error("configuration refused", "by", by, "err", err)
		}
		return false, err
	}
	if !n.activate(&configuration{Table: table, raw: raw}) {
		return false, nil
	}
	n.refused.Store(nil)
	n.log.Info("configuration in force", "version", table.Version, "by", by, "routes", table.NumRoutes(),
		"workspaces", table.NumWorkspaces(), "faults", len(faults), "before", n.freshnessText(bootclock.Now()))
	for _, fault := range faults {
		n.log.Error("configuration entry unreadable", "version", table.Version, "err", fault)
	}
	return true, nil
}

// activate makes a configuration the active one unless that is as new.
func (n *Node) activate(next *configuration) bool {
	for {
		old := n.table.Load()
		if old != nil && old.Version >= next.Version {
			return false
		}
		if n.table.CompareAndSwap(old, next) {
			n.quotas.update()
			return true
		}
	}
}

// noteFreshness records what another node reports of its newest read of the
// configuration. It counts only if the active version is not older than what
// that node had read. heldUp is the delay of the report on its way.
func (n *Node) noteFreshness(vm string, have *linkpb.Have, heldUp time.Duration) {
	age := time.Duration(min(have.GetCatalogueAgeUs(), maxReportedAge)) * time.Microsecond
	if age == 0 || have.GetCatalogueVersion() == 0 || n.lacks(have.GetCatalogueVersion()) {
		return
	}
	n.logHeldUp(vm, heldUp)
	n.freshness.Heard(freshness.Confirmation{At: bootclock.Now().Add(-age - heldUp), By: vm})
}

// logHeldUp logs a report of another node that was held up for longer than the
// age at which a read may be due, one in heldUpInterval.
func (n *Node) logHeldUp(vm string, heldUp time.Duration) {
	if heldUp <= freshnessLimit(time.Duration(n.applyWithin.Load())) {
		return
	}
	now := int64(time.Since(n.started))
	last := n.heldUpLogged.Load()
	due := last == 0 || now-last >= int64(heldUpInterval)
	if due && n.heldUpLogged.CompareAndSwap(last, now) {
		n.log.Warn("report held up", "vm", vm, "held_up_ms", heldUp.Milliseconds())
	}
}

// freshnessText describes for logs how old the knowledge is that the active
// configuration is the newest.
func (n *Node) freshnessText(now time.Time) string {
	c, ok := n.freshness.Newest()
	if !ok {
		return "never confirmed"
	}
	return fmt.Sprintf("confirmed %d ms ago by %s", c.Age(now).Milliseconds(), c.By)
}
