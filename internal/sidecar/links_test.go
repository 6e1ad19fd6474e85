package sidecar

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"slices"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	linkpb "heathershed/api/link"
	"heathershed/internal/fleet"
	"heathershed/internal/link"
	"heathershed/internal/settings"
)

// newNodeWithPeers returns a node that knows others of four services and wants
// links to a subset of them. None of the links comes up.
func newNodeWithPeers(t testing.TB, others int) *Node {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	n := New(&settings.Sidecar{VM: "vm", Datacentre: "dc0"}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	n.links = link.NewSet(ctx, group, n, &n.traffic, func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	t.Cleanup(func() {
		cancel()
		_ = group.Wait() // its tasks end with the context
	})
	var members []*linkpb.Member
	for i := range others {
		members = append(members, &linkpb.Member{
			Vm: fmt.Sprint("vm-", i), Address: "127.0.0.1:1", Incarnation: 1, Sequence: 1,
			Service: fmt.Sprint("s", i%4), Datacentre: fmt.Sprint("dc", i/4%4),
		})
	}
	n.peers.merge(members...)
	return n
}

// markAllUp marks all links as up.
func (p *peers) markAllUp() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.down)
}

// freshSubset returns the links that would be wanted if they were recomputed
// now.
func (n *Node) freshSubset() []string {
	p := n.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	return fleet.Subset(n.cfg.VM, n.cfg.Datacentre, p.candidates(time.Now()))
}

func (n *Node) wantedVMs() []string {
	p := n.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.wanted))
}

func TestWantedLinksAreRecomputedOnlyAfterChange(t *testing.T) {
	n := newNodeWithPeers(t, 20)
	p := n.peers
	p.markAllUp()
	changes := map[string]func(){
		"a link went down": func() { p.updateLink("vm-0") },
		"a known node changed": func() {
			p.merge(&linkpb.Member{Vm: "vm-1", Address: "127.0.0.1:1", Incarnation: 1, Sequence: 9, Service: "s9"})
		},
		"a node was removed": func() { p.remove("vm-2") },
		"a node was added": func() {
			p.merge(&linkpb.Member{Vm: "vm-new", Address: "127.0.0.1:1", Incarnation: 1, Sequence: 1, Service: "s-new"})
		},
	}
	for name, change := range changes {
		change()
		p.refreshWanted()
		if want := fmt.Sprint(n.freshSubset()); fmt.Sprint(n.wantedVMs()) != want {
			t.Errorf("%s: got links to %v, want %s", name, n.wantedVMs(), want)
		}
		p.markAllUp()
		p.refreshWanted()
		if p.changed {
			t.Errorf("%s: still marked as changed after a refresh", name)
		}
	}
}

func TestSurplusLinksAreDroppedWhileOneNodeIsDown(t *testing.T) {
	n := newNodeWithPeers(t, 120)
	p := n.peers
	p.markAllUp()
	first := n.wantedVMs()
	away, surplus := first[0], ""
	p.down[away] = time.Now().Add(-2 * replaceAfter)
	replaced := n.freshSubset() // one of these replaces away, so it is no surplus link
	for vm := range p.members {
		if !slices.Contains(first, vm) && !slices.Contains(replaced, vm) {
			surplus = vm
		}
	}
	p.wanted[surplus] = true // added for a failure that has passed
	steps := []struct {
		name    string
		downFor time.Duration
		kept    bool
	}{
		{"a link went down just now", time.Second, true},
		{"another one was added for it", 2 * replaceAfter, true},
		{"the other one is up", 2 * replaceAfter, false},
	}
	for _, s := range steps {
		p.markAllUp()
		p.down[away] = time.Now().Add(-s.downFor)
		p.refreshWanted()
		if got := slices.Contains(n.wantedVMs(), surplus); got != s.kept {
			t.Errorf("%s: got surplus link kept %v, want %v", s.name, got, s.kept)
		}
	}
}

func BenchmarkRefreshWanted(b *testing.B) {
	for _, nodes := range []int{74, 600} {
		n := newNodeWithPeers(b, nodes)
		n.peers.markAllUp()
		b.Run(fmt.Sprintf("nodes=%d/changed", nodes), func(b *testing.B) {
			for b.Loop() {
				n.peers.changed = true
				n.peers.refreshWanted()
			}
		})
		b.Run(fmt.Sprintf("nodes=%d/settled", nodes), func(b *testing.B) {
			for b.Loop() {
				n.peers.refreshWanted()
			}
		})
	}
}
