package fleet

import (
	"fmt"
	"testing"
	"time"

	"heathershed/internal/contract"
)

const linkedOfMany = localLinks + remoteLinks

// benchmarkStart has a monotonic reading, as times in a node have.
var benchmarkStart = time.Now()

// largeFleet is what a node knows of 600 nodes of 89 services of uneven size: "few" has
// 7 upstreams, "many" 46, "linked" 46 of which linkedOfMany are linked, as with Subset.
func largeFleet(load func(vm string) Load) *Fleet {
	const nodes, services = 600, 89
	f := New("dc0")
	add := func(service string, count int) {
		for i := range count {
			vm := fmt.Sprint(service, "-", i)
			f.Put(Upstream{VM: vm, Service: service, Datacentre: fmt.Sprint("dc", i%4), Instance: vm, Slots: 20, Ready: true})
			f.SetLinked(vm, true)
			c, _ := f.Pick(benchmarkStart, Query{Service: service, Kind: service + "-kind", Only: vm})
			l := load(vm)
			f.Done(benchmarkStart, c, Result{Verdict: contract.Ran, Kind: service + "-kind", Load: &l})
		}
	}
	add("few", 7)
	add("many", 46)
	add("linked", 46)
	rest := nodes - 7 - 46 - 46
	for s := range services - 3 {
		add(fmt.Sprint("s", s), (rest+s)/(services-3))
	}
	for i := range 46 - linkedOfMany {
		f.SetLinked(fmt.Sprint("linked-", linkedOfMany+i), false)
	}
	return f
}

func benchmarkPick(b *testing.B, load func(vm string) Load) {
	f := largeFleet(load)
	for _, service := range []string{"few", "many", "linked"} {
		b.Run(service, func(b *testing.B) {
			q := Query{Service: service, Kind: service + "-kind"}
			now := benchmarkStart
			b.ReportAllocs()
			for i := range b.N {
				now = now.Add(time.Microsecond)
				q.Random = uint64(i)
				c, _ := f.Pick(now, q)
				c.e.outstanding-- // as Done does, which is not part of the choice
				c.e.sent--
			}
		})
	}
}

// BenchmarkPick measures a choice and its end where the upstreams report nothing.
func BenchmarkPick(b *testing.B) {
	benchmarkPick(b, func(string) Load {
		return Load{InFlight: 8, Slots: 20, Latency: 10 * time.Millisecond}
	})
}

// BenchmarkPickReporting measures a choice and its end where all upstreams report.
func BenchmarkPickReporting(b *testing.B) {
	benchmarkPick(b, func(vm string) Load {
		l := reporting(vm, 1, 1, 1.2)
		l.InFlight, l.Slots = 8, 20
		return l
	})
}
