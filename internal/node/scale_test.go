package node

import (
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"heathershed/internal/cputime"
	"heathershed/internal/link"
	"heathershed/internal/platform/fake"
	"heathershed/internal/settings"
)

const (
	// settle is the time that a fleet gets to become idle.
	settle = 8 * time.Second
	// window is the time over which an idle fleet is measured.
	window = 10 * time.Second
)

// fleetReading is the resource use of a whole fleet so far.
type fleetReading struct {
	at      time.Time
	cpu     time.Duration
	traffic link.TrafficCount
	store   fake.Counts
}

func (f *fleet) read() fleetReading {
	r := fleetReading{at: time.Now(), cpu: cputime.Process(), store: f.store.Counts()}
	for _, m := range f.nodes {
		t := m.node.traffic.Read()
		r.traffic.SentBytes += t.SentBytes
		r.traffic.SentFrames += t.SentFrames
		r.traffic.ReceivedBytes += t.ReceivedBytes
	}
	return r
}

// reportRates reports the difference of two readings, per node and second.
func reportRates(b *testing.B, name string, nodes int, from, to fleetReading) {
	seconds := to.at.Sub(from.at).Seconds()
	perNode := func(d uint64) float64 { return float64(d) / seconds / float64(nodes) }
	perSecond := func(d uint64) float64 { return float64(d) / seconds }
	b.ReportMetric(perNode(to.traffic.SentBytes-from.traffic.SentBytes), name+"-sent-B/s/node")
	b.ReportMetric(perNode(to.traffic.SentFrames-from.traffic.SentFrames), name+"-frames/s/node")
	b.ReportMetric(100*(to.cpu-from.cpu).Seconds()/seconds/float64(nodes), name+"-core%/node")
	b.ReportMetric(perSecond(to.store.Reads()-from.store.Reads()), name+"-store-reads/s")
	b.ReportMetric(perSecond(to.store.Writes()-from.store.Writes()), name+"-store-writes/s")
}

// BenchmarkFleet measures the cost of control for several fleet sizes: idle,
// after one change of the catalogue, after the restart of one VM and after the
// loss of a data centre. Run it with -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	for _, nodes := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, nodes)
			}
		})
	}
}

func measureFleet(b *testing.B, nodes int) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	goroutines := runtime.NumGoroutine()
	began := time.Now()
	f := startServices(b, nodes)
	b.ReportMetric(time.Since(began).Seconds(), "start-s")
	time.Sleep(settle)

	from := f.read()
	time.Sleep(window)
	reportRates(b, "rest", nodes, from, f.read())
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(nodes)/(1<<10), "heap-KiB/node")
	b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/float64(nodes), "goroutines/node")
	b.ReportMetric(float64(f.store.Counts().Waiting), "store-watches")
	b.ReportMetric(f.meanLinks(), "links/node")

	began, from = time.Now(), f.read()
	f.changeCatalogue(b)
	b.ReportMetric(time.Since(began).Seconds()*1000, "catalogue-ms")
	b.ReportMetric(float64(f.read().traffic.SentBytes-from.traffic.SentBytes)/float64(nodes), "catalogue-B/node")

	victim := f.nodes[len(f.nodes)-1]
	victim.node.halt()
	<-victim.ended
	f.await("every other node knows of the crash", func() bool { return f.allOthersCount("", nodes-1) })
	began = time.Now()
	victim.start(f)
	from = f.read() // a restarted node counts from zero
	f.await("every node knows the restarted VM", func() bool { return f.knows(victim) })
	b.ReportMetric(time.Since(began).Seconds()*1000, "restart-known-ms")
	b.ReportMetric(float64(f.read().traffic.SentBytes-from.traffic.SentBytes)/float64(nodes), "restart-B/node")

	lost := f.haltDatacentre("dc0")
	began, from = time.Now(), f.read()
	f.await("every node in the other data centres knows of the loss", func() bool { return f.allOthersCount("dc0", nodes-lost) })
	b.ReportMetric(time.Since(began).Seconds()*1000, "datacentre-lost-known-ms")
	b.ReportMetric(float64(f.read().traffic.SentBytes-from.traffic.SentBytes)/float64(nodes-lost), "datacentre-lost-B/node")
	for _, m := range f.nodes {
		m.node.halt()
	}
}

// The shape of the expected deployment: 600 VMs in 89 services, four data
// centres in two regions, each service calling three others.
const (
	vmsPerService        = 7
	numDatacentres       = 4
	callsPerService      = 3
	orderEveryNth        = 3 // one service in three has an order kind
	kindOfService        = "[kind k%[1]d]\nowner = team%[1]d\nservice = s%[1]d\nclass = check\nidempotent = true\nmethod = GET\npath = /s%[1]d/*\ntimeout = 5s\n"
	orderOfService       = "[kind o%[1]d]\nowner = team%[1]d\nservice = s%[1]d\nclass = order\nidempotent = false\nmethod = POST\npath = /s%[1]d/order\ntimeout = 5s\n"
	datacentresPerRegion = 2
)

// startServices starts nodes in the shape of the expected deployment.
func startServices(b *testing.B, nodes int) *fleet {
	f := newFleet(b)
	services := max(nodes/vmsPerService, 1)
	var text strings.Builder
	for s := range services {
		fmt.Fprintf(&text, kindOfService, s)
		if s%orderEveryNth == 0 {
			fmt.Fprintf(&text, orderOfService, s)
		}
	}
	f.putCatalogue(text.String())
	f.calls = func(service string) string {
		own, _ := strconv.Atoi(service[1:])
		var called []string
		for c := range callsPerService {
			called = append(called, fmt.Sprintf("s%d", (own+1+c)%services))
		}
		return strings.Join(called, ",")
	}
	for i := range nodes {
		datacentre := i % numDatacentres
		f.addWith(fmt.Sprintf("s%d", i%services), i, fmt.Sprintf("dc%d", datacentre), func(cfg *settings.Settings) {
			cfg.Region = fmt.Sprintf("region%d", datacentre/datacentresPerRegion)
		})
	}
	f.awaitServing()
	return f
}

// haltDatacentre crashes all nodes of a data centre together.
func (f *fleet) haltDatacentre(datacentre string) (halted int) {
	for _, m := range f.nodes {
		if m.cfg.Datacentre == datacentre {
			m.node.halt()
			halted++
		}
	}
	return halted
}

// allOthersCount reports whether every running node outside a data centre knows
// that many live VMs.
func (f *fleet) allOthersCount(datacentre string, want int) bool {
	for _, m := range f.nodes {
		select {
		case <-m.ended:
			continue
		default:
		}
		if m.cfg.Datacentre != datacentre && m.node.control.members.Load().count != want {
			return false
		}
	}
	return true
}

func (f *fleet) meanLinks() float64 {
	total := 0
	for _, m := range f.nodes {
		wanted, _ := m.node.links.Counts()
		total += wanted
	}
	return float64(total) / float64(len(f.nodes))
}

// knows reports whether every node knows the current incarnation of a VM.
func (f *fleet) knows(victim *member) bool {
	for _, m := range f.nodes {
		if !m.node.memberUp(victim.node.self()) {
			return false
		}
	}
	return true
}
