package catalogue

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"heathershed/internal/platform"
)

const numNodes = 5

// node is one node of a data centre. highest is the highest version that was
// active at it, also before a restart.
type node struct {
	holder    *Holder
	ready     bool
	isolated  bool
	highest   uint64
	watchFrom platform.Version // version that its watch resumes at
}

func (n *node) version() uint64 {
	_, v := n.holder.Current()
	return v
}

// offer offers a document to the node and returns an error if its version
// decreased.
func (n *node) offer(version uint64, value []byte) error {
	before := n.version()
	adopted, _ := n.holder.Offer(version, value)
	if after := n.version(); after < before || adopted != (after > before) {
		return errors.Newf("version changed from %d to %d, adopted %v", before, after, adopted)
	}
	n.highest = max(n.highest, n.version())
	return nil
}

// pollContext is a context for polling a watch once: it is cancelled as soon as
// the watch starts to wait.
type pollContext struct {
	context.Context
	polled bool
}

func (p *pollContext) Done() <-chan struct{} {
	p.polled = true
	done := make(chan struct{})
	close(done)
	return done
}

func (p *pollContext) Err() error {
	if p.polled {
		return context.Canceled
	}
	return nil
}

// watch offers a node the events of its watch, which the store may skip or
// repeat.
func (m *model) watch(n *node) error {
	events, next, err := m.store.Watch(&pollContext{Context: context.Background()}, Key, n.watchFrom)
	if err != nil {
		return nil
	}
	n.watchFrom = max(n.watchFrom, next)
	for _, e := range events {
		if err := n.offer(0, e.Object.Value); err != nil {
			return err
		}
	}
	return nil
}

// list offers the result of a read, which may be stale, to a node.
func (m *model) list(n *node) error {
	if o, err := m.store.Get(context.Background(), Key); err == nil {
		return n.offer(0, o.Value)
	}
	return nil
}

// exchange sends the documents of two nodes to each other. If damage is not 0 it
// selects a byte that is corrupted on the way.
func (m *model) exchange(a, b *node, damage int) error {
	if a.isolated || b.isolated {
		return nil
	}
	for _, pair := range [][2]*node{{a, b}, {b, a}} {
		version, value := pair[0].holder.Document()
		if damage > 0 && len(value) > 0 {
			value = slices.Clone(value)
			value[damage%len(value)] ^= 0x20
		}
		if err := pair[1].offer(version, value); err != nil {
			return err
		}
	}
	return nil
}

// restart restarts a node. The node receives answers from the store and from the
// other nodes in the given order until its bootstrap is done.
func (m *model) restart(n *node, order []int) error {
	majority := m.majority()
	began := m.now
	n.holder, n.ready, n.watchFrom = NewHolder(), false, 0
	bootstrap := NewBootstrap(began)
	bootstrap.SetPeers(numNodes - 1)
	if o, err := m.store.Get(context.Background(), Key); err == nil {
		if d, err := Decode(o.Value); err == nil {
			bootstrap.Observe(Source{}, d.Version)
			_ = n.offer(0, o.Value)
		}
	} else if errors.Is(err, platform.ErrNotFound) {
		bootstrap.Observe(Source{}, 0)
	}
	for i, at := range order {
		peer := m.nodes[at]
		if peer != n && !peer.isolated && !n.isolated {
			bootstrap.Observe(Source{VM: fmt.Sprint(at), SameDatacentre: true}, peer.version())
			if err := n.offer(peer.holder.Document()); err != nil {
				return err
			}
		}
		if n.holder.Ready(bootstrap, began.Add(time.Duration(i))) {
			n.ready = true
			if n.version() < majority {
				return errors.Newf("started with version %d, but a majority of the nodes had version %d", n.version(), majority)
			}
			return nil
		}
	}
	n.ready = n.holder.Ready(bootstrap, began.Add(BootstrapTimeout))
	if n.ready && n.version() < bootstrap.Highest() && !n.holder.hasRefused(bootstrap.Highest()) {
		return errors.Newf("started with version %d, want the highest received, %d", n.version(), bootstrap.Highest())
	}
	return nil
}

// majority returns the highest version that more than half of the nodes have
// reached.
func (m *model) majority() uint64 {
	versions := make([]uint64, 0, numNodes)
	for _, n := range m.nodes {
		versions = append(versions, n.version())
	}
	slices.Sort(versions)
	return versions[numNodes/2]
}
