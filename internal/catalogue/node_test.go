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

// node is one node of a data centre: its holder, and the version that its VM
// had in force before the last restart or has now.
type node struct {
	holder   *Holder
	ready    bool
	isolated bool
	high     uint64
	after    platform.Version // where its watch goes on
}

func (n *node) version() uint64 {
	_, v := n.holder.Current()
	return v
}

// takes offers a document and reports a version that went back.
func (n *node) takes(version uint64, value []byte) error {
	before := n.version()
	adopted, _ := n.holder.Offer(version, value)
	if after := n.version(); after < before || adopted != (after > before) {
		return errors.Newf("version %d became %d, adopted %v", before, after, adopted)
	}
	n.high = max(n.high, n.version())
	return nil
}

// polling is a context for one look at a watch: it ends as soon as the watch
// begins to wait.
type polling struct {
	context.Context
	looked bool
}

func (p *polling) Done() <-chan struct{} {
	p.looked = true
	done := make(chan struct{})
	close(done)
	return done
}

func (p *polling) Err() error {
	if p.looked {
		return context.Canceled
	}
	return nil
}

// watch hands a node what its watch tells it, skipped and repeated events as
// they come.
func (m *model) watch(n *node) error {
	events, next, err := m.store.Watch(&polling{Context: context.Background()}, Key, n.after)
	if err != nil {
		return nil
	}
	n.after = max(n.after, next)
	for _, e := range events {
		if err := n.takes(0, e.Object.Value); err != nil {
			return err
		}
	}
	return nil
}

// list hands a node what a read says, old or not.
func (m *model) list(n *node) error {
	if o, err := m.store.Get(context.Background(), Key); err == nil {
		return n.takes(0, o.Value)
	}
	return nil
}

// exchange hands documents both ways over the link of two nodes, damaged on
// the way where damage is not 0.
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
		if err := pair[1].takes(version, value); err != nil {
			return err
		}
	}
	return nil
}

// restart ends a node and starts it anew. It hears the store and the other
// nodes in the given order until its start is done.
func (m *model) restart(n *node, order []int) error {
	majority := m.majority()
	began := m.now
	n.holder, n.ready, n.after = NewHolder(), false, 0
	start := NewBootstrap(began)
	start.SetPeers(numNodes - 1)
	if o, err := m.store.Get(context.Background(), Key); err == nil {
		if d, err := Decode(o.Value); err == nil {
			start.Observe(Source{}, d.Version)
			_ = n.takes(0, o.Value)
		}
	} else if errors.Is(err, platform.ErrNotFound) {
		start.Observe(Source{}, 0)
	}
	for i, at := range order {
		peer := m.nodes[at]
		if peer != n && !peer.isolated && !n.isolated {
			start.Observe(Source{VM: fmt.Sprint(at), SameDatacentre: true}, peer.version())
			if err := n.takes(peer.holder.Document()); err != nil {
				return err
			}
		}
		if n.holder.Ready(start, began.Add(time.Duration(i))) {
			n.ready = true
			if n.version() < majority {
				return errors.Newf("started with version %d, most of the data centre had %d", n.version(), majority)
			}
			return nil
		}
	}
	n.ready = n.holder.Ready(start, began.Add(BootstrapTimeout))
	if n.ready && n.version() < start.Highest() && !n.holder.hasRefused(start.Highest()) {
		return errors.Newf("started with version %d, heard of %d", n.version(), start.Highest())
	}
	return nil
}

// majority is the version that more than half of the nodes have in force.
func (m *model) majority() uint64 {
	versions := make([]uint64, 0, numNodes)
	for _, n := range m.nodes {
		versions = append(versions, n.version())
	}
	slices.Sort(versions)
	return versions[numNodes/2]
}
