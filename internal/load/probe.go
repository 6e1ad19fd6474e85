package load

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// probeEvery is the time between two pairs of probes.
const probeEvery = 20 * time.Millisecond

// Probe measures the time that heathershed adds: the same call made directly
// to an upstream and through two nodes, in turns, outside the triggers.
type Probe struct {
	layout *Layout
	client *client
	calls  *Callers
	quiet  func(time.Time) bool
	direct bool // there are no nodes

	mu         sync.Mutex
	alone, via *hdrhistogram.Histogram
	failed     int
}

// Overhead is what the probe found, in milliseconds.
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
	// RatioP50 and RatioP99 are via over direct.
	RatioP50 float64 `json:"ratio_p50"`
	RatioP99 float64 `json:"ratio_p99"`
}

func newProbe(l *Layout, calls *Callers, direct bool, quiet func(time.Time) bool) *Probe {
	return &Probe{
		layout: l, client: newClient(), calls: calls, direct: direct, quiet: quiet,
		alone: newHistogram(), via: newHistogram(),
	}
}

// run probes until the context ends.
func (p *Probe) run(ctx context.Context) {
	route, ok := p.layout.Profile.Route(p.layout.Profile.Probe)
	if !ok {
		return
	}
	targets := p.layout.VMsOf(route.Service)
	fronts := p.others(route.Service)
	next := time.Now()
	for i := 0; ; i++ {
		next = next.Add(probeEvery)
		if !sleepUntil(ctx, next) {
			return
		}
		if !p.quiet(time.Now()) {
			continue
		}
		p.one(targets[i%len(targets)].Upstream, route, p.alone)
		if !p.direct {
			p.one(fronts[i%len(fronts)].Ingress, route, p.via)
		}
	}
}

// others are the VMs whose nodes must pass the call on to another node.
func (p *Probe) others(service string) []VM {
	var out []VM
	for _, vm := range p.layout.VMs {
		if vm.Service != service {
			out = append(out, vm)
		}
	}
	return out
}

func (p *Probe) one(addr string, r Route, into *hdrhistogram.Histogram) {
	id := p.calls.calls.Add(1)
	start := time.Now()
	a := p.client.do(addr, request{route: r, call: id, timeout: time.Second})
	took := time.Since(start)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !a.whole {
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
		Calls: p.via.TotalCount(), Failed: p.failed,
		DirectP50MS: ms(p.alone, 50), DirectP99MS: ms(p.alone, 99),
		ViaP50MS: ms(p.via, 50), ViaP99MS: ms(p.via, 99),
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
