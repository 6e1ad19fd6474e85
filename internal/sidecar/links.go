package sidecar

import (
	"context"
	"maps"
	"time"

	"heathershed/internal/fleet"
	"heathershed/internal/link"
)

const (
	// wantInterval is how often a node looks at which links it wants, and
	// replaceAfter how long one is down before another is added for it.
	wantInterval = time.Second
	replaceAfter = 3 * time.Second
)

// runLinks is the duty that looks again at which links are wanted, as links go
// down and come back.
func (p *peers) runLinks(ctx context.Context) error {
	ticker := time.NewTicker(wantInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			p.refreshWanted()
		}
	}
}

// refreshWanted asks for links where that may change them: by what has changed, or
// by how long a link has been down.
func (p *peers) refreshWanted() {
	p.mu.Lock()
	settled := !p.changed && len(p.down) == 0
	p.mu.Unlock()
	if !settled {
		p.updateWanted()
	}
}

// want asks for links to a subset of the known nodes.
func (p *peers) updateWanted() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changed = false
	wanted := make(map[string]bool)
	for _, vm := range fleet.Subset(p.n.cfg.VM, p.n.cfg.Datacentre, p.candidates(now)) {
		wanted[vm] = true
	}
	p.retainUp(now, wanted)
	p.updateDown(now, wanted)
	targets := make([]link.Target, 0, len(wanted))
	for vm := range wanted {
		targets = append(targets, link.Target{VM: vm, Address: p.members[vm].Address, VerifyVM: true})
	}
	p.n.budget.setNodes(len(p.members) + 1)
	p.n.links.SetTargets(targets)
}

// watches reports whether this node is one of those that watch the object API.
func (p *peers) watches() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	linked := make([]fleet.Candidate, 0, len(p.wanted))
	for vm := range p.wanted {
		_, down := p.down[vm]
		if m := p.members[vm]; m != nil {
			linked = append(linked, fleet.Candidate{VM: vm, Datacentre: m.Datacentre, Down: down})
		}
	}
	return fleet.IsWatcher(p.n.cfg.VM, p.n.cfg.Datacentre, linked)
}

// candidates are the known nodes; the caller holds the lock.
func (p *peers) candidates(now time.Time) []fleet.Candidate {
	all := make([]fleet.Candidate, 0, len(p.members))
	for vm, m := range p.members {
		since, down := p.down[vm]
		all = append(all, fleet.Candidate{
			VM:         vm,
			Service:    m.Service,
			Datacentre: m.Datacentre,
			Down:       down && now.Sub(since) > replaceAfter,
		})
	}
	return all
}

// retainUp adds the links that are up while others are on their way: what a
// passing failure has added is given up only then. The caller holds the lock.
func (p *peers) retainUp(now time.Time, wanted map[string]bool) {
	if p.covered(now, wanted) {
		return
	}
	for vm := range p.wanted {
		_, down := p.down[vm]
		if p.members[vm] != nil && !down {
			wanted[vm] = true
		}
	}
}

// covered reports whether each of these links is up, or has been down for so long
// that another one was added for it. The caller holds the lock.
func (p *peers) covered(now time.Time, wanted map[string]bool) bool {
	for vm := range wanted {
		since, down := p.down[vm]
		if !p.wanted[vm] || down && now.Sub(since) <= replaceAfter {
			return false
		}
	}
	return true
}

// note keeps since when wanted links are down; the caller holds the lock.
func (p *peers) updateDown(now time.Time, wanted map[string]bool) {
	for vm := range wanted {
		if !p.wanted[vm] {
			p.down[vm] = now
		}
	}
	maps.DeleteFunc(p.down, func(vm string, _ time.Time) bool { return !wanted[vm] })
	p.wanted = wanted
}

// linked takes in that a link to a node has come up or gone down. A link that
// was given up may end after the one that replaced it has come up, so the links
// themselves say which it is.
func (p *peers) updateLink(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changed = true
	up := p.n.links.Up(vm)
	p.n.fleet.SetLinked(vm, up)
	if up {
		delete(p.down, vm)
	} else if p.wanted[vm] {
		p.down[vm] = time.Now()
	}
}

// downFor is how long a wanted link to a node has not been up; 0 where it is up
// or none is wanted.
func (p *peers) downFor(vm string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	since, down := p.down[vm]
	if !down {
		return 0
	}
	return time.Since(since)
}

// unreachable returns the known nodes without a link: none is wanted, or it has
// been down for long.
func (p *peers) unreachable() []string {
	var vms []string
	for _, vm := range p.names() {
		if !p.n.links.HasTarget(vm) || p.downFor(vm) > goneAfter {
			vms = append(vms, vm)
		}
	}
	return vms
}

// mostlyLinked reports whether most wanted links are up: else this node is more
// likely cut off than the others are gone.
func (p *peers) mostlyLinked() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 2*len(p.down) < len(p.wanted)
}
