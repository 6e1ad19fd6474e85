package fleet

import (
	"slices"
	"testing"
)

// watchersOf returns the VMs that watch if all nodes see the same links up.
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

func TestNumberOfWatchersPerDatacentre(t *testing.T) {
	all := candidates("a", 80)
	first := watchersOf(all)
	if len(first) != 4*numWatchers {
		t.Fatalf("got %d watchers, want %d", len(first), 4*numWatchers)
	}
	for i := range all {
		all[i].Down = slices.Contains(first, all[i].VM)
	}
	if next := watchersOf(all); len(next) != 4*numWatchers {
		t.Fatalf("after the loss of the first watchers: got %d, want %d", len(next), 4*numWatchers)
	}
}

func TestIsolatedNodeWatches(t *testing.T) {
	all := candidates("a", 8)
	for i := range all {
		all[i].Down = true
	}
	if !IsWatcher("me", "dc0", all) || !IsWatcher("me", "dc0", nil) {
		t.Fatal("a node without links is not a watcher")
	}
}
