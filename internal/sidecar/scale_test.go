package sidecar

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"heathershed/internal/cputime"
)

const (
	// settleTime is how long a fleet is left to settle before it is measured,
	// and restTime how long it is measured.
	settleTime = 3 * time.Second
	restTime   = 5 * time.Second
	// restServices and restDatacentres are the shape of an idle fleet.
	restServices    = 4
	restDatacentres = 4
)

// BenchmarkFleetAtRest measures the cost of the control plane for several
// sizes of a fleet without any request: processor time, bytes and frames on
// links, links, live heap and calls to the store. Run it with -benchtime 1x.
func BenchmarkFleetAtRest(b *testing.B) {
	for _, nodes := range []int{8, 16, 32, 64, 128} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			for b.Loop() {
				measureRest(b, nodes)
			}
		})
	}
}

// usage is the sum of the resources that the nodes of a fleet have used.
type usage struct {
	at     time.Time
	cpu    time.Duration
	bytes  uint64
	frames uint64
	store  uint64
}

func measureRest(b *testing.B, nodes int) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	tc := newTestCluster(b)
	vms := tc.startFleet(nodes)
	tc.waitFor("all links are up", func() bool { return allLinked(vms) })
	time.Sleep(settleTime)
	from := tc.readUsage(vms)
	time.Sleep(restTime)
	to := tc.readUsage(vms)
	runtime.GC()
	runtime.ReadMemStats(&after)
	perSecond := func(x float64) float64 { return x / to.at.Sub(from.at).Seconds() / float64(nodes) }
	b.ReportMetric(100*perSecond((to.cpu-from.cpu).Seconds()), "core%/node")
	b.ReportMetric(perSecond(float64(to.bytes-from.bytes)), "sent-B/s/node")
	b.ReportMetric(perSecond(float64(to.frames-from.frames)), "sent-frames/s/node")
	b.ReportMetric(perSecond(float64(to.store-from.store)), "store-calls/s/node")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(nodes)/(1<<10), "heap-KiB/node")
	b.ReportMetric(meanLinks(vms), "links/node")
	haltAll(vms)
}

// haltAll halts nodes concurrently.
func haltAll(vms []*vm) {
	var group sync.WaitGroup
	for _, m := range vms {
		group.Go(m.halt)
	}
	group.Wait()
}

// startFleet starts nodes of several services, spread over several data
// centres, and sends a heartbeat of each upstream.
func (tc *testCluster) startFleet(nodes int) []*vm {
	tc.t.Helper()
	var services []string
	for s := range restServices {
		services = append(services, fmt.Sprint("s", s))
	}
	tc.configure(1, services...)
	vms := make([]*vm, nodes)
	for i := range vms {
		vms[i] = tc.startIn(services[i%restServices], fmt.Sprint("dc", i/restServices%restDatacentres))
	}
	for i, m := range vms {
		tc.waitFor("ready", m.ready)
		m.heartbeat(services[i%restServices], "ready")
	}
	return vms
}

// TestLinksGoToASubset checks that a node of a large service holds only as
// many links as it needs, serves with them, and replaces those that are lost.
func TestLinksGoToASubset(t *testing.T) {
	t.Parallel()
	const nodes, links = 18, 12
	tc := newTestCluster(t)
	tc.configure(1, "a")
	vms := make([]*vm, nodes)
	for i := range vms {
		vms[i] = tc.start("a")
	}
	for _, m := range vms {
		tc.waitFor("ready", m.ready)
		m.heartbeat("a", "ready")
	}
	t.Cleanup(func() { haltAll(vms) })
	tc.waitFor("every node has its links", func() bool { return allHaveLinks(vms, links) })
	for _, m := range vms {
		m.waitServing("/a/1")
	}
	vms[0].halt()
	tc.waitFor("lost links are replaced", func() bool { return allHaveLinks(vms[1:], links) })
}

// allHaveLinks reports whether each node has that many links that are up.
func allHaveLinks(vms []*vm, links int) bool {
	for _, m := range vms {
		if _, up := m.node.links.Counts(); up != links {
			return false
		}
	}
	return true
}

func allLinked(vms []*vm) bool {
	for _, m := range vms {
		if wanted, up := m.node.links.Counts(); up < wanted || wanted == 0 {
			return false
		}
	}
	return true
}

func meanLinks(vms []*vm) float64 {
	sum := 0
	for _, m := range vms {
		_, up := m.node.links.Counts()
		sum += up
	}
	return float64(sum) / float64(len(vms))
}

func (tc *testCluster) readUsage(vms []*vm) usage {
	counts := tc.store.Counts()
	r := usage{at: time.Now(), cpu: cputime.Process(), store: counts.Reads() + counts.Writes()}
	for _, m := range vms {
		t := m.node.traffic.Read()
		r.bytes += t.SentBytes
		r.frames += t.SentFrames
	}
	return r
}
