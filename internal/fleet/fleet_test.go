package fleet

import (
	"testing"
	"time"

	"heathershed/internal/contract"
)

var epoch = time.Unix(1000, 0)

// newFleet returns two linked upstreams: near in the own data centre, far in
// another.
func newFleet() *Fleet {
	f := New("west")
	for vm, dc := range map[string]string{"near": "west", "far": "east"} {
		f.Put(Upstream{VM: vm, Service: "span", Datacentre: dc, Instance: "i-" + vm, Slots: 10, Ready: true})
		f.SetLinked(vm, true)
	}
	return f
}

// picks counts the choices of n calls that end at once.
func picks(f *Fleet, now time.Time, n int) map[string]int {
	count := make(map[string]int)
	for i := range n {
		c, ok := f.Pick(now, Query{Service: "span", Kind: "k", Random: uint64(i)})
		if !ok {
			return count
		}
		count[c.VM]++
		f.Done(now, c, Result{Verdict: contract.Ran, Kind: "k", Load: &Load{Slots: 10}})
	}
	return count
}

func TestChoice(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(f *Fleet)
		want    string // most calls; empty: none can be chosen
	}{
		{"own data centre while it has room", func(*Fleet) {}, "near"},
		{"other one when the own is full", func(f *Fleet) { f.UpdateLoad("near", Load{InFlight: 10, Slots: 10}) }, "far"},
		{"not one whose link is down", func(f *Fleet) { f.SetLinked("near", false) }, "far"},
		{"not one that leaves", func(f *Fleet) { f.UpdateLoad("near", Load{Slots: 10, Draining: true}) }, "far"},
		{"not one of another service", func(f *Fleet) {
			f.Put(Upstream{VM: "near", Service: "cut", Instance: "i-2", Slots: 10, Ready: true})
		}, "far"},
		{"none at all", func(f *Fleet) { f.SetLinked("near", false); f.Remove("far") }, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet()
			tc.prepare(f)
			c, ok := f.Pick(epoch, Query{Service: "span", Kind: "k", Random: 7})
			if ok != (tc.want != "") || c.VM != tc.want {
				t.Fatalf("chose %q, %v; want %q", c.VM, ok, tc.want)
			}
		})
	}
}

func TestTriedOneIsLeftOut(t *testing.T) {
	f := newFleet()
	if c, ok := f.Pick(epoch, Query{Service: "span", Exclude: []string{"near"}}); !ok || c.VM != "far" {
		t.Fatalf("chose %q, want far", c.VM)
	}
	if _, ok := f.Pick(epoch, Query{Service: "span", Exclude: []string{"near", "far"}}); ok {
		t.Fatal("chose one that was tried")
	}
}

func TestSilentOneIsAvoided(t *testing.T) {
	f := newFleet()
	if c, _ := f.Pick(epoch, Query{Service: "span", Kind: "k"}); c.VM != "near" {
		t.Fatalf("chose %q first, want near", c.VM)
	}
	later := epoch.Add(time.Second)
	if got := picks(f, later, 20); got["near"] > 0 {
		t.Fatalf("%d of 20 calls went to one that does not answer", got["near"])
	}
}

func TestFailingOneIsAvoidedForAWhile(t *testing.T) {
	f := newFleet()
	for range 20 {
		c, _ := f.Pick(epoch, Query{Service: "span", Kind: "k", Exclude: []string{"far"}})
		f.Done(epoch, c, Result{Verdict: contract.MayHaveRun, Reason: contract.ReasonPartialAnswer, Kind: "k"})
	}
	if got := picks(f, epoch, 50); got["near"] > 5 {
		t.Fatalf("%d of 50 calls went to one whose answers all fail", got["near"])
	}
	if got := picks(f, epoch.Add(30*time.Second), 50); got["near"] < 40 {
		t.Fatalf("%d of 50 calls half a minute later, want it back", got["near"])
	}
}

func TestOldLoadThatSaysLeavingHoldsUntilTheNext(t *testing.T) {
	f := newFleet()
	f.Remove("far")
	usable := func() bool {
		c, ok := f.Pick(epoch, Query{Service: "span"})
		if ok {
			f.Done(epoch, c, Result{Verdict: contract.Ran})
		}
		return ok
	}
	f.UpdateLoad("near", Load{Slots: 10, Draining: true}) // from before it was ready
	if usable() {
		t.Fatal("chosen although its newest load says that it leaves")
	}
	f.UpdateLoad("near", Load{Slots: 10})
	if !usable() {
		t.Fatal("never chosen again after an old load that said leaving")
	}
	f.UpdateLoad("near", Load{Slots: 10, Draining: true})
	f.Put(Upstream{VM: "near", Service: "span", Datacentre: "west", Instance: "i-near", Slots: 10, Ready: true})
	if !usable() {
		t.Fatal("not chosen although its node says that it is ready")
	}
}

func TestAnotherStartBeginsAfresh(t *testing.T) {
	f := newFleet()
	f.UpdateLoad("near", Load{InFlight: 10, Waiting: 10, Slots: 10})
	f.Put(Upstream{VM: "near", Service: "span", Datacentre: "west", Instance: "i-2", Slots: 10, Ready: true})
	if c, ok := f.Pick(epoch, Query{Service: "span", Random: 7}); !ok || c.VM != "near" {
		t.Fatalf("chose %q, want near: its new start is idle and the link stays", c.VM)
	}
}
