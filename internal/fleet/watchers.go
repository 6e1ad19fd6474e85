package fleet

// numWatchers is how many nodes of a data centre watch the object API.
const numWatchers = 2

// IsWatcher reports whether a node is one of the few of its data centre that
// watch the object API for all. The others hear of a change on links. A node
// counts only those before it whose links are up, so where nodes see different
// ones more of them watch, never fewer.
func IsWatcher(self, datacentre string, others []Candidate) bool {
	own := pairScore(datacentre, self)
	before := 0
	for _, c := range others {
		if c.Datacentre == datacentre && !c.Down && pairScore(datacentre, c.VM) < own {
			before++
		}
	}
	return before < numWatchers
}
