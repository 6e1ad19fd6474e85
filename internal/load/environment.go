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

// environment is what triggers act on.
type environment struct {
	layout    *Layout
	upstreams map[string]*Upstream // by VM
	processes Processes
	callers   *Callers

	direct     bool
	nextTarget atomic.Uint64

	mu      sync.Mutex
	avoided map[string]bool // VMs that callers avoid
}

// apply starts the trigger.
func (e *environment) apply(t Trigger) error {
	switch t.Name {
	case TriggerSurge:
		e.callers.surge.Store(uint64(100 * t.number()))
	case TriggerStore:
		return e.setPlatformFaults(fake.Faults{Down: true})
	case TriggerSilent:
		e.eachUpstream(t.Target, func(u *Upstream) { u.BlackholeConns() })
	case TriggerKill:
		e.avoid(t.Target)
		e.upstreams[t.Target].Stop()
		return e.processes.signal(t.Target, syscall.SIGKILL)
	case TriggerStop:
		e.avoid(t.Target)
		return e.processes.signal(t.Target, syscall.SIGTERM)
	case TriggerPause:
		return e.processes.signal(t.Target, syscall.SIGSTOP)
	case TriggerCut:
		return e.setDatacentre(t.Target, true)
	default:
		f := t.upstreamFaults()
		e.eachUpstream(t.Target, func(u *Upstream) { u.SetFaults(f) })
	}
	return nil
}

// revert ends the trigger. The effects of silent, kill and stop are permanent.
func (e *environment) revert(t Trigger) error {
	switch t.Name {
	case TriggerSurge:
		e.callers.surge.Store(0)
	case TriggerStore:
		return e.setPlatformFaults(fake.Faults{})
	case TriggerSilent, TriggerKill, TriggerStop:
	case TriggerPause:
		return e.processes.signal(t.Target, syscall.SIGCONT)
	case TriggerCut:
		return e.setDatacentre(t.Target, false)
	default:
		e.eachUpstream(t.Target, func(u *Upstream) { u.SetFaults(UpstreamFaults{}) })
	}
	return nil
}

// upstreamFaults returns the faults of a trigger that acts on upstreams.
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

// eachUpstream calls f with each upstream of a service.
func (e *environment) eachUpstream(service string, f func(*Upstream)) {
	for _, vm := range e.layout.VMsOf(service) {
		f(e.upstreams[vm.Name])
	}
}

// setDatacentre pauses the nodes of a data centre, or resumes them. While they
// are paused, callers avoid them.
func (e *environment) setDatacentre(name string, stop bool) error {
	s := syscall.SIGCONT
	if stop {
		s = syscall.SIGSTOP
	}
	var all error
	for _, vm := range e.layout.VMs {
		if vm.Datacentre != name {
			continue
		}
		if stop {
			e.avoid(vm.Name)
		} else {
			e.restore(vm.Name)
		}
		all = errors.CombineErrors(all, e.processes.signal(vm.Name, s))
	}
	return all
}

func (e *environment) avoid(vm string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.avoided[vm] = true
}

func (e *environment) restore(vm string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.avoided, vm)
}

// targets returns the addresses that callers in a data centre use for a
// service: the data centre's nodes, or all other nodes if callers avoid each of
// these. In direct mode it returns the service's upstreams.
func (e *environment) targets(service, datacentre string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.direct {
		return e.upstreamsOf(service)
	}
	var local, remote []string
	for _, vm := range e.layout.VMs {
		switch {
		case e.avoided[vm.Name]:
		case vm.Datacentre == datacentre:
			local = append(local, vm.Ingress)
		default:
			remote = append(remote, vm.Ingress)
		}
	}
	if len(local) > 0 {
		return local
	}
	return remote
}

func (e *environment) upstreamsOf(service string) []string {
	var out []string
	for _, vm := range e.layout.VMsOf(service) {
		if !e.avoided[vm.Name] {
			out = append(out, vm.Upstream)
		}
	}
	return out
}

// nestedTarget returns the address to which a VM's upstream sends a nested
// call: its own node or, in direct mode, the service's upstreams in turn.
func (e *environment) nestedTarget(caller VM, service string) string {
	if !e.direct {
		return caller.Ingress
	}
	all := e.targets(service, caller.Datacentre)
	return all[e.nextTarget.Add(1)%uint64(len(all))]
}

// setPlatformFaults sets the faults of the stand-in platform.
func (e *environment) setPlatformFaults(f fake.Faults) error {
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + e.layout.Platform + wire.PathFaults)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	return errors.Wrap(fasthttp.DoTimeout(req, resp, platformTimeout), "platform faults")
}

// platformCounts returns the number of calls that the platform has counted.
func platformCounts(addr string) (fake.Counts, error) {
	var c fake.Counts
	status, body, err := fasthttp.GetTimeout(nil, "http://"+addr+wire.PathCounts, platformTimeout)
	if err != nil || status != fasthttp.StatusOK {
		return c, errors.Newf("platform counts: status %d, %v", status, err)
	}
	return c, json.Unmarshal(body, &c)
}
