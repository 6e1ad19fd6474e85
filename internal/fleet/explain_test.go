package fleet

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"heathershed/internal/vm/instance"
)

// TestExplainAgreesWithPick guards against an explanation that names another upstream than
// those that requests are sent to, and against one that changes what it explains.
func TestExplainAgreesWithPick(t *testing.T) {
	for _, busy := range []int{0, 3, 9, 10} {
		f := newFleet()
		for i := range 6 {
			vm := fmt.Sprint("vm-", i)
			f.Put(Upstream{VM: vm, Service: "span", Datacentre: "west", Instance: "i", Slots: 10, Ready: i != 5})
			f.SetLinked(vm, i != 4)
			f.UpdateLoad(epoch, vm, Load{InFlight: min(busy+i, 12), Slots: 10, Draining: i == 3})
		}
		q := Query{Service: "span", Kind: "k", Exclude: []string{"vm-2"}}
		before := f.Explain(epoch, q)
		may := make(map[string]bool)
		for _, c := range before {
			may[c.VM] = c.Standing == Lowest || c.Standing == Possible
		}
		for random := range uint64(300) {
			q.Random = random
			choice, ok := f.Pick(epoch, q)
			if !ok || !may[choice.VM] {
				t.Fatalf("busy %d: chosen %q, %v; explained %+v", busy, choice.VM, ok, before)
			}
			choice.e.outstanding-- // as if it had not been sent
			choice.e.sent--
		}
		q.Random = 0
		for range 100 {
			if after := f.Explain(epoch, q); !reflect.DeepEqual(before, after) {
				t.Fatalf("busy %d: got %+v after %+v", busy, after, before)
			}
		}
	}
}

// TestExplainGivesTheReason guards against a reason that is not the one that applies.
func TestExplainGivesTheReason(t *testing.T) {
	q := Query{Service: "span", Kind: "k"}
	cases := []struct {
		name    string
		prepare func(f *Fleet)
		want    Standing // of the local upstream
	}{
		{"cheapest", func(*Fleet) {}, Lowest},
		{"link down", func(f *Fleet) { f.SetLinked("local", false) }, NotLinked},
		{"draining", func(f *Fleet) { f.UpdateLoad(epoch, "local", Load{Slots: 10, Draining: true}) }, Draining},
		{"full", func(f *Fleet) { f.UpdateLoad(epoch, "local", Load{InFlight: 10, Slots: 10}) }, Full},
		{"all full", func(f *Fleet) {
			f.UpdateLoad(epoch, "local", Load{InFlight: 30, Slots: 10})
			f.UpdateLoad(epoch, "remote", Load{InFlight: 10, Slots: 10})
		}, Costlier},
		{"slow", func(f *Fleet) {
			f.UpdateLoad(epoch, "local", Load{InFlight: 6, Slots: 10})
		}, Costlier},
		{"leaves", func(f *Fleet) {
			f.UpdateLoad(epoch, "local", Load{Slots: 10, Report: instance.Report{Incarnation: 1, Instance: "i-local", Notice: instance.Notice{Leaving: true}}})
		}, Leaving},
		{"not ready", func(f *Fleet) {
			f.Put(Upstream{VM: "local", Service: "span", Datacentre: "west", Instance: "i-local", Slots: 10})
		}, NotReady},
		{"tried", func(*Fleet) { q.Exclude = []string{"local"} }, Excluded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q.Exclude = nil
			f := newFleet()
			c.prepare(f)
			for _, got := range f.Explain(epoch.Add(time.Millisecond), q) {
				if got.VM == "local" && got.Standing != c.want {
					t.Errorf("got %q, want %q", got.Standing, c.want)
				}
			}
		})
	}
	if list := newFleet().Explain(epoch, Query{Service: "none"}); len(list) > 0 {
		t.Errorf("got %+v for a service without upstreams", list)
	}
}
