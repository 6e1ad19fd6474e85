package sidecar

import (
	"context"
	"maps"
	"slices"
	"time"

	"heathershed/internal/fleet"
	"heathershed/internal/link"
)

const (
	// wantInterval is how often the wanted links are checked. replaceAfter is
	// how long a link must be down before another one is added for it.
	wantInterval = time.Second
	replaceAfter = 3 * time.Second
)

// runLinks is the task that recomputes the wanted links as links go down and
// come back.
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

// relink makes refreshWanted recompute the wanted links.
func (p *peers) relink() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changed = true
}

// refreshWanted recomputes the wanted links, unless no node and no link has
// changed and all links are up. While a link is down, the result also depends
// on how long it has been.
func (p *peers) refreshWanted() {
	p.mu.Lock()
	settled := !p.changed && len(p.down) == 0
	p.mu.Unlock()
	if !settled {
		p.updateWanted()
	}
}

// updateWanted requests links to a subset of the known nodes, and to the coordinators of
// quotas.
func (p *peers) updateWanted() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changed = false
	wanted := make(map[string]bool)
	for _, vm := range fleet.Subset(p.n.cfg.VM, p.n.cfg.Datacentre, p.candidates(now)) {
		wanted[vm] = true
	}
	for _, vm := range p.n.quotas.wanted(slices.Collect(maps.Keys(p.members)), func(vm string) bool { return p.downLong(now, vm) }) {
		if p.members[vm] != nil { // forgotten nodes count for a while
			wanted[vm] = true
		}
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

// candidates returns the known nodes. The caller holds the lock.
func (p *peers) candidates(now time.Time) []fleet.Candidate {
	all := make([]fleet.Candidate, 0, len(p.members))
	for vm, m := range p.members {
		all = append(all, fleet.Candidate{
			VM:         vm,
			Service:    m.Service,
			Datacentre: m.Datacentre,
			Down:       p.downLong(now, vm),
		})
	}
	return all
}

// downLong reports whether another link is added for that to a node: it has been down for
// long, or the node is not known any more. The caller holds the lock.
func (p *peers) downLong(now time.Time, vm string) bool {
	since, down := p.down[vm]
	return p.members[vm] == nil || down && now.Sub(since) > replaceAfter
}

// retainUp adds to wanted those current links that are up, unless wanted is
// covered. A link that is no longer wanted is therefore dropped only once each
// wanted link is up, or has been down for so long that another one was added
// for it. The caller holds the lock.
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

// covered reports whether each of the links in wanted is up, or has been down
// for so long that another one was added for it. The caller holds the lock.
func (p *peers) covered(now time.Time, wanted map[string]bool) bool {
	for vm := range wanted {
		since, down := p.down[vm]
		if !p.wanted[vm] || down && now.Sub(since) <= replaceAfter {
			return false
		}
	}
	return true
}

// updateDown replaces the wanted links and records since when each of them has
// been down. The caller holds the lock.
func (p *peers) updateDown(now time.Time, wanted map[string]bool) {
	for vm := range wanted {
		if !p.wanted[vm] {
			p.down[vm] = now
		}
	}
	maps.DeleteFunc(p.down, func(vm string, _ time.Time) bool { return !wanted[vm] })
	p.wanted = wanted
}

// updateLink records that a link to a node has come up or gone down. A dropped
// link may end after its replacement has come up, so the state is read from
// the link set and not from the event.
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

// downFor returns how long a wanted link to a node has not been up, or 0 if it
// is up or not wanted.
func (p *peers) downFor(vm string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	since, down := p.down[vm]
	if !down {
		return 0
	}
	return time.Since(since)
}

// unreachable returns the known nodes without a link: none is wanted, or it
// has been down for more than goneAfter.
func (p *peers) unreachable() []string {
	var vms []string
	for _, vm := range p.names() {
		if !p.n.links.HasTarget(vm) || p.downFor(vm) > goneAfter {
			vms = append(vms, vm)
		}
	}
	return vms
}

// linked returns the number of wanted links that are up.
func (p *peers) linked() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.wanted) - len(p.down)
}

// mostlyLinked reports whether most wanted links are up. If they are not, it
// is more likely that this node is cut off than that the other nodes are gone.
func (p *peers) mostlyLinked() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 2*len(p.down) < len(p.wanted)
}
