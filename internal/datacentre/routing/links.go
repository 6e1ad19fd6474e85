package routing

import (
	"cmp"
	"slices"
)

// rendezvousScore orders pairs of VMs pseudo-randomly and identically on every
// node, as in rendezvous hashing.
func rendezvousScore(vm, target uint64) uint64 { return mix(vm ^ mix(target)) }

// linkTargets returns the targets to keep links to, sorted by VM.
func (t *table) linkTargets(services []string) []Target {
	chosen := make(map[string]Target)
	for _, service := range services {
		p := t.pools[service]
		if p == nil {
			continue
		}
		for _, e := range t.subset(p) {
			chosen[e.VM] = e.Target
		}
	}
	links := make([]Target, 0, len(chosen))
	for _, target := range chosen {
		links = append(links, target)
	}
	slices.SortFunc(links, func(a, b Target) int { return cmp.Compare(a.VM, b.VM) })
	return links
}

// subset returns the targets of one service to keep links to. The peers, which
// are the nodes of the local service and call the same services, are assigned
// targets one after the other in an order that all of them compute alike. Within
// a tier, each gets the targets that have the fewest links so far, so every
// target gets about the same number of links.
func (t *table) subset(p *pool) []*entry {
	var targets []*entry
	for _, e := range p.entries {
		if !e.leaving && e.VM != t.cfg.VM {
			targets = append(targets, e)
		}
	}
	assigned := t.assign(targets)
	return t.replaceFailed(assigned, targets)
}

// peer is a node of the local service.
type peer struct {
	vm, datacentre, region string
	hash                   uint64
}

// peers returns the nodes of the local service, this node included, in an order
// that all of them compute alike.
func (t *table) peers() []peer {
	own := peer{t.cfg.VM, t.cfg.Datacentre, t.cfg.Region, hashString(t.cfg.VM)}
	peers := []peer{own}
	if self := t.byVM[own.vm]; self != nil {
		for _, e := range self.pool.entries {
			if e != self {
				peers = append(peers, peer{e.VM, e.Datacentre, e.Region, e.hash})
			}
		}
	}
	slices.SortFunc(peers, func(a, b peer) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.vm, b.vm))
	})
	return peers
}

// assign returns the targets that are assigned to this node.
func (t *table) assign(targets []*entry) []*entry {
	peers := t.peers()
	counts := make(map[*entry]int, len(targets))
	var assigned []*entry
	for _, p := range peers {
		for _, e := range p.choose(targets, counts, t.cfg.SubsetSize) {
			counts[e]++
			if p.vm == t.cfg.VM {
				assigned = append(assigned, e)
			}
		}
	}
	for _, e := range targets {
		if counts[e] == 0 && fallbackPeer(e, peers).vm == t.cfg.VM {
			assigned = append(assigned, e)
		}
	}
	return assigned
}

// choose returns up to size targets for one peer: those of its own data centre
// first, except that the last one is from elsewhere if there is one.
func (p *peer) choose(targets []*entry, counts map[*entry]int, size int) []*entry {
	sorted := slices.Clone(targets)
	slices.SortFunc(sorted, func(a, b *entry) int {
		return cmp.Or(
			cmp.Compare(p.tier(a), p.tier(b)),
			cmp.Compare(counts[a], counts[b]),
			cmp.Compare(rendezvousScore(p.hash, b.hash), rendezvousScore(p.hash, a.hash)),
			cmp.Compare(a.VM, b.VM))
	})
	if len(sorted) <= size {
		return sorted
	}
	remote := slices.IndexFunc(sorted, func(e *entry) bool { return p.tier(e) > 0 })
	if remote >= size && size > 1 {
		sorted[size-1] = sorted[remote]
	}
	return sorted[:size]
}

// tier returns the tier of a target as seen from the peer.
func (p *peer) tier(e *entry) int {
	return tierOf(p.region, p.datacentre, e.Region, e.Datacentre)
}

// fallbackPeer returns the peer that links to a target that no peer has chosen.
func fallbackPeer(e *entry, peers []peer) peer {
	return slices.MaxFunc(peers, func(a, b peer) int {
		return cmp.Compare(rendezvousScore(a.hash, e.hash), rendezvousScore(b.hash, e.hash))
	})
}

// replaceFailed adds the nearest other targets as replacements for those whose
// links are down. Targets with failed links stay in the result so that their
// links are retried.
func (t *table) replaceFailed(assigned, targets []*entry) []*entry {
	working := 0
	for _, e := range assigned {
		if e.link != linkDown {
			working++
		}
	}
	want := min(t.cfg.SubsetSize, len(assigned))
	if working >= want {
		return assigned
	}
	spare := make([]*entry, 0, len(targets))
	for _, e := range targets {
		if e.link != linkDown && !slices.Contains(assigned, e) {
			spare = append(spare, e)
		}
	}
	own := hashString(t.cfg.VM)
	slices.SortFunc(spare, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(rendezvousScore(own, b.hash), rendezvousScore(own, a.hash)))
	})
	return append(assigned, spare[:min(want-working, len(spare))]...)
}
