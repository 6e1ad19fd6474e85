package load

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"heathershed/internal/platform/fake"
	"heathershed/internal/platform/wire"
)

// platformTimeout bounds a call to the stand-in platform.
const platformTimeout = 2 * time.Second

// world is what triggers act on.
type world struct {
	layout    *Layout
	upstreams map[string]*Upstream // by VM
	processes Processes
	callers   *Callers

	direct bool
	turn   atomic.Uint64

	mu   sync.Mutex
	gone map[string]bool // VMs that callers no longer use
}

// begin puts the trigger in force.
func (w *world) begin(t Trigger) error {
	switch t.Name {
	case TriggerSurge:
		w.callers.surge.Store(uint64(100 * t.number()))
	case TriggerStore:
		return w.platformFaults(fake.Faults{Down: true})
	case TriggerSilent:
		w.each(t.Target, func(u *Upstream) { u.BlackholeConns() })
	case TriggerKill:
		w.lose(t.Target)
		w.upstreams[t.Target].Stop()
		return w.processes.signal(t.Target, syscall.SIGKILL)
	case TriggerStop:
		w.lose(t.Target)
		return w.processes.signal(t.Target, syscall.SIGTERM)
	case TriggerPause:
		return w.processes.signal(t.Target, syscall.SIGSTOP)
	case TriggerCut:
		return w.datacentre(t.Target, true)
	default:
		f := t.upstreamFaults()
		w.each(t.Target, func(u *Upstream) { u.SetFaults(f) })
	}
	return nil
}

// end takes the trigger back. What is lost for good stays lost.
func (w *world) end(t Trigger) error {
	switch t.Name {
	case TriggerSurge:
		w.callers.surge.Store(0)
	case TriggerStore:
		return w.platformFaults(fake.Faults{})
	case TriggerSilent, TriggerKill, TriggerStop:
	case TriggerPause:
		return w.processes.signal(t.Target, syscall.SIGCONT)
	case TriggerCut:
		return w.datacentre(t.Target, false)
	default:
		w.each(t.Target, func(u *Upstream) { u.SetFaults(UpstreamFaults{}) })
	}
	return nil
}

// upstreamFaults are the faults of triggers that act on upstreams.
func (t Trigger) upstreamFaults() UpstreamFaults {
	switch t.Name {
	case TriggerSlow:
		return UpstreamFaults{Slowdown: t.number()}
	case TriggerTruncate:
		return UpstreamFaults{Truncate: t.number() / 100}
	case TriggerIdle:
		return UpstreamFaults{CloseIdle: t.number() / 100}
	case TriggerLie:
		return UpstreamFaults{FalseLoad: t.Value}
	case TriggerRefuse:
		return UpstreamFaults{RefuseFull: true}
	default:
		return UpstreamFaults{}
	}
}

// each calls f with the upstreams of a service.
func (w *world) each(service string, f func(*Upstream)) {
	for _, vm := range w.layout.VMsOf(service) {
		f(w.upstreams[vm.Name])
	}
}

// datacentre stops the nodes of a data centre, or lets them go on. Its callers
// use other nodes meanwhile.
func (w *world) datacentre(name string, stop bool) error {
	s := syscall.SIGCONT
	if stop {
		s = syscall.SIGSTOP
	}
	var all error
	for _, vm := range w.layout.VMs {
		if vm.Datacentre != name {
			continue
		}
		if stop {
			w.lose(vm.Name)
		} else {
			w.find(vm.Name)
		}
		all = errors.CombineErrors(all, w.processes.signal(vm.Name, s))
	}
	return all
}

func (w *world) lose(vm string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone[vm] = true
}

func (w *world) find(vm string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.gone, vm)
}

// targets are the addresses that callers in a data centre use: its nodes, or
// all others where it has none left; without heathershed, the service's
// upstreams.
func (w *world) targets(service, datacentre string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.direct {
		return w.upstreamsOf(service)
	}
	var own, others []string
	for _, vm := range w.layout.VMs {
		switch {
		case w.gone[vm.Name]:
		case vm.Datacentre == datacentre:
			own = append(own, vm.Ingress)
		default:
			others = append(others, vm.Ingress)
		}
	}
	if len(own) > 0 {
		return own
	}
	return others
}

func (w *world) upstreamsOf(service string) []string {
	var out []string
	for _, vm := range w.layout.VMsOf(service) {
		if !w.gone[vm.Name] {
			out = append(out, vm.Upstream)
		}
	}
	return out
}

// subTarget is where the VM's upstream sends a sub-call: its own node, or the
// next upstream of the service.
func (w *world) subTarget(own VM, service string) string {
	if !w.direct {
		return own.Ingress
	}
	all := w.targets(service, own.Datacentre)
	return all[w.turn.Add(1)%uint64(len(all))]
}

// platformFaults sets the faults of the stand-in platform.
func (w *world) platformFaults(f fake.Faults) error {
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + w.layout.Platform + wire.PathFaults)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	return errors.Wrap(fasthttp.DoTimeout(req, resp, platformTimeout), "platform faults")
}

// platformCounts reads the calls that the platform counted.
func platformCounts(addr string) (fake.Counts, error) {
	var c fake.Counts
	status, body, err := fasthttp.GetTimeout(nil, "http://"+addr+wire.PathCounts, platformTimeout)
	if err != nil || status != fasthttp.StatusOK {
		return c, errors.Newf("platform counts: status %d, %v", status, err)
	}
	return c, json.Unmarshal(body, &c)
}
