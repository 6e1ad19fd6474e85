package load

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// probeInterval is the time between two pairs of probes.
const probeInterval = 20 * time.Millisecond

// Probe measures the latency that heathershed adds. It makes the same call
// directly to an upstream and through two nodes, in turns, while no trigger is
// active.
type Probe struct {
	layout *Layout
	client *client
	calls  *Callers
	steady func(time.Time) bool
	direct bool // there are no nodes

	mu                        sync.Mutex
	directLatency, viaLatency *hdrhistogram.Histogram
	failed                    int
}

// Overhead is the result of the probe. Times are in milliseconds.
type Overhead struct {
	Calls       int64   `json:"calls"`
	Failed      int     `json:"failed"`
	DirectP50MS float64 `json:"direct_p50_ms"`
	DirectP99MS float64 `json:"direct_p99_ms"`
	ViaP50MS    float64 `json:"via_two_nodes_p50_ms"`
	ViaP99MS    float64 `json:"via_two_nodes_p99_ms"`
	// AddedP50MS and AddedP99MS are the differences of the percentiles.
	AddedP50MS float64 `json:"added_p50_ms"`
	AddedP99MS float64 `json:"added_p99_ms"`
	// RatioP50 and RatioP99 are the percentiles through two nodes divided by
	// the direct ones.
	RatioP50 float64 `json:"ratio_p50"`
	RatioP99 float64 `json:"ratio_p99"`
}

func newProbe(l *Layout, calls *Callers, direct bool, steady func(time.Time) bool) *Probe {
	return &Probe{
		layout: l, client: newClient(), calls: calls, direct: direct, steady: steady,
		directLatency: newHistogram(), viaLatency: newHistogram(),
	}
}

// run sends probes until the context ends.
func (p *Probe) run(ctx context.Context) {
	route, ok := p.layout.Profile.Route(p.layout.Profile.Probe)
	if !ok {
		return
	}
	targets := p.layout.VMsOf(route.Service)
	remote := p.remoteVMs(route.Service)
	next := time.Now()
	for i := 0; ; i++ {
		next = next.Add(probeInterval)
		if !sleepUntil(ctx, next) {
			return
		}
		if !p.steady(time.Now()) {
			continue
		}
		p.measure(targets[i%len(targets)].Upstream, route, p.directLatency)
		if !p.direct {
			p.measure(remote[i%len(remote)].Ingress, route, p.viaLatency)
		}
	}
}

// remoteVMs returns the VMs whose nodes must forward a call to the service to
// another node.
func (p *Probe) remoteVMs(service string) []VM {
	var out []VM
	for _, vm := range p.layout.VMs {
		if vm.Service != service {
			out = append(out, vm)
		}
	}
	return out
}

func (p *Probe) measure(addr string, r Route, into *hdrhistogram.Histogram) {
	id := p.calls.calls.Add(1)
	start := time.Now()
	a := p.client.roundTrip(addr, request{route: r, call: id, timeout: time.Second})
	took := time.Since(start)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !a.complete {
		p.failed++
		return
	}
	_ = into.RecordValue(took.Microseconds())
}

// Overhead returns the result.
func (p *Probe) Overhead() Overhead {
	p.mu.Lock()
	defer p.mu.Unlock()
	ms := func(h *hdrhistogram.Histogram, q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / 1000
	}
	a := Overhead{
		Calls: p.viaLatency.TotalCount(), Failed: p.failed,
		DirectP50MS: ms(p.directLatency, 50), DirectP99MS: ms(p.directLatency, 99),
		ViaP50MS: ms(p.viaLatency, 50), ViaP99MS: ms(p.viaLatency, 99),
	}
	if a.Calls == 0 {
		return a
	}
	a.AddedP50MS, a.AddedP99MS = a.ViaP50MS-a.DirectP50MS, a.ViaP99MS-a.DirectP99MS
	if a.DirectP50MS > 0 && a.DirectP99MS > 0 {
		a.RatioP50, a.RatioP99 = a.ViaP50MS/a.DirectP50MS, a.ViaP99MS/a.DirectP99MS
	}
	return a
}
