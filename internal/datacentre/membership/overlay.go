package membership

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	linkpb "heathershed/api/link"
)

// Numbers of neighbours of a node.
const (
	// NumWitnesses is the number of VMs of the node's own service, first by
	// rendezvous hashing, that a node keeps a link to.
	NumWitnesses = 7
	// NumSuccessors is the number of VMs next on the hash ring of the local data
	// centre.
	NumSuccessors = 3
	// NumRegional is the number of VMs in other data centres of the region.
	NumRegional = 2
	// NumRemote is the number of VMs in each other region.
	NumRemote = 1
)

// Neighbours returns the VMs that a node keeps control links to, sorted by VM:
// the witnesses of its own service, its successors on the hash ring of its data
// centre, and a few VMs in other data centres and regions, so that the nodes
// form one connected overlay in which gossip reaches all in few hops. Only VMs
// that are up are chosen. Gossip travels both ways on a link, so a node also
// receives it from the nodes that chose it. The result does not depend on the
// order of members.
func Neighbours(self *linkpb.Member, members []*linkpb.Member) []*linkpb.Member {
	chosen := make(map[string]*linkpb.Member)
	add := func(list []*linkpb.Member) {
		for _, m := range list {
			if m.Vm != self.Vm {
				chosen[m.Vm] = m
			}
		}
	}
	add(Witnesses(self.Service, members))
	add(successors(self, members))
	add(watcherLinks(self, members))
	add(rendezvous(self.Vm, NumRegional, members, func(m *linkpb.Member) bool {
		return m.Region == self.Region && m.Datacentre != self.Datacentre
	}))
	for _, region := range otherRegions(self, members) {
		add(rendezvous(self.Vm, NumRemote, members, func(m *linkpb.Member) bool {
			return m.Region == region
		}))
	}
	list := make([]*linkpb.Member, 0, len(chosen))
	for _, m := range chosen {
		list = append(list, m)
	}
	slices.SortFunc(list, compareVM)
	return list
}

// Witnesses returns the first NumWitnesses VMs of a service by rendezvous
// hashing.
func Witnesses(service string, members []*linkpb.Member) []*linkpb.Member {
	return rendezvous(service, NumWitnesses, members, func(m *linkpb.Member) bool {
		return m.Service == service
	})
}

// successors returns the VMs that follow self on the hash ring of its data
// centre.
func successors(self *linkpb.Member, members []*linkpb.Member) []*linkpb.Member {
	own := xxhash.Sum64String(self.Vm)
	return lowestRanked(NumSuccessors, members, func(m *linkpb.Member) bool {
		return m.Datacentre == self.Datacentre && m.Vm != self.Vm
	}, func(m *linkpb.Member) uint64 {
		return xxhash.Sum64String(m.Vm) - own // distance on the ring, modulo its size
	})
}

func otherRegions(self *linkpb.Member, members []*linkpb.Member) []string {
	var regions []string
	for _, m := range members {
		if isUp(m) && m.Region != self.Region && !slices.Contains(regions, m.Region) {
			regions = append(regions, m.Region)
		}
	}
	return regions
}

// rendezvous returns the first n VMs that are up and match, in the order of
// rendezvous hashing for the key.
func rendezvous(key string, n int, members []*linkpb.Member, match func(*linkpb.Member) bool) []*linkpb.Member {
	seed := xxhash.Sum64String(key)
	return lowestRanked(n, members, match, func(m *linkpb.Member) uint64 {
		return mix(seed ^ xxhash.Sum64String(m.Vm))
	})
}

type ranked struct {
	rank   uint64
	member *linkpb.Member
}

func compareRanked(a, b ranked) int {
	if c := cmp.Compare(a.rank, b.rank); c != 0 {
		return c
	}
	return compareVM(a.member, b.member)
}

// lowestRanked returns the n members with the lowest rank among those that are
// up and match, sorted by rank.
func lowestRanked(n int, members []*linkpb.Member, match func(*linkpb.Member) bool, rank func(*linkpb.Member) uint64) []*linkpb.Member {
	best := make([]ranked, 0, n+1)
	for _, m := range members {
		if !isUp(m) || !match(m) {
			continue
		}
		r := ranked{rank(m), m}
		i, _ := slices.BinarySearchFunc(best, r, compareRanked)
		if i == n {
			continue
		}
		best = slices.Insert(best, i, r)
		best = best[:min(n, len(best))]
	}
	list := make([]*linkpb.Member, len(best))
	for i, r := range best {
		list[i] = r.member
	}
	return list
}

// mix is the finaliser of SplitMix64: every input bit affects all output bits.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func isUp(m *linkpb.Member) bool { return m.State == linkpb.MemberState_MEMBER_STATE_UP }

func compareVM(a, b *linkpb.Member) int { return strings.Compare(a.Vm, b.Vm) }
