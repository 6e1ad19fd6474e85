package fleet

import (
	"slices"
	"testing"
)

// watchersOf returns those that watch among nodes that all see the same.
func watchersOf(all []Candidate) []string {
	var watch []string
	for _, c := range all {
		others := slices.DeleteFunc(slices.Clone(all), func(o Candidate) bool { return o.VM == c.VM })
		if !c.Down && IsWatcher(c.VM, c.Datacentre, others) {
			watch = append(watch, c.VM)
		}
	}
	return watch
}

func TestFewNodesOfEachDataCentreWatch(t *testing.T) {
	all := candidates("a", 80)
	first := watchersOf(all)
	if len(first) != 4*numWatchers {
		t.Fatalf("%d nodes watch, want %d", len(first), 4*numWatchers)
	}
	for i := range all {
		all[i].Down = slices.Contains(first, all[i].VM)
	}
	if next := watchersOf(all); len(next) != 4*numWatchers {
		t.Fatalf("after the loss of the first ones %d nodes watch, want %d", len(next), 4*numWatchers)
	}
}

func TestNodeAloneWatches(t *testing.T) {
	all := candidates("a", 8)
	for i := range all {
		all[i].Down = true
	}
	if !IsWatcher("me", "dc0", all) || !IsWatcher("me", "dc0", nil) {
		t.Fatal("a node without links does not watch")
	}
}
