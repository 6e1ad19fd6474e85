package fleet

import (
	"cmp"
	"hash/fnv"
	"slices"
)

const (
	// nearLinks and farLinks bound the upstreams of one service to which a node
	// holds links: in its own data centre, and in all others. What one side
	// leaves free the other one takes.
	nearLinks = 8
	farLinks  = 4
)

// Candidate is a node that links could go to.
type Candidate struct {
	VM, Service, Datacentre string
	// Down says that a link to it has been wanted for long and is not up.
	Down bool
}

// ranked is a candidate with its place in the order of one node.
type ranked struct {
	Candidate
	score uint64
}

// Subset returns the VMs to which a node holds links, sorted: some upstreams of
// each service. Which ones is drawn by the names of both nodes, so that all
// upstreams get about equally many links, and one node keeps the same ones as
// others come and go. Those that are down stay in, to be tried again, and
// others are added for them.
func Subset(self, datacentre string, all []Candidate) []string {
	services := make(map[string][]ranked)
	for _, c := range all {
		services[c.Service] = append(services[c.Service], ranked{c, pairScore(self, c.VM)})
	}
	var chosen []string
	for _, candidates := range services {
		chosen = append(chosen, subsetOf(datacentre, candidates)...)
	}
	slices.Sort(chosen)
	return chosen
}

// subsetOf chooses among the upstreams of one service.
func subsetOf(datacentre string, candidates []ranked) []string {
	slices.SortFunc(candidates, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.VM, b.VM))
	})
	var near, far []ranked
	for _, c := range candidates {
		if c.Datacentre == datacentre {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	nearRoom := nearLinks + farLinks - min(farLinks, working(far))
	farRoom := nearLinks + farLinks - min(nearRoom, working(near))
	return append(first(near, nearRoom), first(far, farRoom)...)
}

// working counts the candidates that are not down.
func working(candidates []ranked) int {
	n := 0
	for _, c := range candidates {
		if !c.Down {
			n++
		}
	}
	return n
}

// first returns the candidates up to the n-th that is not down.
func first(candidates []ranked, n int) []string {
	var vms []string
	for _, c := range candidates {
		if n == 0 {
			break
		}
		vms = append(vms, c.VM)
		if !c.Down {
			n--
		}
	}
	return vms
}

// pairScore orders pairs of nodes at random but the same at every start.
func pairScore(a, b string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a)) // a hash never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	return spread(h.Sum64())
}
