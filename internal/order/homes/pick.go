package homes

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// pool holds the live members of all services. Any of them may be a witness of
// any service.
type pool struct {
	homes []Home // in ascending order of VM
	live  map[Home]bool
}

func newPool(live map[string][]Home) *pool {
	var all []Home
	for _, members := range live {
		all = append(all, members...)
	}
	p := &pool{homes: sortedHomes(all), live: make(map[Home]bool, len(all))}
	for _, h := range p.homes {
		p.live[h] = true
	}
	return p
}

// pickWitnesses returns the witnesses of a service after a change, and whether
// they differ from the current ones. Live witnesses are kept, so that a change
// in another service rarely affects this one. Free places go to VMs of the
// data centre with the fewest witnesses, members of the service first.
func (e Editor) pickWitnesses(service string, current, members []Home, p *pool) ([]Home, bool) {
	if len(members) == 0 {
		return current, false
	}
	chosen := make([]Home, 0, NumWitnesses)
	perDatacentre := map[string]int{}
	for _, h := range current {
		if p.live[h] {
			chosen = append(chosen, h)
			perDatacentre[e.datacentre(h.VM)]++
		}
	}
	free := min(NumWitnesses, len(p.homes)) - len(chosen)
	if free <= 0 {
		return chosen, len(chosen) < len(current)
	}
	candidates := candidatesFor(service, chosen, members, p)
	for ; free > 0; free-- {
		best := 0
		for i, h := range candidates {
			if perDatacentre[e.datacentre(h.VM)] < perDatacentre[e.datacentre(candidates[best].VM)] {
				best = i
			}
		}
		perDatacentre[e.datacentre(candidates[best].VM)]++
		chosen = append(chosen, candidates[best])
		candidates = append(candidates[:best], candidates[best+1:]...)
	}
	return chosen, true
}

// candidatesFor returns the VMs that are not witnesses yet, in order of
// preference: members of the service first, then the others, each group in an
// order that depends on a hash of the service and the VM.
func candidatesFor(service string, chosen, members []Home, p *pool) []Home {
	isMember := make(map[Home]bool, len(members))
	for _, h := range members {
		isMember[h] = true
	}
	hashes := make(map[Home]uint64, len(p.homes))
	candidates := make([]Home, 0, len(p.homes))
	for _, h := range p.homes {
		if contains(chosen, h) {
			continue
		}
		hashes[h] = xxhash.Sum64String(service + "\x00" + h.VM)
		candidates = append(candidates, h)
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if isMember[a] != isMember[b] {
			return isMember[a]
		}
		return hashes[a] < hashes[b]
	})
	return candidates
}

func (e Editor) datacentre(vm string) string {
	if e.Datacentre == nil {
		return ""
	}
	return e.Datacentre(vm)
}
