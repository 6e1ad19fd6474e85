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

var errCut = errors.New("partitioned")

// dialFrom returns the dialer of the node with the given link address.
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

// Two data centres are partitioned until each has marked the other lapsed. Each
// must keep serving, they must rediscover each other without the store, and no
// order may run twice.
func TestPartitionBetweenDataCentresHeals(t *testing.T) {
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
	f.await("each half has marked the other lapsed", func() bool { return f.allCount(len(f.nodes) / 2) })
	for _, m := range f.nodes {
		if got := send(t, m, "GET", "/lookup/1"); got.verdict != "ran" {
			t.Errorf("lookup at %s during the partition: got %+v, want verdict ran", m.cfg.VM, got)
		}
	}
	ids := make([]string, 0, 2*len(f.nodes))
	for range cap(ids) {
		id := newOrderID(t)
		ids = append(ids, id)
		for _, m := range f.byService("front") {
			send(t, m, "POST", "/cut", contract.HeaderOrder, id)
		}
	}
	p.set(false)
	f.await("the halves know each other again", func() bool { return f.allCount(len(f.nodes)) })
	for _, id := range ids {
		for _, m := range f.byService("front") {
			send(t, m, "POST", "/cut", contract.HeaderOrder, id)
		}
		if runs := f.totalRuns(id); runs > 1 {
			t.Errorf("order ran %d times, want at most 1", runs)
		}
	}
}

// allCount reports whether every node knows that many live VMs.
func (f *fleet) allCount(want int) bool {
	for _, m := range f.nodes {
		if m.node.control.members.Load().count != want {
			return false
		}
	}
	return true
}
