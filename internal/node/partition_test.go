package node

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"

	"heathershed/internal/contract"
	"heathershed/internal/endpoint"
)

// partition cuts the links between two halves of a fleet.
type partition struct {
	mu    sync.Mutex
	on    bool
	halfA map[string]bool // link addresses
	conns []cutConn
}

type cutConn struct {
	net.Conn
	crosses bool
}

var errCut = errors.New("cut off")

// dialFrom is the dialer of the node with the given link address.
func (p *partition) dialFrom(own string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		crosses := p.halfA[own] != p.halfA[address]
		if p.on && crosses {
			return nil, errCut
		}
		c, err := endpoint.Dial(ctx, address)
		if err == nil {
			p.conns = append(p.conns, cutConn{c, crosses})
		}
		return c, err
	}
}

func (p *partition) set(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.on = on
	for _, c := range p.conns {
		if on && c.crosses {
			_ = c.Close()
		}
	}
}

// Two data centres lose each other long enough to take each other for lapsed.
// Each side goes on by itself; afterwards they find each other again without
// the store, and no order has run twice.
func TestDataCentresLoseEachOtherAndMeetAgain(t *testing.T) {
	f := newFleet(t)
	p := &partition{halfA: make(map[string]bool)}
	f.prepare = func(m *member) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.halfA[m.cfg.Link] = m.cfg.Datacentre == "dc0"
		m.node.dial = p.dialFrom(m.cfg.Link)
	}
	f.start(4, 4)
	f.awaitHomes()
	p.set(true)
	f.await("the halves take each other for lapsed", func() bool { return f.allCount(len(f.nodes) / 2) })
	for _, m := range f.nodes {
		if got := ask(t, m, "GET", "/lookup/1"); got.verdict != "ran" {
			t.Errorf("lookup at %s during the cut: %+v", m.cfg.VM, got)
		}
	}
	ids := make([]string, 0, 2*len(f.nodes))
	for range cap(ids) {
		id := newOrderID(t)
		ids = append(ids, id)
		for _, m := range f.byService("front") {
			ask(t, m, "POST", "/cut", contract.HeaderOrder, id)
		}
	}
	p.set(false)
	f.await("the halves know each other again", func() bool { return f.allCount(len(f.nodes)) })
	for _, id := range ids {
		for _, m := range f.byService("front") {
			ask(t, m, "POST", "/cut", contract.HeaderOrder, id)
		}
		if runs := f.totalRuns(id); runs > 1 {
			t.Errorf("order ran %d times", runs)
		}
	}
}

// allCount reports whether every node counts that many live VMs.
func (f *fleet) allCount(want int) bool {
	for _, m := range f.nodes {
		if m.node.control.members.Load().count != want {
			return false
		}
	}
	return true
}
