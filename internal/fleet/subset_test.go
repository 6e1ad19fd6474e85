package fleet

import (
	"fmt"
	"slices"
	"testing"
)

// candidates returns n upstreams of a service, distributed over four data
// centres.
func candidates(service string, n int) []Candidate {
	all := make([]Candidate, n)
	for i := range all {
		all[i] = Candidate{VM: fmt.Sprint(service, "-", i), Service: service, Datacentre: fmt.Sprint("dc", i%4)}
	}
	return all
}

func TestSubsetTakesAllOfSmallServices(t *testing.T) {
	all := append(candidates("a", 12), candidates("b", 3)...)
	if got := Subset("me", "dc0", all); len(got) != 15 {
		t.Fatalf("got %d links, want 15: %v", len(got), got)
	}
}

func TestSubsetIsBounded(t *testing.T) {
	cases := []struct {
		n, local, remote int
	}{
		{n: 31, local: 8, remote: 4},
		{n: 120, local: 8, remote: 4},
		{n: 16, local: 4, remote: 8},
	}
	for _, c := range cases {
		local := 0
		got := Subset("me", "dc0", candidates("a", c.n))
		for _, vm := range got {
			var i int
			if _, err := fmt.Sscanf(vm, "a-%d", &i); err != nil {
				t.Fatal(err)
			}
			if i%4 == 0 {
				local++
			}
		}
		if local != c.local || len(got)-local != c.remote {
			t.Errorf("%d candidates: got %d local and %d remote links, want %d and %d", c.n, local, len(got)-local, c.local, c.remote)
		}
	}
}

func TestSubsetOfOneDatacentre(t *testing.T) {
	all := candidates("a", 40)
	for i := range all {
		all[i].Datacentre = "dc1"
	}
	for _, own := range []string{"dc0", "dc1"} {
		if got := Subset("me", own, all); len(got) != localLinks+remoteLinks {
			t.Errorf("got %d links from a node in %s, want localLinks+remoteLinks", len(got), own)
		}
	}
}

func TestSubsetAddsReplacementsForDownNodes(t *testing.T) {
	all := candidates("a", 100)
	before := Subset("me", "dc0", all)
	down := before[:5]
	for i := range all {
		all[i].Down = slices.Contains(down, all[i].VM)
	}
	after := Subset("me", "dc0", all)
	if len(after) != len(before)+len(down) {
		t.Fatalf("got %d links, want %d", len(after), len(before)+len(down))
	}
	for _, vm := range before {
		if !slices.Contains(after, vm) {
			t.Errorf("%s was dropped from the subset", vm)
		}
	}
}

func TestSubsetAfterLossOfLocalDatacentre(t *testing.T) {
	all := candidates("a", 40)
	for i := range all {
		all[i].Down = all[i].Datacentre == "dc0"
	}
	up := 0
	for _, vm := range Subset("me", "dc0", all) {
		i := slices.IndexFunc(all, func(c Candidate) bool { return c.VM == vm })
		if !all[i].Down {
			up++
		}
	}
	if up != localLinks+remoteLinks {
		t.Fatalf("got %d links to nodes that are up, want %d", up, localLinks+remoteLinks)
	}
}

// Every upstream must be reachable from several nodes, and none may have many
// more links than the mean.
func TestSubsetsAreBalanced(t *testing.T) {
	all := candidates("a", 200)
	links := make(map[string]int)
	for _, c := range all {
		for _, vm := range Subset(c.VM, c.Datacentre, all) {
			links[vm]++
		}
	}
	for _, c := range all {
		if n := links[c.VM]; n < 3 || n > 30 {
			t.Errorf("%s has links from %d nodes, want 3 to 30 (mean %d)", c.VM, n, localLinks+remoteLinks)
		}
	}
}
