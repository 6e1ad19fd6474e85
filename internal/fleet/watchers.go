package fleet

// numWatchers is the number of nodes of a data centre that watch the object
// API.
const numWatchers = 2

// IsWatcher reports whether a node is one of the few of its data centre that
// watch the object API on behalf of all. The other nodes receive changes over
// links. Nodes are ordered by a hash of their names, and a node counts only
// those before it whose links are up. If nodes see different links up, more nodes
// watch, never fewer.
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
