package fleet

import (
	"fmt"
	"slices"
	"testing"
)

// candidates returns upstreams of a service, dealt over four data centres.
func candidates(service string, n int) []Candidate {
	all := make([]Candidate, n)
	for i := range all {
		all[i] = Candidate{VM: fmt.Sprint(service, "-", i), Service: service, Datacentre: fmt.Sprint("dc", i%4)}
	}
	return all
}

func TestSubsetTakesAllOfASmallService(t *testing.T) {
	all := append(candidates("a", 12), candidates("b", 3)...)
	if got := Subset("me", "dc0", all); len(got) != 15 {
		t.Fatalf("%d links, want 15: %v", len(got), got)
	}
}

func TestSubsetIsBounded(t *testing.T) {
	cases := []struct {
		n, near, far int
	}{
		{n: 31, near: 8, far: 4},
		{n: 120, near: 8, far: 4},
		{n: 16, near: 4, far: 8},
	}
	for _, c := range cases {
		near := 0
		got := Subset("me", "dc0", candidates("a", c.n))
		for _, vm := range got {
			var i int
			if _, err := fmt.Sscanf(vm, "a-%d", &i); err != nil {
				t.Fatal(err)
			}
			if i%4 == 0 {
				near++
			}
		}
		if near != c.near || len(got)-near != c.far {
			t.Errorf("of %d: %d near and %d far, want %d and %d", c.n, near, len(got)-near, c.near, c.far)
		}
	}
}

func TestSubsetOfOneDataCentreAlone(t *testing.T) {
	all := candidates("a", 40)
	for i := range all {
		all[i].Datacentre = "dc1"
	}
	for _, own := range []string{"dc0", "dc1"} {
		if got := Subset("me", own, all); len(got) != nearLinks+farLinks {
			t.Errorf("%d links seen from %s", len(got), own)
		}
	}
}

func TestSubsetReplacesThoseThatAreDown(t *testing.T) {
	all := candidates("a", 100)
	before := Subset("me", "dc0", all)
	down := before[:5]
	for i := range all {
		all[i].Down = slices.Contains(down, all[i].VM)
	}
	after := Subset("me", "dc0", all)
	if len(after) != len(before)+len(down) {
		t.Fatalf("%d links, want %d", len(after), len(before)+len(down))
	}
	for _, vm := range before {
		if !slices.Contains(after, vm) {
			t.Errorf("%s was dropped", vm)
		}
	}
}

func TestSubsetSurvivesTheLossOfItsDataCentre(t *testing.T) {
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
	if up != nearLinks+farLinks {
		t.Fatalf("%d working links, want %d", up, nearLinks+farLinks)
	}
}

// Every upstream must be reached by several nodes, and none by many more than
// the mean.
func TestSubsetsAreSpreadEvenly(t *testing.T) {
	all := candidates("a", 200)
	links := make(map[string]int)
	for _, c := range all {
		for _, vm := range Subset(c.VM, c.Datacentre, all) {
			links[vm]++
		}
	}
	for _, c := range all {
		if n := links[c.VM]; n < 3 || n > 30 {
			t.Errorf("%s has links from %d nodes, the mean is %d", c.VM, n, nearLinks+farLinks)
		}
	}
}
