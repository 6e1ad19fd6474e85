package fleet

import (
	"cmp"
	"hash/fnv"
	"slices"
)

const (
	// localLinks and remoteLinks bound the upstreams of one service to which a
	// node holds links, in the local data centre and in all others. Links that
	// one side does not use are available to the other.
	localLinks  = 8
	remoteLinks = 4
)

// Candidate is a node that a link could be opened to.
type Candidate struct {
	VM, Service, Datacentre string
	// Down reports that a link to the node has been wanted for long and is not
	// up.
	Down bool
}

// scored is a candidate with its score for one node. Lower scores are chosen
// first.
type scored struct {
	Candidate
	score uint64
}

// Subset returns the VMs to which a node holds links, sorted: a bounded number
// of upstreams of each service. The choice depends on a hash of both nodes'
// names (rendezvous hashing), so all upstreams get about equally many links,
// and a node keeps its choice as others come and go. VMs that are down remain
// in the subset, to be retried, and as many others are added.
func Subset(self, datacentre string, all []Candidate) []string {
	services := make(map[string][]scored)
	for _, c := range all {
		services[c.Service] = append(services[c.Service], scored{c, pairScore(self, c.VM)})
	}
	var chosen []string
	for _, candidates := range services {
		chosen = append(chosen, serviceSubset(datacentre, candidates)...)
	}
	slices.Sort(chosen)
	return chosen
}

// serviceSubset chooses among the upstreams of one service.
func serviceSubset(datacentre string, candidates []scored) []string {
	slices.SortFunc(candidates, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.VM, b.VM))
	})
	var local, remote []scored
	for _, c := range candidates {
		if c.Datacentre == datacentre {
			local = append(local, c)
		} else {
			remote = append(remote, c)
		}
	}
	localMax := localLinks + remoteLinks - min(remoteLinks, countUp(remote))
	remoteMax := localLinks + remoteLinks - min(localMax, countUp(local))
	return append(firstUp(local, localMax), firstUp(remote, remoteMax)...)
}

// countUp counts the candidates that are not down.
func countUp(candidates []scored) int {
	n := 0
	for _, c := range candidates {
		if !c.Down {
			n++
		}
	}
	return n
}

// firstUp returns the candidates up to the n-th that is not down, including
// those that are down.
func firstUp(candidates []scored, n int) []string {
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

// pairScore returns a pseudo-random score of a pair of names. It is the same in
// every process.
func pairScore(a, b string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a)) // hash.Hash never returns an error
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	return nextRandom(h.Sum64())
}
