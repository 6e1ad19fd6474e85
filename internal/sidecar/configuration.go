package sidecar

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

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
	// A node that does not watch reads the configuration every pollInterval
	// plus up to pollJitter, and checks every rolePollInterval whether it
	// should watch.
	pollInterval     = 6 * time.Second
	pollJitter       = 4 * time.Second
	rolePollInterval = time.Second
)

// newBackoff returns the backoff between failed calls to the object API.
func newBackoff() *wait.Backoff { return &wait.Backoff{Base: minBackoff, Max: maxBackoff} }

// runConfiguration is the task that keeps the newest configuration active. A
// node reads it and then watches for changes. Where other nodes of its data
// centre watch, it polls with reads that may be seconds old instead. Other
// nodes also announce newer versions on links.
func (n *Node) runConfiguration(ctx context.Context) error {
	backoff := newBackoff()
	var revision uint64
	for ctx.Err() == nil {
		var err error
		revision, err = n.syncConfiguration(ctx, revision)
		if err == nil {
			backoff.Reset()
			continue
		}
		_ = wait.For(ctx, backoff.Next())
	}
	return nil
}

// syncConfiguration makes one call to the object API, after a wait if other
// nodes watch. It returns the revision from which a watch continues, or 0 if a
// full read is needed first.
func (n *Node) syncConfiguration(ctx context.Context, revision uint64) (uint64, error) {
	switch {
	case revision == 0:
		return n.readConfiguration(ctx, false)
	case n.peers.watches():
		return n.watchConfiguration(ctx, revision)
	}
	n.awaitRole(ctx)
	_, err := n.readConfiguration(ctx, true)
	return revision, err
}

// awaitRole waits until the next poll is due, or until this node is one of
// those that watch.
func (n *Node) awaitRole(ctx context.Context) {
	until := time.Now().Add(pollInterval + rand.N(pollJitter))
	for ctx.Err() == nil && time.Now().Before(until) && !n.peers.watches() {
		_ = wait.For(ctx, rolePollInterval)
	}
}

// readConfiguration reads the configuration and returns the revision from
// which a watch continues. With stale set, both may be seconds old.
func (n *Node) readConfiguration(ctx context.Context, stale bool) (uint64, error) {
	began := time.Now()
	objects, revision, err := n.objects.List(ctx, platform.ConfigKind, stale)
	n.observeStoreCall(callConfiguration, began, err)
	if err != nil {
		return 0, err
	}
	confirmed := true
	for _, o := range objects {
		confirmed = n.adoptObject("read", o) && confirmed
	}
	if confirmed && !stale {
		n.freshness.Confirm(freshness.Confirmation{At: began, By: "read"})
	}
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
	confirmed := revision > 0
	for _, e := range events {
		if !e.Gone {
			confirmed = n.adoptObject("watch", e.Object) && confirmed
		}
	}
	if confirmed {
		n.freshness.Confirm(freshness.Confirmation{At: time.Now(), By: "watch"})
	}
	return revision, nil
}

// adoptObject is adopt for the object that holds the configuration, and true
// for every other object.
func (n *Node) adoptObject(by string, o platform.Object) bool {
	return o.Name != platform.ConfigName || len(o.Spec) == 0 || n.adopt(by, o.Spec)
}

// adopt activates a configuration unless the active one is as new. by says what
// brought it: a read, a watch or the VM of another node. A configuration that
// can't be decoded is logged, and the active one stays; adopt then returns
// false.
func (n *Node) adopt(by string, raw []byte) bool {
	table, err := platform.DecodeConfig(raw)
	if err != nil {
		n.log.Error("configuration refused", "by", by, "err", err)
		return false
	}
	next := &configuration{Table: table, raw: raw}
	for {
		old := n.table.Load()
		if old != nil && old.Version >= table.Version {
			return true
		}
		if n.table.CompareAndSwap(old, next) {
			break
		}
	}
	n.log.Info("configuration in force", "version", table.Version, "by", by, "routes", table.NumRoutes(),
		"before", n.freshnessText(time.Now()))
	n.broadcast()
	return true
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
